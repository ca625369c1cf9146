#include "gateway/loadshedder.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace bamboohold;

namespace {

/// Simulates a host that serves a fixed number of requests per tick; the rest is queued.
struct SimulatedHost {
    /// Returns the share of requests admitted during the last 20 ticks (one second). Requests that are still queued delay those of the next
    /// call.
    double simulate(LoadShedder &shedder, double capacityPerTick, double arrivalsPerTick, int ticks)
    {
        double admittedTotal = 0;
        for (int tick = 0; tick < ticks; ++tick) {
            int admittedNow = 0;
            for (int request = 0; request < static_cast<int>(arrivalsPerTick); ++request) {
                admittedNow += shedder.shouldRefuse(++nextRequestHash) ? 0 : 1;
            }
            queued = std::max(0.0, queued + admittedNow - capacityPerTick);
            now += LoadShedder::s_measurementInterval;
            shedder.recordDelay(std::chrono::milliseconds(static_cast<std::int64_t>(50 * queued / capacityPerTick)), now);
            admittedTotal += tick >= ticks - 20 ? admittedNow : 0;
        }
        return admittedTotal / (20 * arrivalsPerTick);
    }

    double queued = 0;
    std::uint64_t nextRequestHash = 0;
    Instant now = Instant(std::chrono::seconds(100));
};

}

BOOST_AUTO_TEST_SUITE(LoadShedderTest)

// One caller sends six times what its router can serve. Without refusals each request would wait longer than the one before, until all
// callers of this router give up while the routers beside it are idle.
BOOST_AUTO_TEST_CASE(overloadedHostKeepsWhatItCanServe)
{
    LoadShedder shedder;
    SimulatedHost host;
    const double admittedShare = host.simulate(shedder, 10, 60, 400);
    BOOST_TEST(admittedShare > 0.08);
    BOOST_TEST(admittedShare < 0.22);
    // The queue stays as short as a few ticks, in milliseconds, which is well within the callers' timeouts.
    BOOST_TEST(host.queued / 10 * 50 < 400);
}

// The load is an eighth above the capacity. About that share is refused, not nearly everything.
BOOST_AUTO_TEST_CASE(slightOverloadRefusesLittle)
{
    LoadShedder shedder;
    SimulatedHost host;
    BOOST_TEST(host.simulate(shedder, 40, 45, 400) > 0.7);
}

// The load balancer moves the caller to another host, and back once this host reports that it is no longer overloaded. Each move causes
// refusals, so a host that is overloaded again soon must stay out of rotation for longer.
BOOST_AUTO_TEST_CASE(repeatedOverloadLastsLonger)
{
    LoadShedder shedder;
    SimulatedHost host;
    const auto overloadPeriod = [&] {
        while (!shedder.overloaded(host.now)) {
            host.simulate(shedder, 10, 60, 1);
        }
        const Instant begun = host.now;
        while (shedder.overloaded(host.now)) {
            host.simulate(shedder, 10, 1, 1);
        }
        return host.now - begun;
    };
    const Duration first = overloadPeriod();
    const Duration second = overloadPeriod();
    BOOST_TEST((first >= std::chrono::seconds(7)));
    BOOST_TEST((second >= first + std::chrono::seconds(7)));
}

// Guards against callers that are told to retry before the load balancer sends them to another host, and are refused twice.
BOOST_AUTO_TEST_CASE(callersRetryOnceConnectionsAreRedirected)
{
    LoadShedder shedder;
    SimulatedHost host;
    BOOST_TEST(!shedder.timeUntilRedirect(host.now).has_value());
    while (!shedder.overloaded(host.now)) {
        host.simulate(shedder, 10, 60, 1);
    }
    BOOST_TEST((shedder.timeUntilRedirect(host.now) == LoadShedder::s_rotationTime));
    BOOST_TEST((shedder.timeUntilRedirect(host.now + std::chrono::seconds(1)) == LoadShedder::s_rotationTime - std::chrono::seconds(1)));
    BOOST_TEST((shedder.timeUntilRedirect(host.now + std::chrono::seconds(3)) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(hostWithSpareTimeRefusesNothing)
{
    LoadShedder shedder;
    SimulatedHost host;
    BOOST_TEST(host.simulate(shedder, 10, 8, 200) == 1.0);
    // A single late measurement, for example after a pause of the whole host, is no overload.
    host.now += std::chrono::milliseconds(100);
    shedder.recordDelay(std::chrono::milliseconds(50), host.now);
    BOOST_TEST(shedder.refusedShare() == 0.0);
    BOOST_TEST(!shedder.overloaded(host.now));
}

// The load returns to normal. Refusals must end within a few seconds.
BOOST_AUTO_TEST_CASE(refusalsEndWithTheOverload)
{
    LoadShedder shedder;
    SimulatedHost host;
    host.simulate(shedder, 10, 60, 200);
    BOOST_TEST(shedder.refusedShare() > 0.5);
    host.simulate(shedder, 10, 5, 100);
    BOOST_TEST(shedder.refusedShare() < 0.02);
}

BOOST_AUTO_TEST_SUITE_END()
