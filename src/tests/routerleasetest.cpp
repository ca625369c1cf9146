#include "membership/routerlease.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace bamboohold;

namespace {

constexpr Duration s_second = std::chrono::seconds(1);
constexpr Instant s_start = Instant(std::chrono::hours(1));
/// The lease and the span of the options' defaults.
constexpr Duration s_joinTime = 19 * s_second;
constexpr Duration s_lease = 8 * s_second;

/// A router that writes and counts every four seconds.
struct Member {
    explicit Member(const std::string &name)
        : lease({.router = name})
    {
    }

    void exchange(const std::vector<std::string> &routers, Duration since, StoreGeneration generation = 0)
    {
        lease.recordWrite(s_start + since, generation, s_start + since);
        lease.recordCount(s_start + since, routers, generation, s_start + since);
    }

    void exchangeUntil(const std::vector<std::string> &routers, Duration until, Duration from = {})
    {
        for (Duration since = from; since <= until; since += 4 * s_second) {
            exchange(routers, since);
        }
    }

    std::optional<FleetPosition> position(Duration since) const
    {
        return lease.position("service", s_start + since);
    }

    RouterLease lease;
};

}

BOOST_AUTO_TEST_SUITE(RouterLeaseTest)

// Guards against a router that uses a share before all others have counted it.
BOOST_AUTO_TEST_CASE(aRouterThatStartsWaitsForItsPosition)
{
    Member member("a");
    member.exchangeUntil({"a", "b"}, 20 * s_second);
    BOOST_TEST(!member.position(s_joinTime - Duration(1)).has_value());
    BOOST_REQUIRE(member.position(s_joinTime).has_value());
    BOOST_TEST(member.position(s_joinTime)->routers == 2U);
}

// Guards against a position by a count, or with a row, that is too old.
BOOST_AUTO_TEST_CASE(aPositionEndsWithoutTheStore)
{
    Member member("a");
    member.exchangeUntil({"a", "b"}, 20 * s_second);
    BOOST_TEST(member.position(20 * s_second + s_lease).has_value());
    BOOST_TEST(!member.position(20 * s_second + s_lease + Duration(1)).has_value());
    member.lease.recordCount(s_start + 27 * s_second, std::vector<std::string>{"a", "b"}, 0, s_start + 27 * s_second);
    BOOST_TEST(!member.position(29 * s_second).has_value());
    // The store is back, and what happened meanwhile is not known.
    member.exchangeUntil({"a"}, 50 * s_second, 30 * s_second);
    BOOST_TEST(!member.position(40 * s_second).has_value());
    BOOST_TEST(member.position(50 * s_second).has_value());
}

// Guards against a share that grows before the retries of a router that has left are out of the window.
BOOST_AUTO_TEST_CASE(routersThatLeftCountForAWhile)
{
    Member member("a");
    member.exchangeUntil({"a", "b", "c"}, 20 * s_second);
    member.exchangeUntil({"a"}, 36 * s_second, 24 * s_second);
    BOOST_REQUIRE(member.position(20 * s_second + s_joinTime).has_value());
    BOOST_TEST(member.position(20 * s_second + s_joinTime)->routers == 3U);
    BOOST_TEST(member.position(20 * s_second + s_joinTime + Duration(1))->routers == 1U);
}

// Guards against positions by a store that has lost rows.
BOOST_AUTO_TEST_CASE(aStoreThatReturnsFromACopyStartsOver)
{
    Member member("a");
    member.exchangeUntil({"a", "b"}, 20 * s_second);
    for (Duration since = 24 * s_second; since <= 48 * s_second; since += 4 * s_second) {
        member.exchange({"a"}, since, 1);
        BOOST_TEST(member.position(since).has_value() == (since >= 24 * s_second + s_joinTime));
    }
}

BOOST_AUTO_TEST_CASE(aRouterThatLeavesHasNoPosition)
{
    Member member("a");
    member.exchangeUntil({"a"}, 20 * s_second);
    BOOST_TEST(member.position(20 * s_second).has_value());
    member.lease.end();
    BOOST_TEST(!member.position(20 * s_second).has_value());
}

// All routers of one count have different ranks, and another service ranks them otherwise.
BOOST_AUTO_TEST_CASE(ranksAreDistinct)
{
    std::vector<std::string> names;
    for (int index = 0; index < 40; ++index) {
        names.push_back("router-" + std::to_string(index));
    }
    std::vector<bool> taken(names.size());
    std::size_t moved = 0;
    for (const std::string &name : names) {
        Member member(name);
        member.exchangeUntil(names, 20 * s_second);
        const std::optional<FleetPosition> position = member.position(20 * s_second);
        BOOST_REQUIRE(position.has_value());
        BOOST_REQUIRE(position->rank < names.size());
        BOOST_TEST(!taken[position->rank]);
        taken[position->rank] = true;
        moved += member.lease.position("another service", s_start + 20 * s_second)->rank != position->rank ? 1 : 0;
    }
    BOOST_TEST(moved > names.size() / 2);
}

BOOST_AUTO_TEST_SUITE_END()
