#include "gateway/answerbounds.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(AnswerBoundsTest)

BOOST_AUTO_TEST_CASE(aStreamMayHaveNoMoreEventsThanTokens)
{
    AnswerBounds bounds({.maxTokens = 10, .extraEvents = 2});
    BOOST_TEST(!bounds.received(100, 12).has_value());
    BOOST_TEST(bounds.received(1, 13).has_value());
    BOOST_TEST(bounds.tooManyEvents(13));
    // The number of tokens is not stated.
    AnswerBounds unknown;
    BOOST_TEST(!unknown.received(100, 1'000'000).has_value());
}

// Guards against comments, or an event, without end; and against a long stream whose events end.
BOOST_AUTO_TEST_CASE(bytesWithoutAnEventAreBounded)
{
    AnswerBounds bounds({.maxBytesWithoutEvent = 100});
    for (std::uint64_t event = 1; event <= 50; ++event) {
        BOOST_TEST(!bounds.received(60, event).has_value());
    }
    BOOST_TEST(!bounds.received(100, 50).has_value());
    BOOST_TEST(bounds.received(1, 50).has_value());
    bounds.beginAttempt(50);
    BOOST_TEST(!bounds.received(100, 50).has_value());
}

BOOST_AUTO_TEST_CASE(timeIsOverAtTheDeadline)
{
    const Instant deadline{std::chrono::seconds(10)};
    const AnswerBounds bounds({.deadline = deadline});
    BOOST_TEST(!bounds.timeOver(deadline - std::chrono::milliseconds(1)));
    BOOST_TEST(bounds.timeOver(deadline));
}

BOOST_AUTO_TEST_SUITE_END()
