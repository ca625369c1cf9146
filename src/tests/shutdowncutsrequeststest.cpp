#include "operations/drainsequence.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <ostream>

namespace bamboohold {

std::ostream &operator<<(std::ostream &stream, DrainStep step)
{
    return stream << static_cast<int>(step);
}

}

using namespace bamboohold;

namespace {

constexpr Instant s_limit = Instant(std::chrono::seconds(30));
constexpr Instant s_before = s_limit - std::chrono::milliseconds(1);
constexpr int s_events = 50;
const DrainSequence s_sequence(s_limit);

}

BOOST_AUTO_TEST_SUITE(ShutdownCutsRequestsTest)

// Guards against stopping while a request is being read, waits for its budget, or has its answer written.
BOOST_AUTO_TEST_CASE(openConnectionsHoldBackTheBudgets)
{
    BOOST_TEST(s_sequence.next({.connections = 1, .listenerClosed = true}, s_before) == DrainStep::Wait);
    BOOST_TEST(s_sequence.next({.connections = 0, .listenerClosed = true}, s_before) == DrainStep::ReturnBudgets);
}

// Guards against a listener that stays open while every connection has to end: new callers would keep the process from ending.
BOOST_AUTO_TEST_CASE(listenerClosesBeforeConnectionsAreAwaited)
{
    BOOST_TEST(s_sequence.next({.requests = 1, .connections = 1}, s_before) == DrainStep::Wait);
    BOOST_TEST(s_sequence.next({.connections = 1}, s_before) == DrainStep::CloseListener);
}

// Guards against a caller that never ends its connection and so keeps the process from ending.
BOOST_AUTO_TEST_CASE(limitEndsEveryWait)
{
    BOOST_TEST(s_sequence.next({.requests = 1, .connections = 1}, s_limit) == DrainStep::CloseListener);
    BOOST_TEST(s_sequence.next({.requests = 1, .connections = 1, .listenerClosed = true}, s_limit) == DrainStep::ReturnBudgets);
    BOOST_TEST(s_sequence.next({.requests = 1, .connections = 1, .listenerClosed = true, .budgetsReturned = true}, s_limit)
               == DrainStep::Stop);
}

// Guards against any order of events in which budgets are returned or the process stops under a caller.
BOOST_AUTO_TEST_CASE(noOrderOfEventsCutsARequest)
{
    const bool holds = rc::check([] {
        DrainProgress progress;
        bool stopped = false;
        for (int event = 0; event < s_events && !stopped; ++event) {
            if (!progress.listenerClosed) {
                progress.connections += *rc::gen::inRange<std::size_t>(0, 3);
            }
            progress.connections -= *rc::gen::inRange<std::size_t>(0, progress.connections + 1);
            progress.requests = *rc::gen::inRange<std::size_t>(0, progress.connections + 1);
            const DrainStep step = s_sequence.next(progress, s_before);
            RC_ASSERT(progress.connections == 0 || (step != DrainStep::ReturnBudgets && step != DrainStep::Stop));
            RC_ASSERT(progress.budgetsReturned || step != DrainStep::Stop);
            progress.listenerClosed = progress.listenerClosed || step == DrainStep::CloseListener;
            progress.budgetsReturned = progress.budgetsReturned || step == DrainStep::ReturnBudgets;
            stopped = step == DrainStep::Stop;
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
