#include "request/requestcourse.h"

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

RequestCourse begun()
{
    RequestCourse course({.maxAttempts = 3});
    course.beginAttempt("a");
    return course;
}

}

BOOST_AUTO_TEST_CASE(wholeAnswer)
{
    RequestCourse course = begun();
    BOOST_TEST((course.onFrame(frame(0, AnswerHead{.status = 200})) == CourseStep::Deliver));
    BOOST_TEST((course.onFrame(frame(1, AnswerPromptCounted{.tokens = 3})) == CourseStep::Tighten));
    BOOST_TEST((course.onFrame(frame(2, AnswerData{.bytes = "abc"})) == CourseStep::Deliver));
    BOOST_TEST((course.onFrame(frame(3, complete(3))) == CourseStep::Finish));
    BOOST_TEST((course.outcome() == Outcome::Answered));
    BOOST_TEST(course.charged().value() == 7);
}

// A caller would read words of another answer or a hole in its own. Frames come late, twice, from an abandoned attempt, or one is missing;
// each case must end in an answer that is whole or in a failure, never in something between.
BOOST_AUTO_TEST_CASE(lateDoubledForeignAndMissingFrames)
{
    RequestCourse doubled = begun();
    (void)doubled.onFrame(frame(0, AnswerHead{.status = 200}));
    (void)doubled.onFrame(frame(1, AnswerData{.bytes = "abc"}));
    BOOST_TEST((doubled.onFrame(frame(1, AnswerData{.bytes = "abc"})) == CourseStep::Ignore));
    BOOST_TEST((doubled.onFrame(frame(2, complete(3))) == CourseStep::Finish));
    BOOST_TEST((doubled.outcome() == Outcome::Answered));
    BOOST_TEST((doubled.onFrame(frame(3, AnswerData{.bytes = "x"})) == CourseStep::Ignore));

    RequestCourse missing = begun();
    (void)missing.onFrame(frame(0, AnswerHead{.status = 200}));
    BOOST_TEST((missing.onFrame(frame(2, AnswerData{.bytes = "def"})) == CourseStep::Finish));
    BOOST_TEST((missing.outcome() == Outcome::FailedAfterRunning));
    BOOST_TEST((missing.failure().kind == FailureKind::AnswerIncomplete));

    // The end is repeated for a router that was paused: the answer stays incomplete, but the charge is known.
    RequestCourse repeated = begun();
    (void)repeated.onFrame(frame(0, AnswerHead{.status = 200}));
    BOOST_TEST((repeated.onFrame(frame(UINT64_MAX, complete(3))) == CourseStep::Finish));
    BOOST_TEST((repeated.outcome() == Outcome::FailedAfterRunning));
    BOOST_TEST(repeated.charged().value() == 7);

    RequestCourse abandoned = begun();
    BOOST_TEST((abandoned.onFrame(frame(0, AnswerRefused{.reason = RunRefusal::Full})) == CourseStep::TryElsewhere));
    abandoned.beginAttempt("b");
    BOOST_TEST((abandoned.onFrame(frame(0, AnswerHead{.status = 200}, 1)) == CourseStep::Ignore));
    BOOST_TEST((abandoned.onFrame(frame(0, AnswerHead{.status = 200}, 2)) == CourseStep::Deliver));

    RequestCourse fewerBytes = begun();
    (void)fewerBytes.onFrame(frame(0, AnswerHead{.status = 200}));
    BOOST_TEST((fewerBytes.onFrame(frame(1, complete(3))) == CourseStep::Finish));
    BOOST_TEST((fewerBytes.failure().kind == FailureKind::AnswerIncomplete));
}

// "Not run" may be said only where it is proved; whatever else happens after a dispatch is "unknown" or "failed after running".
BOOST_AUTO_TEST_CASE(notRunOnlyWhereProved)
{
    struct Case {
        const char *story;
        std::function<CourseStep(RequestCourse &)> act;
        Outcome outcome;
    };
    const std::vector<Case> cases{
        {"no target could be asked",
         [](RequestCourse &course) {
             return course.onNoTarget({.kind = FailureKind::NoTarget});
         },
         Outcome::NotRun},
        {"the router was sealed off",
         [](RequestCourse &course) {
             return course.onFrame(frame(0, AnswerRefused{.reason = RunRefusal::Sealed}));
         },
         Outcome::NotRun},
        {"contact lost before any frame",
         [](RequestCourse &course) {
             return course.onLost(FailureKind::TargetLost);
         },
         Outcome::Unknown},
        {"contact lost in the middle",
         [](RequestCourse &course) {
             (void)course.onFrame(frame(0, AnswerHead{.status = 200}));
             return course.onLost(FailureKind::TargetLost);
         },
         Outcome::FailedAfterRunning},
        {"the engine was lost after it had the request",
         [](RequestCourse &course) {
             return course.onFrame(frame(0, AnswerEnd{.end = RunEnd::Unknown, .charged = 9}));
         },
         Outcome::Unknown},
        {"the engine cut the answer",
         [](RequestCourse &course) {
             return course.onFrame(frame(0, AnswerEnd{.end = RunEnd::FailedAfterRunning, .charged = 9}));
         },
         Outcome::FailedAfterRunning},
        {"a run of the request is known already",
         [](RequestCourse &course) {
             return course.onFrame(frame(0, AnswerRefused{.reason = RunRefusal::Duplicate}));
         },
         Outcome::Unknown},
    };
    for (const Case &one : cases) {
        RequestCourse course = begun();
        BOOST_TEST_CONTEXT(one.story)
        {
            BOOST_TEST((one.act(course) == CourseStep::Finish));
            BOOST_TEST((course.outcome() == one.outcome));
            BOOST_TEST((course.outcome() == Outcome::NotRun) == (course.failure().executed == Executed::No));
        }
    }
}

BOOST_AUTO_TEST_CASE(declinedEverywhereIsNotRun)
{
    RequestCourse course = begun();
    BOOST_TEST((course.onFrame(frame(0, AnswerRefused{.reason = RunRefusal::Full})) == CourseStep::TryElsewhere));
    course.beginAttempt("b");
    BOOST_TEST((course.onFrame(frame(0, AnswerEnd{.end = RunEnd::NotRun}, 2)) == CourseStep::TryElsewhere));
    course.beginAttempt("c");
    BOOST_TEST((course.onFrame(frame(0, AnswerRefused{.reason = RunRefusal::Leaving}, 3)) == CourseStep::Finish));
    BOOST_TEST((course.outcome() == Outcome::NotRun));
    BOOST_TEST(course.charged().value() == 0);
    BOOST_TEST(course.declined().size() == 3);
}

BOOST_AUTO_TEST_SUITE_END()
