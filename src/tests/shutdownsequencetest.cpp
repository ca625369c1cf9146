#include "gateway/shutdownsequence.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bamboohold;

namespace {

using Step = ShutdownSequence::Step;

constexpr Instant s_start{std::chrono::seconds(100)};
constexpr Duration s_gracePeriod = std::chrono::seconds(8);
constexpr int s_tickMs = 10;

}

BOOST_AUTO_TEST_SUITE(ShutdownSequenceTest)

// Guards against a process that stops under an open connection although it has time left, and against one that is killed because it waits
// too long.
BOOST_AUTO_TEST_CASE(openConnectionsAreWaitedForUntilTheDeadline)
{
    const bool holds = rc::check("a drain with connections that come and go at drawn times", [] {
        ShutdownSequence sequence({.startedAt = s_start, .gracePeriod = s_gracePeriod});
        const ShutdownSequence::Options defaults;
        ShutdownSequence::Load load{.listening = true};
        Step step = Step::Serve;
        for (Instant now = s_start; step != Step::Stop; now += std::chrono::milliseconds(s_tickMs)) {
            RC_ASSERT(now <= s_start + s_gracePeriod - defaults.stopReserve);
            const bool mayOpen = load.listening || load.connections > 0;
            load.connections = mayOpen ? *rc::gen::inRange<std::size_t>(0, 3) : 0;
            load.streams = *rc::gen::inRange<std::size_t>(0, load.connections + 1);
            load.listening = step == Step::Serve || (load.listening && *rc::gen::arbitrary<bool>());
            load.budgetsReturned = step == Step::ReturnBudgets && *rc::gen::arbitrary<bool>();
            const Step before = step;
            step = sequence.update(load, now);
            RC_ASSERT(step == before || static_cast<int>(step) == static_cast<int>(before) + 1);
            const bool open = load.listening || load.connections > 0;
            RC_ASSERT(step != Step::ReturnBudgets || before == step || !open || now >= sequence.workDeadline());
            RC_ASSERT(step != Step::Stop || !open || now >= s_start + s_gracePeriod - defaults.stopReserve);
            RC_ASSERT(step == Step::Serve || now >= s_start + defaults.rotationTime);
        }
    });
    BOOST_TEST(holds);
}

// Guards against connections that are accepted until the deadline, so that no time is left to answer what arrives on them.
BOOST_AUTO_TEST_CASE(lastingStreamsLeaveTimeToEndConnections)
{
    ShutdownSequence sequence({.startedAt = s_start, .gracePeriod = s_gracePeriod});
    const ShutdownSequence::Load load{.streams = 1, .connections = 1, .listening = true};
    Duration ending{};
    for (Instant now = s_start; now < sequence.workDeadline(); now += std::chrono::milliseconds(s_tickMs)) {
        ending += sequence.update(load, now) == Step::EndConnections ? std::chrono::milliseconds(s_tickMs) : Duration::zero();
    }
    BOOST_TEST((ending >= std::chrono::milliseconds(500)));
}

BOOST_AUTO_TEST_SUITE_END()
