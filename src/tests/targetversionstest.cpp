#include "gateway/targetbalancer.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace bamboohold;

namespace {

constexpr Instant s_start = Instant(std::chrono::hours(1));
const std::string s_service = "drafting";

Instant at(std::int64_t seconds)
{
    return s_start + std::chrono::seconds(seconds);
}

TargetListing listing(const std::string &incarnation, const std::string &version, const std::string &identity = "")
{
    return {.incarnation = incarnation,
            .service = s_service,
            .failureDomain = std::string("d") + incarnation.back(),
            .version = version,
            .identity = identity};
}

PlacementRequest ofVersion(const std::string &version, std::uint64_t seed = 1)
{
    return {.service = s_service, .version = version, .seed = seed};
}

}

BOOST_AUTO_TEST_SUITE(TargetVersionsTest)

// Guards against the few targets of a version that a sample of a large service misses.
BOOST_AUTO_TEST_CASE(aFewTargetsAmongManyAreFound)
{
    TargetBalancer board({});
    std::vector<TargetListing> listings;
    for (int number = 0; number < 400; ++number) {
        listings.push_back(listing(absl::StrCat("i-", number), number % 200 == 0 ? "v2" : "v1"));
    }
    board.replaceAll(listings, s_start);
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        const auto placement = board.choose(ofVersion("v2", seed), s_start);
        BOOST_REQUIRE(placement);
        BOOST_TEST(placement->version == "v2");
        BOOST_TEST(board.candidates(ofVersion("v2", seed), 3, s_start).size() == 2U);
    }
    BOOST_TEST(!board.choose(ofVersion("v3"), s_start));
    BOOST_TEST(board.choose(ofVersion(""), s_start).has_value());
}

// Guards against a stream that leaves its version because all targets of that are backed off, evacuated, or were tried.
BOOST_AUTO_TEST_CASE(noOtherVersionTakesTheirPlace)
{
    TargetBalancer board({});
    board.replaceAll({listing("i-1", "v1"), listing("i-2", "v2")}, s_start);
    board.attemptEnded("i-1", HealthSignal::ConnectionFailure, s_start);
    BOOST_TEST(board.choose(ofVersion("v1"), s_start)->incarnation == "i-1");
    const std::vector<std::string> tried{"i-1"};
    PlacementRequest again = ofVersion("v1");
    again.excluded = tried;
    BOOST_TEST(!board.choose(again, s_start));
    board.suspendUntil("i-1", at(3));
    BOOST_TEST(!board.choose(ofVersion("v1"), s_start));
    BOOST_TEST((board.nextResumption(s_service, s_start, "v1") == std::optional(at(3))));
    BOOST_TEST(!board.nextResumption(s_service, s_start));
    board.setEvacuatedDomains({"d1"}, s_start);
    BOOST_TEST(!board.choose(ofVersion("v1"), at(4)));
    BOOST_TEST(!board.hasTargetInService(s_service, "v1"));
    BOOST_TEST(board.hasTargetInService(s_service, "v2"));
    BOOST_TEST(board.hasTargetInService(s_service));
}

// Guards against a target that keeps its identity, starts again at another version while the store is away, and gets streams of the former.
BOOST_AUTO_TEST_CASE(withoutTheStoreAnIdentityMayHaveStartedAgain)
{
    TargetBalancer board({});
    board.replaceAll({listing("i-1@7", "v1", "i-1"), listing("i-2", "v2", "i-2")}, s_start);
    BOOST_TEST(board.choose(ofVersion("v1"), s_start).has_value());
    board.setStoreReachable(false, s_start);
    BOOST_TEST(!board.choose(ofVersion("v1"), s_start));
    BOOST_TEST(board.choose(ofVersion("v2"), s_start).has_value());
    board.setStoreReachable(true, s_start);
    board.updateListing(listing("i-1@8", "v3", "i-1"), s_start);
    BOOST_TEST(!board.choose(ofVersion("v1"), s_start));
    BOOST_TEST(board.choose(ofVersion("v3"), s_start)->incarnation == "i-1@8");
}

