#include "routing/targettable.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(TargetTableTest)

namespace {

Instant at(std::int64_t milliseconds)
{
    return Instant(std::chrono::milliseconds(milliseconds));
}

TargetTable twoTargets()
{
    TargetTable table({});
    table.setTargets(
        {{.name = "a", .model = "m", .slots = 4}, {.name = "b", .model = "m", .slots = 4}, {.name = "s", .service = "filing"}});
    for (const char *name : {"a", "b", "s"}) {
        table.recordReport(name, {.incarnation = std::string(name) + "~1", .slots = 4}, at(0));
    }
    return table;
}

std::string chosen(const TargetTable &table, std::int64_t milliseconds)
{
    const auto choice = table.choose({.model = "m"}, at(milliseconds));
    return choice ? choice->target : "none";
}

}

// Guards against requests to a failure domain that is being evacuated, and against a domain that gets none after the evacuation has ended.
BOOST_AUTO_TEST_CASE(evacuatedDomainGetsNothing)
{
    TargetTable table({});
    table.setEvacuated({"north"});
    table.setTargets({{.name = "a", .model = "m", .failureDomain = "north"}, {.name = "b", .model = "m", .failureDomain = "south"}});
    table.recordReport("a", {.incarnation = "a~1"}, at(0));
    table.recordReport("b", {.incarnation = "b~1"}, at(0));
    BOOST_TEST(chosen(table, 1) == "b");
    table.setEvacuated({"north", "south"});
    BOOST_TEST(chosen(table, 1) == "none");
    table.setEvacuated({});
    BOOST_TEST(chosen(table, 1) == "a");
}

BOOST_AUTO_TEST_CASE(countsRequestsSentSinceTheReport)
{
    TargetTable table = twoTargets();
    BOOST_TEST(chosen(table, 1) == "a");
    table.recordSent("a");
    BOOST_TEST(chosen(table, 2) == "b");
}

BOOST_AUTO_TEST_CASE(skipsUnusableTargets)
{
    struct Case {
        const char *description;
        std::function<void(TargetTable &)> prepare;
    };
    const std::vector<Case> cases{
        {"leaving",
         [](TargetTable &table) {
             table.recordReport("a", {.incarnation = "a~1", .slots = 4, .leaving = true}, at(1));
         }},
        {"engine unreachable",
         [](TargetTable &table) {
             table.recordReport("a", {.incarnation = "a~1", .slots = 4, .engineReachable = false}, at(1));
         }},
        {"declined a request within the backoff time",
         [](TargetTable &table) {
             table.recordRefusal("a", false, at(1));
         }},
        {"no longer in the inventory",
         [](TargetTable &table) {
             table.setTargets({{.name = "b", .model = "m", .slots = 4}});
         }},
    };
    for (const Case &one : cases) {
        TargetTable table = twoTargets();
        one.prepare(table);
        BOOST_TEST_CONTEXT(one.description)
        {
            BOOST_TEST(chosen(table, 2) == "b");
        }
    }
}

BOOST_AUTO_TEST_CASE(targetWithoutRecentReportIsUnusable)
{
    TargetTable table = twoTargets();
    table.recordReport("b", {.incarnation = "b~1", .slots = 4}, at(2500));
    BOOST_TEST(chosen(table, 3000) == "b");
    BOOST_TEST(chosen(table, 9000) == "none");
    BOOST_TEST(table.liveIncarnation("b", at(3000), std::chrono::seconds(5)) == "b~1");
    BOOST_TEST(table.liveIncarnation("b", at(9000), std::chrono::seconds(5)).empty());
}

BOOST_AUTO_TEST_CASE(servicesAndModelsAreKeptApart)
{
    const TargetTable table = twoTargets();
    BOOST_TEST(table.choose({.service = "filing"}, at(1))->target == "s");
    BOOST_TEST(!table.choose({.model = "other"}, at(1)).has_value());
    BOOST_TEST(!table.exists({.service = "unknown"}));
}

BOOST_AUTO_TEST_SUITE_END()
