#include "gateway/loadshedder.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace bamboohold;

namespace {

/// A host that serves so many requests in a tick, and gets more; what it does not get done waits.
struct Host {
    /// Returns the share of the last second's requests that were let in, and leaves the delay.
    double play(LoadShedder &shedder, double served, double arriving, int ticks)
    {
        double admitted = 0;
        for (int tick = 0; tick < ticks; ++tick) {
            int let = 0;
            for (int request = 0; request < static_cast<int>(arriving); ++request) {
                let += shedder.refuses(++draw) ? 0 : 1;
            }
            waiting = std::max(0.0, waiting + let - served);
            now += LoadShedder::s_tick;
            shedder.measured(std::chrono::milliseconds(static_cast<std::int64_t>(50 * waiting / served)), now);
            admitted += tick >= ticks - 20 ? let : 0;
        }
        return admitted / (20 * arriving);
    }

    double waiting = 0;
    std::uint64_t draw = 0;
    Instant now = Instant(std::chrono::seconds(100));
};

}

BOOST_AUTO_TEST_SUITE(LoadShedderTest)

// One caller sends six times what its router has time for. Without refusals each request waits longer than the one before, until all
// callers of that router leave unserved; the routers beside it idle.
BOOST_AUTO_TEST_CASE(overloadedHostKeepsWhatItCanServe)
{
    LoadShedder shedder;
    Host host;
    const double admitted = host.play(shedder, 10, 60, 400);
    BOOST_TEST(admitted > 0.08);
    BOOST_TEST(admitted < 0.22);
    // In the time of a few ticks, which is well within what callers wait.
    BOOST_TEST(host.waiting / 10 * 50 < 400);
}

// An eighth more arrives than the host has time for. About as much is refused, not nearly everything.
BOOST_AUTO_TEST_CASE(slightOverloadRefusesLittle)
{
    LoadShedder shedder;
    Host host;
    BOOST_TEST(host.play(shedder, 40, 45, 400) > 0.7);
}

// The balancer moves the caller away, and back once the host says that it has time. Each move costs refusals, so that the host stays away
// for longer when it happens again.
BOOST_AUTO_TEST_CASE(overloadThatReturnsKeepsTheHostAwayForLonger)
{
    LoadShedder shedder;
    Host host;
    const auto away = [&] {
        while (!shedder.overloaded(host.now)) {
            host.play(shedder, 10, 60, 1);
        }
        const Instant begun = host.now;
        while (shedder.overloaded(host.now)) {
            host.play(shedder, 10, 1, 1);
        }
        return host.now - begun;
    };
    const Duration first = away();
    const Duration second = away();
    BOOST_TEST((first >= std::chrono::seconds(7)));
    BOOST_TEST((second >= first + std::chrono::seconds(7)));
}

// Guards against callers that are told to come back before the balancer sends them to another host, and are refused twice.
BOOST_AUTO_TEST_CASE(callersReturnWhenConnectionsGoElsewhere)
{
    LoadShedder shedder;
    Host host;
    BOOST_TEST(!shedder.untilElsewhere(host.now).has_value());
    while (!shedder.overloaded(host.now)) {
        host.play(shedder, 10, 60, 1);
    }
    BOOST_TEST((shedder.untilElsewhere(host.now) == LoadShedder::s_rotationTime));
    BOOST_TEST((shedder.untilElsewhere(host.now + std::chrono::seconds(1)) == LoadShedder::s_rotationTime - std::chrono::seconds(1)));
    BOOST_TEST((shedder.untilElsewhere(host.now + std::chrono::seconds(3)) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(hostWithTimeLeftRefusesNothing)
{
    LoadShedder shedder;
    Host host;
    BOOST_TEST(host.play(shedder, 10, 8, 200) == 1.0);
    // A single late tick, as after a pause of the whole host, is no overload.
    host.now += std::chrono::milliseconds(100);
    shedder.measured(std::chrono::milliseconds(50), host.now);
    BOOST_TEST(shedder.share() == 0.0);
    BOOST_TEST(!shedder.overloaded(host.now));
}

// The caller goes back to its usual. Two seconds later nothing is refused any more.
BOOST_AUTO_TEST_CASE(refusalsEndWithTheOverload)
{
    LoadShedder shedder;
    Host host;
    host.play(shedder, 10, 60, 200);
    BOOST_TEST(shedder.share() > 0.5);
    host.play(shedder, 10, 5, 100);
    BOOST_TEST(shedder.share() < 0.02);
}

BOOST_AUTO_TEST_SUITE_END()
