#include "budget/assignedholders.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace bamboohold;

namespace {

constexpr double s_usual = 3500;

std::vector<std::string> fleet(std::size_t size)
{
    std::vector<std::string> routers;
    for (std::size_t router = 0; router < size; ++router) {
        routers.push_back("10.0.0." + std::to_string(router) + ":7340");
    }
    return routers;
}

}

BOOST_AUTO_TEST_SUITE(KeepersTest)

// Guards against a small budget that is spread over all 26 routers: each part covered only one or two requests, and a fifth of the budget
// was lost or unavailable at the end.
BOOST_AUTO_TEST_CASE(smallBudgetsHaveFewHolders)
{
    const std::vector<std::string> routers = fleet(26);
    BOOST_TEST(assignedHolders("small", 250'000, s_usual, routers).size() == 3);
    BOOST_TEST(assignedHolders("tiny", 1000, s_usual, routers).size() == s_minHolders);
    BOOST_TEST(assignedHolders("large", 7'000'000, s_usual, routers).size() == s_maxHolders);
    BOOST_TEST(assignedHolders("lowered", -5, s_usual, routers).size() == s_minHolders);
    BOOST_TEST(assignedHolders("alone", 450'000, s_usual, fleet(1)).size() == 1);
}

// Guards against too many holders of a large budget. With 103 of them, each router made 45 to 67 calls a second to read and write the rows
// of every team, and the last tokens of the budget lay in 103 parts, each too small for a request.
BOOST_AUTO_TEST_CASE(largeFleetHasNoMoreHolders)
{
    for (const std::size_t size : {20U, 103U, 330U}) {
        BOOST_TEST(assignedHolders("large", 70'000'000, s_usual, fleet(size)).size() == s_maxHolders);
    }
    // The budgets are distributed about evenly over the routers.
    const std::vector<std::string> routers = fleet(103);
    std::map<std::string, int> held;
    for (int team = 0; team < 4000; ++team) {
        for (const std::string &holder : assignedHolders("team-" + std::to_string(team), 70'000'000, s_usual, routers)) {
            ++held[holder];
        }
    }
    const auto most = std::ranges::max_element(held, {}, &std::pair<const std::string, int>::second);
    BOOST_TEST(held.size() == routers.size());
    BOOST_TEST(most->second < 2 * 4000 * static_cast<int>(s_maxHolders) / 103);
}

BOOST_AUTO_TEST_CASE(everyRouterComputesTheSameHolders)
{
    std::vector<std::string> routers = fleet(26);
    const std::vector<std::string> holders = assignedHolders("team", 450'000, s_usual, routers);
    std::ranges::reverse(routers);
    BOOST_TEST(assignedHolders("team", 450'000, s_usual, routers) == holders);
}

// When a router joins or leaves, budgets that it does not hold stay where they are. Otherwise all of them would be drawn and returned at
// once.
BOOST_AUTO_TEST_CASE(aLeavingRouterMovesOnlyItsOwnBudgets)
{
    const std::vector<std::string> routers = fleet(26);
    std::vector<std::string> fewer = routers;
    const std::string gone = fewer.back();
    fewer.pop_back();
    for (int team = 0; team < 200; ++team) {
        const std::string name = "team-" + std::to_string(team);
        const std::vector<std::string> before = assignedHolders(name, 450'000, s_usual, routers);
        if (std::ranges::find(before, gone) == before.end()) {
            BOOST_TEST(assignedHolders(name, 450'000, s_usual, fewer) == before);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
