#include "request/requeststatemachine.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(RequestCourseTest)

namespace {

AnswerFrame frame(std::uint64_t sequence, auto content, std::uint32_t attempt = 1)
{
    return {.attempt = attempt, .sequence = sequence, .content = std::move(content)};
}

AnswerEnd complete(std::uint64_t bytes)
{
    return {.end = RunEnd::Complete, .usage = TokenUsage{.prompt = 3, .output = 4}, .charged = 7, .dataBytes = bytes};
}

RequestStateMachine started()
{
    RequestStateMachine machine({.maxAttempts = 3});
    machine.beginAttempt("a");
    return machine;
}

}

BOOST_AUTO_TEST_CASE(wholeAnswer)
{
    RequestStateMachine machine = started();
    BOOST_TEST((machine.onFrame(frame(0, AnswerHead{.status = 200})) == RequestAction::Deliver));
    BOOST_TEST((machine.onFrame(frame(1, AnswerPromptCounted{.tokens = 3})) == RequestAction::LowerReservation));
    BOOST_TEST((machine.onFrame(frame(2, AnswerData{.bytes = "abc"})) == RequestAction::Deliver));
    BOOST_TEST((machine.onFrame(frame(3, complete(3))) == RequestAction::Finish));
    BOOST_TEST((machine.outcome() == Outcome::Answered));
    BOOST_TEST(machine.charged().value() == 7);
}

// Guards against an answer that contains parts of another one or lacks a part. Frames arrive late, twice, from an abandoned attempt, or one
// is missing; each case must end in a complete answer or in a failure.
BOOST_AUTO_TEST_CASE(lateDuplicateForeignAndMissingFrames)
{
    RequestStateMachine duplicated = started();
    (void)duplicated.onFrame(frame(0, AnswerHead{.status = 200}));
    (void)duplicated.onFrame(frame(1, AnswerData{.bytes = "abc"}));
    BOOST_TEST((duplicated.onFrame(frame(1, AnswerData{.bytes = "abc"})) == RequestAction::Ignore));
    BOOST_TEST((duplicated.onFrame(frame(2, complete(3))) == RequestAction::Finish));
    BOOST_TEST((duplicated.outcome() == Outcome::Answered));
    BOOST_TEST((duplicated.onFrame(frame(3, AnswerData{.bytes = "x"})) == RequestAction::Ignore));

    RequestStateMachine missing = started();
    (void)missing.onFrame(frame(0, AnswerHead{.status = 200}));
    BOOST_TEST((missing.onFrame(frame(2, AnswerData{.bytes = "def"})) == RequestAction::Finish));
    BOOST_TEST((missing.outcome() == Outcome::FailedAfterRunning));
    BOOST_TEST((missing.failure().kind == FailureKind::AnswerIncomplete));

    // A sidecar repeats the end for a router that was suspended: the answer stays incomplete, but the charge is known.
    RequestStateMachine repeated = started();
    (void)repeated.onFrame(frame(0, AnswerHead{.status = 200}));
    BOOST_TEST((repeated.onFrame(frame(UINT64_MAX, complete(3))) == RequestAction::Finish));
    BOOST_TEST((repeated.outcome() == Outcome::FailedAfterRunning));
    BOOST_TEST(repeated.charged().value() == 7);

    RequestStateMachine abandoned = started();
    BOOST_TEST((abandoned.onFrame(frame(0, AnswerRefused{.reason = RunRefusal::Full})) == RequestAction::RetryElsewhere));
    abandoned.beginAttempt("b");
    BOOST_TEST((abandoned.onFrame(frame(0, AnswerHead{.status = 200}, 1)) == RequestAction::Ignore));
    BOOST_TEST((abandoned.onFrame(frame(0, AnswerHead{.status = 200}, 2)) == RequestAction::Deliver));

    RequestStateMachine fewerBytes = started();
    (void)fewerBytes.onFrame(frame(0, AnswerHead{.status = 200}));
    BOOST_TEST((fewerBytes.onFrame(frame(1, complete(3))) == RequestAction::Finish));
    BOOST_TEST((fewerBytes.failure().kind == FailureKind::AnswerIncomplete));
}

// Guards against "not run" for a request that may have run: after a dispatch, every outcome that is not proven is "unknown" or "failed
// after running".
BOOST_AUTO_TEST_CASE(notRunOnlyWhereProved)
{
    struct Case {
        const char *description;
        std::function<RequestAction(RequestStateMachine &)> act;
        Outcome outcome;
    };
    const std::vector<Case> cases{
        {"no target could be asked",
         [](RequestStateMachine &machine) {
             return machine.onNoTarget({.kind = FailureKind::NoTarget});
         },
         Outcome::NotRun},
        {"the router was sealed off",
         [](RequestStateMachine &machine) {
             return machine.onFrame(frame(0, AnswerRefused{.reason = RunRefusal::Sealed}));
         },
         Outcome::NotRun},
        {"contact lost before any frame",
         [](RequestStateMachine &machine) {
             return machine.onLost(FailureKind::TargetLost);
         },
         Outcome::Unknown},
        {"contact lost in the middle",
         [](RequestStateMachine &machine) {
             (void)machine.onFrame(frame(0, AnswerHead{.status = 200}));
             return machine.onLost(FailureKind::TargetLost);
         },
         Outcome::FailedAfterRunning},
        {"the engine was lost after it had the request",
         [](RequestStateMachine &machine) {
             return machine.onFrame(frame(0, AnswerEnd{.end = RunEnd::Unknown, .charged = 9}));
         },
         Outcome::Unknown},
        {"the engine cut the answer",
         [](RequestStateMachine &machine) {
             return machine.onFrame(frame(0, AnswerEnd{.end = RunEnd::FailedAfterRunning, .charged = 9}));
         },
         Outcome::FailedAfterRunning},
        {"a run of the request is known already",
         [](RequestStateMachine &machine) {
             return machine.onFrame(frame(0, AnswerRefused{.reason = RunRefusal::Duplicate}));
         },
         Outcome::Unknown},
    };
    for (const Case &one : cases) {
        RequestStateMachine machine = started();
        BOOST_TEST_CONTEXT(one.description)
        {
            BOOST_TEST((one.act(machine) == RequestAction::Finish));
            BOOST_TEST((machine.outcome() == one.outcome));
            BOOST_TEST((machine.outcome() == Outcome::NotRun) == (machine.failure().executed == Executed::No));
        }
    }
}

BOOST_AUTO_TEST_CASE(declinedEverywhereIsNotRun)
{
    RequestStateMachine machine = started();
    BOOST_TEST((machine.onFrame(frame(0, AnswerRefused{.reason = RunRefusal::Full})) == RequestAction::RetryElsewhere));
    machine.beginAttempt("b");
    BOOST_TEST((machine.onFrame(frame(0, AnswerEnd{.end = RunEnd::NotRun}, 2)) == RequestAction::RetryElsewhere));
    machine.beginAttempt("c");
    BOOST_TEST((machine.onFrame(frame(0, AnswerRefused{.reason = RunRefusal::Leaving}, 3)) == RequestAction::Finish));
    BOOST_TEST((machine.outcome() == Outcome::NotRun));
    BOOST_TEST(machine.charged().value() == 0);
    BOOST_TEST(machine.declinedTargets().size() == 3);
}

BOOST_AUTO_TEST_SUITE_END()
