#include "overload/rotation.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <vector>

using namespace bamboohold;

namespace {

constexpr Duration s_tick = std::chrono::milliseconds(50);
/// The time that a notice takes to another router.
constexpr Duration s_transit = std::chrono::milliseconds(20);

/// The routers of one failure domain, with the notices that they send each other.
struct Domain {
    explicit Domain(std::size_t size)
    {
        for (std::size_t index = 0; index < size; ++index) {
            routers.emplace_back(Rotation::Options{.self = absl::StrCat("router-", 10 + index),
                                                   .firstPeriod = std::chrono::seconds(8),
                                                   .maxPeriod = std::chrono::seconds(30)});
        }
        for (std::size_t index = 0; index < size; ++index) {
            for (std::size_t other = 0; other < size; ++other) {
                if (other != index) {
                    routers[index].recordNotice(absl::StrCat("router-", 10 + other), false, {}, now);
                }
            }
        }
    }

    /// Runs for this time with the same pressure at the first `full` routers, and none at the others.
    void run(Duration time, std::size_t full, double pressure)
    {
        for (const Instant end = now + time; now < end;) {
            now += s_tick;
            deliver();
            for (std::size_t index = 0; index < routers.size(); ++index) {
                const Rotation::Update update = routers[index].update(index < full ? pressure : 0, now);
                lefts += update.change == Rotation::Change::Left ? 1 : 0;
                keptIn += update.change == Rotation::Change::KeptIn ? 1 : 0;
                if (update.notify && !noticesLost) {
                    notices.push_back({.from = index, .out = routers[index].out(), .remaining = routers[index].remaining(now), .at = now});
                }
            }
        }
    }

    std::size_t out() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(routers, &Rotation::out));
    }

    struct Notice {
        std::size_t from = 0;
        bool out = false;
        Duration remaining{};
        Instant at{};
        bool full = false;
    };

    void deliver()
    {
        for (; !notices.empty() && now - notices.front().at >= s_transit; notices.pop_front()) {
            const Notice &notice = notices.front();
            for (std::size_t index = 0; index < routers.size(); ++index) {
                if (index != notice.from) {
                    routers[index].recordNotice(absl::StrCat("router-", 10 + notice.from),
                                                {.out = notice.out, .remaining = notice.remaining, .full = notice.full},
                                                now);
                }
            }
        }
    }

    std::vector<Rotation> routers;
    std::deque<Notice> notices;
    bool noticesLost = false;
    int lefts = 0;
    int keptIn = 0;
    Instant now{std::chrono::seconds(100)};
};

}

BOOST_AUTO_TEST_SUITE(RotationTest)

// A short burst is served, a host that stays full sends its callers elsewhere.
BOOST_AUTO_TEST_CASE(leavesOnceFullForLong)
{
    Domain domain(3);
    domain.run(std::chrono::milliseconds(250), 1, 1.2);
    BOOST_TEST(domain.out() == 0U);
    domain.run(std::chrono::milliseconds(50), 1, 0.9);
    domain.run(std::chrono::milliseconds(300), 1, 1.2);
    BOOST_TEST(domain.out() == 0U);
    domain.run(std::chrono::milliseconds(50), 1, 1.2);
    BOOST_TEST(domain.out() == 1U);
    BOOST_TEST((domain.routers.front().remaining(domain.now) == std::chrono::seconds(8)));
}

// Guards against a failure domain whose routers all leave because all are full: the balancer would use all of them again, and each would
// change its callers' connections in vain. They all decide in the same tick, before any notice has arrived.
BOOST_AUTO_TEST_CASE(atMostAThirdOfADomainLeaves)
{
    for (const std::size_t size : {1, 2, 3, 4, 10, 33}) {
        Domain domain(size);
        domain.run(std::chrono::milliseconds(600), size, 1.5);
        BOOST_TEST(domain.out() == (size + 2) / 3);
        BOOST_TEST(domain.keptIn == static_cast<int>(size - (size + 2) / 3));
        // The others stay for as long as notices say that these are out, also beyond their period.
        domain.run(std::chrono::seconds(12), size, 1.5);
        BOOST_TEST(domain.out() == (size + 2) / 3);
    }
}

// Guards against more than a third being out when some were out before two others leave at the same moment: the names of those that were
// out come last, so that each of the two would stay out by the order of names alone.
BOOST_AUTO_TEST_CASE(routersThatWereOutBeforeCountFirst)
{
    const Instant start{std::chrono::seconds(100)};
    Rotation rotation({.self = "router-b"});
    for (const char *other : {"router-a", "router-c", "router-d", "router-e"}) {
        rotation.recordNotice(other, false, Duration::zero(), start);
    }
    rotation.recordNotice("router-z", true, std::chrono::seconds(8), start);
    Instant now = start;
    while (!rotation.out()) {
        now += s_tick;
        rotation.update(1.5, now);
    }
    rotation.recordNotice("router-a", true, std::chrono::seconds(8), now);
    rotation.update(1.5, now + s_tick);
    BOOST_TEST(!rotation.out());
}

