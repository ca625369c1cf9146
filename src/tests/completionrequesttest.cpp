#include "caller/completionrequest.h"
#include "failure/failure.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(CompletionRequestTest)

namespace {

constexpr OutputLimits s_limits{.defaultLimit = 50, .maxLimit = 1000};

}

BOOST_AUTO_TEST_CASE(engineBodyAlwaysSetsTheOutputLimit)
{
    struct Case {
        const char *body;
        Tokens limit;
    };
    for (const Case &testCase : {Case{R"({"model":"m","prompt":"x"})", 50},
                                 Case{R"({"model":"m","prompt":"x","max_tokens":7})", 7},
                                 Case{R"({"model":"m","prompt":"x","max_completion_tokens":8,"max_tokens":7})", 8},
                                 Case{R"({"model":"m","prompt":"x","max_tokens":null})", 50}}) {
        const auto request = readCompletionRequest(testCase.body, false, s_limits);
        BOOST_REQUIRE(request.ok());
        BOOST_TEST(request->outputLimit == testCase.limit);
        const auto sent = boost::json::parse(request->engineBody);
        BOOST_TEST(sent.at("max_tokens").as_int64() == testCase.limit);
        BOOST_TEST(!sent.as_object().contains("max_completion_tokens"));
        BOOST_TEST(request->bound >= testCase.limit + 1);
    }
}

BOOST_AUTO_TEST_CASE(outputLimitCoversAllChoices)
{
    const auto request = readCompletionRequest(R"({"model":"m","prompt":"x","max_tokens":100,"n":3})", false, s_limits);
    BOOST_REQUIRE(request.ok());
    BOOST_TEST(request->outputLimit == 300);
}

BOOST_AUTO_TEST_CASE(invalidBodiesGiveInvalidRequest)
{
    for (const char *body : {"",
                             "[]",
                             "{}",
                             R"({"model":"m"})",
                             R"({"model":"","prompt":"x"})",
                             R"({"model":"m","prompt":3})",
                             R"({"model":"m","prompt":"x","stream":"yes"})",
                             R"({"model":"m","prompt":"x","max_tokens":0})",
                             R"({"model":"m","prompt":"x","max_tokens":1001})",
                             R"({"model":"m","prompt":"x","max_tokens":1.5})",
                             R"({"model":"m","prompt":"x","n":99})"}) {
        const auto request = readCompletionRequest(body, false, s_limits);
        BOOST_REQUIRE(!request.ok());
        BOOST_TEST((toFailure(request.status()).kind == FailureKind::InvalidRequest));
        BOOST_TEST((toFailure(request.status()).executed == Executed::No));
    }
    BOOST_TEST(!readCompletionRequest(R"({"model":"m","messages":[]})", true, s_limits).ok());
}

BOOST_AUTO_TEST_SUITE_END()
