#include "tests/holdingfleet.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(BudgetNewHolderReturnTest)

// Guards against drawing again what a router drew whose first row of the team the store has lost, and which does not write it again.
BOOST_AUTO_TEST_CASE(whatALostFirstRowHeldIsNotDrawnAgain)
{
    Fleet fleet;
    const auto drawAndSpend = [&fleet](std::size_t router) {
        fleet.process(router).holding.addWaiting(s_prepaid * 7 / 10);
        fleet.stabilize(router);
        reserveAll(fleet, fleet.process(router));
        fleet.process(router).holding.removeWaiting(s_prepaid * 7 / 10);
    };
    fleet.stabilize(1);
    fleet.makeCopy();
    fleet.pass(ms(1000), std::nullopt);
    drawAndSpend(0);
    BOOST_TEST(fleet.spent() == s_prepaid * 7 / 10);
    fleet.returnToCopy();
    fleet.stabilize(1);
    fleet.pass(HoldingPolicy().restoreTime + ms(1000), std::nullopt);
    drawAndSpend(1);
    BOOST_TEST(fleet.spent() <= s_prepaid);
}

BOOST_AUTO_TEST_SUITE_END()
