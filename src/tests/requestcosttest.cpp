#include "gateway/requestcost.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

const RequestMetadata s_metadata{.promptTokens = 100, .maxOutputTokens = 400};
constexpr Tokens s_worstCase = 500;

}

BOOST_AUTO_TEST_SUITE(RequestCostTest)

BOOST_AUTO_TEST_CASE(countsKnownUsageAndTheWorstCaseOtherwise)
{
    struct Case {
        RequestUsage use;
        Tokens used = 0;
    };
    const RequestUsage streamed{
        .outcome = AttemptOutcome::Delivered, .possibleExecutions = 1, .streamed = true, .events = 7, .tokensPerEvent = 3};
    RequestUsage again = streamed;
    again.hasUncountedAttempt = true;
    for (const Case &item :
         {Case{{.outcome = AttemptOutcome::NotRun}, 0},
          Case{{.outcome = AttemptOutcome::CallerDisconnected, .possibleExecutions = 0}, 0},
          Case{streamed, 121},
          Case{again, s_worstCase},
          Case{{.outcome = AttemptOutcome::Delivered, .possibleExecutions = 1}, s_worstCase},
          Case{{.outcome = AttemptOutcome::Failed, .possibleExecutions = 1}, 100},
          Case{{.outcome = AttemptOutcome::Failed, .possibleExecutions = 2, .hasUncountedAttempt = true}, s_worstCase},
          Case{{.outcome = AttemptOutcome::Incomplete, .possibleExecutions = 1, .streamed = true, .events = 7}, s_worstCase},
          Case{{.outcome = AttemptOutcome::TimedOut, .possibleExecutions = 1}, s_worstCase},
          Case{{.outcome = AttemptOutcome::NotRun, .possibleExecutions = 1}, s_worstCase}}) {
        BOOST_TEST(usedTokens(s_metadata, item.use) == item.used);
    }
}

// Guards against undercharging when a caller disconnects in the middle of a stream: the target goes on for a moment, and what it generates
// then is charged to the team.
BOOST_AUTO_TEST_CASE(undeliveredOutputIsCounted)
{
    const RequestUsage left{
        .outcome = AttemptOutcome::CallerDisconnected, .possibleExecutions = 1, .streamed = true, .events = 10, .tokensPerEvent = 2};
    BOOST_TEST(usedTokens(s_metadata, left) > 120);
}

// Guards against a team that is charged more than a request may use: a caller that left was charged events that its target could have made
// in half a second, whatever the request was limited to.
BOOST_AUTO_TEST_CASE(noRequestIsChargedMoreThanItMayUse)
{
    for (const AttemptOutcome outcome : {AttemptOutcome::Delivered,
                                         AttemptOutcome::CallerDisconnected,
                                         AttemptOutcome::Incomplete,
                                         AttemptOutcome::Failed,
                                         AttemptOutcome::TimedOut,
                                         AttemptOutcome::NotRun}) {
        for (const Tokens limit : {0, 3, 20, 400}) {
            for (const std::uint64_t events : {0U, 1U, 4U, 200U}) {
                const RequestMetadata metadata{.promptTokens = 100, .maxOutputTokens = limit};
                const RequestUsage use{
                    .outcome = outcome, .possibleExecutions = 1, .streamed = events > 0, .events = events, .tokensPerEvent = 6};
                BOOST_TEST(usedTokens(metadata, use) <= metadata.worstCaseTokens());
                BOOST_TEST(usedTokens(metadata, use) >= metadata.promptTokens + std::min<Tokens>(static_cast<Tokens>(events), limit));
            }
        }
    }
}

// Guards against a team that pays the worst case for each stream that a crash of its target has ended, though all of it has arrived.
BOOST_AUTO_TEST_CASE(streamClosedInsideAnEventIsChargedByItsEvents)
{
    const RequestUsage broken{.outcome = AttemptOutcome::Incomplete,
                              .possibleExecutions = 1,
                              .closedInOrder = 1,
                              .streamed = true,
                              .events = 7,
                              .tokensPerEvent = 3};
    BOOST_TEST(usedTokens(s_metadata, broken) == 124);
    RequestUsage beforeFirstEvent = broken;
    beforeFirstEvent.events = 0;
    beforeFirstEvent.streamed = false;
    BOOST_TEST(usedTokens(s_metadata, beforeFirstEvent) == 103);
    RequestUsage continued = broken;
    continued.outcome = AttemptOutcome::Delivered;
    continued.possibleExecutions = 2;
    BOOST_TEST(usedTokens(s_metadata, continued) == 124);
    RequestUsage declinedElsewhere = broken;
    declinedElsewhere.outcome = AttemptOutcome::NotRun;
    BOOST_TEST(usedTokens(s_metadata, declinedElsewhere) == 124);
    RequestUsage longer = broken;
    longer.events = 1000;
    BOOST_TEST(usedTokens(s_metadata, longer) == s_worstCase);
    RequestUsage resetBefore = broken;
    resetBefore.hasUncountedAttempt = true;
    BOOST_TEST(usedTokens(s_metadata, resetBefore) == s_worstCase);
}

BOOST_AUTO_TEST_SUITE_END()
