#include "overload/connectiongate.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>

using namespace bamboohold;

namespace {

constexpr Duration s_tick = std::chrono::milliseconds(50);
constexpr double s_linkBytesPerSecond = 1'250'000;

constexpr double s_requestBytes = 4000;

/// A link of 10 Mbit/s on which each connection brings one request.
struct Link {
    /// Callers connect this often. What the link does not carry at once waits before it.
    void run(Duration time, double connectionsPerSecond)
    {
        for (const Instant end = now + time; now < end; now += s_tick) {
            asked += connectionsPerSecond * seconds(s_tick);
            const auto arriving = static_cast<std::size_t>(asked);
            asked -= static_cast<double>(arriving);
            const std::size_t accepting = std::min(arriving, limit.value_or(arriving));
            refused += arriving - accepting;
            accepted += accepting;
            waiting += static_cast<double>(accepting) * s_requestBytes;
            const double carried = std::min(waiting, s_linkBytesPerSecond * seconds(s_tick));
            waiting -= carried;
            received += carried;
            mostWaiting = std::max(mostWaiting, waiting);
            limit = gate.update(
                {.received = static_cast<std::uint64_t>(received), .served = static_cast<std::uint64_t>(received / s_requestBytes)}, now);
        }
    }

    ConnectionGate gate{{.linkMbps = 10}};
    std::optional<std::size_t> limit;
    Instant now{std::chrono::seconds(100)};
    double asked = 0;
    double waiting = 0;
    double received = 0;
    double mostWaiting = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
};

}

BOOST_AUTO_TEST_SUITE(ConnectionGateTest)

// Guards against a link on which requests wait for seconds, so that their callers have left when they are read.
BOOST_AUTO_TEST_CASE(requestsDoNotPileUpBeforeAFullLink)
{
    for (const double factor : {1.3, 2.0, 10.0}) {
        Link link;
        link.run(std::chrono::seconds(10), factor * s_linkBytesPerSecond / s_requestBytes);
        BOOST_TEST(link.mostWaiting <= 0.5 * factor * s_linkBytesPerSecond);
        const double before = link.received;
        link.mostWaiting = 0;
        link.run(std::chrono::seconds(10), factor * s_linkBytesPerSecond / s_requestBytes);
        BOOST_TEST(link.mostWaiting <= 0.25 * s_linkBytesPerSecond);
        BOOST_TEST(link.received - before >= 0.5 * 10 * s_linkBytesPerSecond);
    }
}

BOOST_AUTO_TEST_CASE(aLinkWithRoomRefusesNothing)
{
    Link link;
    link.run(std::chrono::seconds(10), 0.7 * s_linkBytesPerSecond / s_requestBytes);
    // A burst that the link carries within a tenth of a second.
    link.run(s_tick, 1.5 * s_linkBytesPerSecond / s_requestBytes);
    link.run(std::chrono::seconds(1), 0);
    BOOST_TEST(link.refused == 0U);
}

BOOST_AUTO_TEST_CASE(connectionsAreAcceptedAgainAfterAnOverload)
{
    Link link;
    link.run(std::chrono::seconds(5), 3 * s_linkBytesPerSecond / s_requestBytes);
    BOOST_TEST(link.refused > 0U);
    link.run(std::chrono::seconds(3), 0.1 * s_linkBytesPerSecond / s_requestBytes);
    BOOST_TEST(!link.limit.has_value());
}

// Guards against a host that accepts nothing any more, and against one that is flooded as soon as it accepts again.
BOOST_AUTO_TEST_CASE(noMoreIsAcceptedThanTheMostUrgentCanBeChosenFrom)
{
    ConnectionGate gate;
    Instant now{std::chrono::seconds(100)};
    std::uint64_t served = 0;
    std::optional<std::size_t> limit;
    const auto run = [&](Duration time, double refusedShare) {
        for (const Instant end = now + time; now < end; now += s_tick) {
            served += 5;
            limit = gate.update({.served = served, .refusedShare = refusedShare}, now);
        }
    };
    run(std::chrono::seconds(3), 0.4);
    BOOST_TEST(!limit.has_value());
    run(std::chrono::seconds(1), 0.6);
    BOOST_TEST(limit.value_or(1) == 0U);
    run(s_tick, 0.46);
    BOOST_TEST(limit.value_or(1) == 0U);
    run(s_tick, 0.44);
    BOOST_TEST((limit.value_or(0) >= 9U && limit.value_or(100) <= 10U));
    run(std::chrono::seconds(2), 0.44);
    BOOST_TEST(!limit.has_value());
}

BOOST_AUTO_TEST_CASE(withoutALimitOfTheLinkOnlyTheShareCounts)
{
    for (const double limit : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        ConnectionGate gate({.linkMbps = limit});
        const Instant now{std::chrono::seconds(100)};
        BOOST_TEST(!gate.update({}, now).has_value());
        BOOST_TEST(!gate.update({.received = 1'000'000'000}, now + s_tick).has_value());
        BOOST_TEST(gate.update({.received = 1'000'000'000, .refusedShare = 0.5}, now + 2 * s_tick).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
