#include "gateway/evacuationfollower.h"

#include "failure/failure.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

constexpr Instant s_now{std::chrono::seconds(100)};

/// Decodes a row of this test: "empty DOMAIN" evacuates the domain, "empty " names none, and every other row is not an order.
absl::StatusOr<std::optional<std::string>> decodeOrder(const StoredRow &row)
{
    const std::string_view prefix = "empty ";
    if (!row.address.key.starts_with(prefix)) {
        return std::nullopt;
    }
    std::string domain = row.address.key.substr(prefix.size());
    if (domain.empty()) {
        return failed(FailureKind::InvalidDocument, "no domain");
    }
    return domain;
}

StoredRow order(std::string key, std::uint64_t version)
{
    return {.address = {.table = "t", .part = "", .key = std::move(key)}, .value = "\x80 not readable", .version = version};
}

TargetListing target(std::string name, std::string domain, Duration warmup = {})
{
    return {
        .incarnation = std::move(name), .service = "llm", .address = "10.0.0.1:80", .failureDomain = std::move(domain), .warmup = warmup};
}

struct Fixture {
    Fixture()
        : balancer({.failureDomain = "here"})
        , follower(balancer,
                   metrics,
                   {.decodeDomain = decodeOrder,
                    .announce =
                        [this](const Evacuations::State &state) {
                            announced.push_back(state);
                        },
                    .host = "me"})
    {
        balancer.replaceAll({target("one", "here"), target("other", "there")}, s_now);
    }

    void all(std::vector<StoredRow> rows, std::uint64_t version)
    {
        follower.applyTable(rows);
        follower.commitStoreVersion(version, s_now);
    }

    void changed(const StoredRow &row, std::uint64_t version)
    {
        follower.applyChange(row);
        follower.commitStoreVersion(version, s_now);
    }

    std::optional<Placement> choose(Instant now = s_now) const
    {
        return balancer.choose({.service = "llm"}, now);
    }

    TargetBalancer balancer;
    Metrics metrics;
    std::vector<Evacuations::State> announced;
    EvacuationFollower follower;
};

}

BOOST_AUTO_TEST_SUITE(EvacuationFollowerTest)

// Guards against requests to a domain that operators are evacuating, also to a target that is listed, or listed again, after the order.
BOOST_AUTO_TEST_CASE(evacuatedDomainGetsNoRequests)
{
    Fixture fixture;
    fixture.changed(order("empty here", 7), 7);
    BOOST_TEST(fixture.choose()->incarnation == "other");
    BOOST_TEST((fixture.balancer.outOfServiceReason("one") == OutOfServiceReason::Evacuated));
    fixture.balancer.updateListing(target("later", "here"), s_now);
    fixture.balancer.updateListing(target("one", "here"), s_now);
    BOOST_TEST(fixture.choose()->incarnation == "other");
    BOOST_TEST(fixture.announced.size() == 1U);
}

// Guards against an order that is lost because no target of its domain is known yet, as in a router that starts.
BOOST_AUTO_TEST_CASE(orderAppliesToTargetsListedLater)
{
    Fixture fixture;
    fixture.balancer.replaceAll({}, s_now);
    fixture.all({order("empty here", 3), order("config", 4)}, 4);
    fixture.balancer.replaceAll({target("one", "here")}, s_now);
    BOOST_TEST(!fixture.choose().has_value());
}

// Guards against a domain that stays out of service after its order was revoked. A router learns of that from a changed row, or from a read
// of the whole table without the order.
BOOST_AUTO_TEST_CASE(revokedOrderRestoresDomain)
{
    Fixture fixture;
    fixture.all({order("empty here", 3), order("empty there", 4)}, 4);
    BOOST_TEST(!fixture.choose().has_value());
    fixture.changed(order("empty here", 0), 5);
    BOOST_TEST(fixture.choose()->incarnation == "one");
    fixture.changed(order("empty here", 6), 6);
    BOOST_TEST(!fixture.choose().has_value());
    fixture.all({}, 7);
    BOOST_TEST(fixture.choose().has_value());
}

// Guards against a burst of requests at targets that became cold while their domain was evacuated, before their records say so.
BOOST_AUTO_TEST_CASE(targetsOfRestoredDomainMayBeCold)
{
    Fixture fixture;
    fixture.all({order("empty here", 3), order("empty there", 4)}, 4);
    BOOST_TEST(!fixture.choose().has_value());
    fixture.all({}, 5);
    BOOST_TEST(fixture.choose()->cold);
    BOOST_TEST(!fixture.choose(s_now + std::chrono::seconds(3))->cold);
}

// Guards against an order without a domain that evacuates all domains or hides other orders.
BOOST_AUTO_TEST_CASE(unreadableOrderLeavesOthersInForce)
{
    Fixture fixture;
    fixture.all({order("empty ", 3), order("empty here", 4)}, 4);
    BOOST_TEST(fixture.choose()->incarnation == "other");
}

// Guards against requests from a router that is cut off from the store to a domain that its peers know to be evacuated.
BOOST_AUTO_TEST_CASE(peersReportOrders)
{
    Fixture fixture;
    fixture.all({}, 4);
    fixture.follower.applyPeerState({.version = 9, .domains = {"here"}}, s_now);
    BOOST_TEST(fixture.choose()->incarnation == "other");
    // The store's feed lags behind the peer's state.
    fixture.follower.commitStoreVersion(6, s_now);
    BOOST_TEST(fixture.choose()->incarnation == "other");
    fixture.follower.commitStoreVersion(10, s_now);
    BOOST_TEST(fixture.choose()->incarnation == "one");
}

BOOST_AUTO_TEST_SUITE_END()
