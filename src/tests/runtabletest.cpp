#include "engine/runtable.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(RunTableTest)

namespace {

Instant at(std::int64_t seconds)
{
    return Instant(std::chrono::seconds(seconds));
}

RunTable::Attempt attempt(std::string requestId, std::string router = "router~1")
{
    return {.requestId = std::move(requestId),
            .attempt = 1,
            .router = std::move(router),
            .targetIncarnation = "target~1",
            .budget = "team",
            .bound = 100,
            .expiresIn = std::chrono::seconds(1)};
}

RunTable tableKnowing(std::vector<std::string> live = {}, std::vector<std::string> dead = {})
{
    RunTable table({.incarnation = "target~1", .limit = 2});
    table.setKnownRouters(live, dead);
    return table;
}

}

BOOST_AUTO_TEST_CASE(admitGivesTheReasonOfARefusal)
{
    struct Case {
        const char *description;
        RunRefusal reason;
        std::function<RunTable::Attempt(RunTable &)> prepare;
    };
    const std::vector<Case> cases{
        {"two runs in progress",
         RunRefusal::Full,
         [](RunTable &table) {
             (void)table.admit(attempt("a"), at(1));
             (void)table.admit(attempt("b"), at(1));
             return attempt("c");
         }},
        {"request already recorded",
         RunRefusal::Duplicate,
         [](RunTable &table) {
             (void)table.admit(attempt("a"), at(1));
             table.finish("a", RunEnd::Complete, TokenUsage{.prompt = 1, .output = 1});
             return attempt("a");
         }},
        {"addressed to an earlier process",
         RunRefusal::WrongIncarnation,
         [](RunTable &) {
             RunTable::Attempt late = attempt("a");
             late.targetIncarnation = "target~0";
             return late;
         }},
        {"draining",
         RunRefusal::Leaving,
         [](RunTable &table) {
             table.beginDrain();
             return attempt("a");
         }},
        {"past its deadline",
         RunRefusal::Expired,
         [](RunTable &) {
             RunTable::Attempt late = attempt("a");
             late.expiresIn = Duration::zero();
             return late;
         }},
        {"router declared dead",
         RunRefusal::Sealed,
         [](RunTable &table) {
             (void)table.seal("router~1");
             return attempt("a");
         }},
    };
    for (const Case &testCase : cases) {
        RunTable table = tableKnowing();
        const auto refusal = table.admit(testCase.prepare(table), at(2));
        BOOST_TEST_CONTEXT(testCase.description)
        {
            BOOST_REQUIRE(refusal.has_value());
            BOOST_TEST((*refusal == testCase.reason));
        }
    }
}

// A sidecar restarts while a router that was declared dead is paused. When the router resumes, the new sidecar process must refuse its
// attempts as the earlier one did.
BOOST_AUTO_TEST_CASE(admitsNothingUntilDeadRoutersAreKnown)
{
    RunTable table({.incarnation = "target~1", .limit = 2});
    BOOST_TEST((table.admit(attempt("a"), at(1)) == RunRefusal::Leaving));
    table.setKnownRouters({}, std::vector<std::string>{"router~1"});
    BOOST_TEST((table.admit(attempt("a"), at(1)) == RunRefusal::Sealed));
    BOOST_TEST(!table.admit(attempt("a", "router~2"), at(1)).has_value());
}

BOOST_AUTO_TEST_CASE(chargesReportedUsageOrTheBound)
{
    struct Case {
        RunEnd end;
        std::optional<TokenUsage> usage;
        Tokens charged;
    };
    for (const Case &testCase : {Case{RunEnd::Complete, TokenUsage{.prompt = 10, .output = 20}, 30},
                                 Case{RunEnd::Complete, TokenUsage{.prompt = 90, .output = 90}, 100},
                                 Case{RunEnd::Complete, std::nullopt, 100},
                                 Case{RunEnd::FailedAfterRunning, std::nullopt, 100},
                                 Case{RunEnd::Unknown, std::nullopt, 100},
                                 Case{RunEnd::NotRun, std::nullopt, 0}}) {
        RunTable table = tableKnowing();
        (void)table.admit(attempt("a"), at(1));
        BOOST_TEST(table.finish("a", testCase.end, testCase.usage) == testCase.charged);
        BOOST_TEST(table.running() == 0);
    }
}

BOOST_AUTO_TEST_CASE(sealIsCompleteOnlyWithoutEarlierRuns)
{
    RunTable table = tableKnowing({"router~1"});
    BOOST_TEST(!table.seal("router~1").complete);
    BOOST_TEST(table.seal("router~2").complete);
    BOOST_TEST(!tableKnowing({}, {"router~1"}).seal("router~1").complete);
    RunTable settled = tableKnowing({"router~1"});
    settled.clearEarlierRuns("router~1");
    BOOST_TEST(settled.seal("router~1").complete);
}

BOOST_AUTO_TEST_CASE(probeDoesNotSeal)
{
    RunTable table = tableKnowing();
    table.heard("router~1", at(10));
    BOOST_TEST(table.probe("router~1", at(12)).alive);
    BOOST_TEST(!table.probe("router~1", at(20)).alive);
    BOOST_TEST(!table.admit(attempt("a"), at(21)).has_value());
}

BOOST_AUTO_TEST_CASE(keepsRunsUntilBilled)
{
    RunTable table = tableKnowing();
    (void)table.admit(attempt("a"), at(1));
    table.forget("a");
    BOOST_TEST(table.recordCount() == 1);
    table.finish("a", RunEnd::Complete, TokenUsage{.prompt = 1, .output = 2});
    BOOST_TEST(table.seal("router~1").runs.size() == 1);
    table.forget("a");
    BOOST_TEST(table.recordCount() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