BOOST_AUTO_TEST_CASE(recordsThatDisagreeLeaveTheVersionUnknown)
{
    TargetBalancer board({});
    board.replaceAll({listing("i-1", "")}, s_start);
    BOOST_TEST(board.version("i-1").empty());
    board.updateListing(listing("i-1", "v1"), s_start);
    BOOST_TEST(board.version("i-1") == "v1");
    board.updateListing(listing("i-1", ""), s_start);
    BOOST_TEST(board.version("i-1") == "v1");
    board.markUnusable("i-1");
    BOOST_TEST(board.version("i-1") == "v1");
    BOOST_TEST(!board.choose(ofVersion("v1"), s_start));
    board.updateListing(listing("i-1", "v2"), s_start);
    BOOST_TEST(board.version("i-1").empty());
    BOOST_TEST(!board.choose(ofVersion("v1"), s_start));
    BOOST_TEST(!board.choose(ofVersion("v2"), s_start));
    BOOST_TEST(board.choose(ofVersion(""), s_start).has_value());
}

// Guards against a router that takes the versions it sees now for all that streams can have begun at.
BOOST_AUTO_TEST_CASE(formerVersionsAreRemembered)
{
    using Versions = std::vector<std::string>;
    const Duration period = std::chrono::seconds(30);
    TargetBalancer board({});
    BOOST_TEST(!board.seenVersions(s_service, period, s_start).followedFor);
    board.replaceAll({listing("i-1", "v1"), listing("i-2", "v2")}, s_start);
    BOOST_TEST((board.seenVersions(s_service, period, at(5)).versions == Versions{"v1", "v2"}));
    BOOST_TEST((board.seenVersions(s_service, period, at(5)).followedFor == std::optional<Duration>(std::chrono::seconds(5))));
    board.removeListing("i-2", at(10));
    BOOST_TEST((board.seenVersions(s_service, period, at(40)).versions == Versions{"v1", "v2"}));
    BOOST_TEST((board.seenVersions(s_service, period, at(41)).versions == Versions{"v1"}));
    BOOST_TEST(board.seenVersions("filing", period, at(41)).versions.empty());
    board.setStoreReachable(false, at(50));
    BOOST_TEST(!board.seenVersions(s_service, period, at(50)).followedFor);
    board.setStoreReachable(true, at(60));
    BOOST_TEST((board.seenVersions(s_service, period, at(61)).followedFor == std::optional<Duration>(std::chrono::seconds(1))));
    board.updateListing(listing("i-1", "v3"), at(70));
    BOOST_TEST((board.seenVersions(s_service, period, at(71)).versions == Versions{"", "v1"}));
}

// Guards against a router that has just started and refuses streams for as long as it would have had to follow the list itself.
BOOST_AUTO_TEST_CASE(othersKnowWhatARouterHasMissed)
{
    using Versions = std::vector<std::string>;
    const Duration period = std::chrono::seconds(30);
    TargetBalancer board({});
    board.replaceAll({listing("i-1", "v1")}, s_start);
    board.addFormerVersions(s_service, {{"v1", s_start}, {"v0", at(-20)}}, at(-500));
    BOOST_TEST((board.seenVersions(s_service, period, at(5)).versions == Versions{"v0", "v1"}));
    BOOST_TEST((board.seenVersions(s_service, period, at(5)).followedFor == std::optional<Duration>(std::chrono::seconds(505))));
    BOOST_TEST((board.seenVersions(s_service, period, at(11)).versions == Versions{"v1"}));
    board.replaceAll({listing("i-1", "v1")}, at(20));
    BOOST_TEST((board.seenVersions(s_service, period, at(21)).followedFor == std::optional<Duration>(std::chrono::seconds(1))));
    board.addFormerVersions(s_service, {}, at(-500));
    board.setStoreReachable(false, at(22));
    BOOST_TEST(!board.seenVersions(s_service, period, at(23)).followedFor);
}

BOOST_AUTO_TEST_CASE(relaysOfAServiceAreListedOnce)
{
    TargetBalancer board({});
    TargetListing first = listing("i-1", "v1");
    first.relay = "10.0.0.2:7";
    TargetListing second = listing("i-2", "v1");
    second.relay = "10.0.0.1:7";
    TargetListing other = listing("i-3", "v1");
    other.service = "filing";
    other.relay = "10.0.0.9:7";
    board.replaceAll({first, second, other, listing("i-4", "v2")}, s_start);
    BOOST_TEST((board.relays(s_service) == std::vector<std::string>{"10.0.0.1:7", "10.0.0.2:7"}));
}

BOOST_AUTO_TEST_SUITE_END()