// Guards against counting hosts instead of what they carry: beside a large host that is out, a third of the domain, no other may leave, and
// of small ones more than a third of the hosts may, but never more than half.
BOOST_AUTO_TEST_CASE(whatHostsCarryCounts)
{
    const Instant start{std::chrono::seconds(100)};
    const auto leaves = [start](const std::vector<double> &out, const std::vector<double> &in) {
        Rotation rotation({.self = "router-a", .capacity = 1});
        for (std::size_t index = 0; index < out.size() + in.size(); ++index) {
            const bool isOut = index < out.size();
            rotation.recordNotice(
                absl::StrCat("router-b", index),
                {.out = isOut, .remaining = std::chrono::seconds(8), .capacity = isOut ? out[index] : in[index - out.size()]},
                start);
        }
        rotation.update(1.5, start);
        rotation.update(1.5, start + std::chrono::milliseconds(300));
        return rotation.out();
    };
    BOOST_TEST(leaves({1}, {5, 5, 1, 1, 1}));
    BOOST_TEST(leaves({1, 1}, {5, 5, 1, 1}));
    BOOST_TEST(!leaves({1, 1, 1}, {5, 5, 1}));
    BOOST_TEST(!leaves({5}, {5, 1, 1, 1, 1}));
    BOOST_TEST(leaves({1, 1, 1, 1, 1}, {9, 9, 9, 1, 1, 1}));
    BOOST_TEST(!leaves({1, 1, 1, 1, 1, 1}, {9, 9, 9, 1, 1}));
}

// Guards against a full host that is kept in while one that is out has been idle since its callers were moved.
BOOST_AUTO_TEST_CASE(anIdleHostReturnsForAFullOne)
{
    Domain domain(7);
    domain.run(std::chrono::seconds(1), 3, 1.5);
    BOOST_TEST(domain.out() == 3U);
    // The callers of the first three have moved to the fourth.
    const auto moved = [&domain](Duration time) {
        for (const Instant end = domain.now + time; domain.now < end;) {
            domain.now += s_tick;
            domain.deliver();
            for (std::size_t index = 0; index < domain.routers.size(); ++index) {
                Rotation &router = domain.routers[index];
                if (router.update(index == 3 ? 1.5 : 0, domain.now).notify) {
                    domain.notices.push_back({.from = index,
                                              .out = router.out(),
                                              .remaining = router.remaining(domain.now),
                                              .at = domain.now,
                                              .full = router.full()});
                }
            }
        }
    };
    moved(std::chrono::seconds(1));
    BOOST_TEST(!domain.routers[3].out());
    moved(std::chrono::seconds(3));
    BOOST_TEST(domain.routers[3].out());
    BOOST_TEST(domain.out() == 3U);
}

// Guards against a third of the domain that is lost for good: once a router that is out has died, another may leave.
BOOST_AUTO_TEST_CASE(placeOfADeadRouterIsFreeAgain)
{
    Domain domain(3);
    domain.routers[1].recordNotice("router-10", true, std::chrono::seconds(8), domain.now);
    Rotation &other = domain.routers[1];
    bool left = false;
    for (Duration time{}; time < std::chrono::seconds(3); time += s_tick) {
        left = left || other.update(1.5, domain.now + time).change == Rotation::Change::Left;
    }
    BOOST_TEST(!left);
    for (Duration time = std::chrono::seconds(3); time < std::chrono::seconds(5); time += s_tick) {
        left = left || other.update(1.5, domain.now + time).change == Rotation::Change::Left;
    }
    BOOST_TEST(left);
}

// Guards against a host that leaves and returns every few seconds, each time moving its callers.
BOOST_AUTO_TEST_CASE(returningHostDoesNotFlap)
{
    Domain domain(3);
    domain.run(std::chrono::milliseconds(400), 1, 1.2);
    // It does not return while its pressure is still near its bound.
    domain.run(std::chrono::seconds(12), 1, 0.6);
    BOOST_TEST(domain.out() == 1U);
    domain.run(s_tick, 1, 0.4);
    BOOST_TEST(domain.out() == 0U);
    domain.run(std::chrono::milliseconds(400), 1, 1.2);
    domain.run(std::chrono::seconds(15), 1, 0.1);
    BOOST_TEST(domain.out() == 1U);
    domain.run(std::chrono::seconds(2), 1, 0.1);
    BOOST_TEST(domain.out() == 0U);
    domain.run(std::chrono::seconds(60), 1, 1.2);
    BOOST_TEST(domain.lefts == 3);
}

// With all notices lost each router decides alone, and the balancer's own rule remains.
BOOST_AUTO_TEST_CASE(lostNoticesDoNotKeepHostsIn)
{
    Domain domain(6);
    domain.noticesLost = true;
    domain.run(std::chrono::seconds(1), 6, 1.5);
    BOOST_TEST(domain.out() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()
