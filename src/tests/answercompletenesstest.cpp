#include "engine/answercompleteness.h"
#include "engine/usagescanner.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(AnswerCompletenessTest)

// Guards against an answer that ends with its connection because its engine crashed, and that reaches the caller as complete.
BOOST_AUTO_TEST_CASE(answersThatAreCutAreNotComplete)
{
    struct Case {
        std::string type;
        std::string body;
        /// By the end of the connection, and by a length or chunks.
        bool completeAtClose = false;
        bool completeByLength = false;
    };
    for (const Case &item : {Case{"application/json", R"({"choices":[{"text":"w0 w1"}],"usage":{"prompt_tokens":1}})", true, true},
                             Case{"application/json; charset=utf-8", R"({"choices":[{"text":"w0 w1)", false, true},
                             Case{"application/json", R"({"choices":[{"text":"w0 w1"}])", false, true},
                             Case{"application/json", "", false, true},
                             Case{"application/json", "{}{", false, true},
                             Case{"text/plain", "whatever", true, true},
                             Case{"text/event-stream", "data: {}\n\ndata: [DONE]\n\n", true, true},
                             Case{"text/event-stream", "data: {}\n\n", false, false}}) {
        for (const AnswerFraming framing : {AnswerFraming::Connection, AnswerFraming::Length, AnswerFraming::Chunks}) {
            AnswerCompleteness completeness(framing, item.type);
            UsageScanner scanner;
            for (std::size_t at = 0; at < item.body.size(); at += 5) {
                const std::string part = item.body.substr(at, 5);
                scanner.feed(part);
                completeness.feed(part);
            }
            const bool expected = framing == AnswerFraming::Connection ? item.completeAtClose : item.completeByLength;
            BOOST_TEST(completeness.complete(scanner) == expected, item.type << " " << item.body << " " << framingName(framing));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
