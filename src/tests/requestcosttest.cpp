#include "gateway/requestcost.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

const RequestTerms s_terms{.promptTokens = 100, .outputLimit = 400};
constexpr Tokens s_worstCase = 500;

}

BOOST_AUTO_TEST_SUITE(RequestCostTest)

BOOST_AUTO_TEST_CASE(countsWhatIsKnownAndTheWorstCaseOtherwise)
{
    struct Case {
        RequestUse use;
        Tokens used = 0;
    };
    const RequestUse streamed{.end = AttemptOutcome::Delivered, .ran = 1, .streamed = true, .events = 7, .tokensPerEvent = 3};
    RequestUse again = streamed;
    again.uncounted = true;
    for (const Case &item : {Case{{.end = AttemptOutcome::NotRun}, 0},
                             Case{{.end = AttemptOutcome::CallerDisconnected, .ran = 0}, 0},
                             Case{streamed, 121},
                             Case{again, s_worstCase},
                             Case{{.end = AttemptOutcome::Delivered, .ran = 1}, s_worstCase},
                             Case{{.end = AttemptOutcome::Failed, .ran = 1}, 100},
                             Case{{.end = AttemptOutcome::Failed, .ran = 2, .uncounted = true}, s_worstCase},
                             Case{{.end = AttemptOutcome::Incomplete, .ran = 1, .streamed = true, .events = 7}, s_worstCase},
                             Case{{.end = AttemptOutcome::TimedOut, .ran = 1}, s_worstCase},
                             Case{{.end = AttemptOutcome::NotRun, .ran = 1}, s_worstCase}}) {
        BOOST_TEST(usedTokens(s_terms, item.use) == item.used);
    }
}

// A caller leaves in the middle of a stream. The target goes on for a moment: what it generates unseen was generated for the team.
BOOST_AUTO_TEST_CASE(whatWasGeneratedUnseenCounts)
{
    const RequestUse left{.end = AttemptOutcome::CallerDisconnected, .ran = 1, .streamed = true, .events = 10, .tokensPerEvent = 2};
    BOOST_TEST(usedTokens(s_terms, left) > 120);
}

BOOST_AUTO_TEST_SUITE_END()
