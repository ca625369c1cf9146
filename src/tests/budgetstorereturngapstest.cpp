#include "tests/holdingfleet.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(BudgetStoreReturnGapsTest)

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

// Guards against two transactions of the old generation that both take effect before the first write of the new one, the second because the
// first was given the version that it expects.
BOOST_AUTO_TEST_CASE(oldTransactionsDoNotMatchEachOther)
{
    StartedFleet fleet;
    const auto drawWith = [&fleet](std::size_t router, Tokens tokens, Fleet::Fate fate) {
        fleet.process(router).holding.addWaiting(tokens);
        fleet.flush(router, fate);
        fleet.process(router).holding.removeWaiting(tokens);
    };
    for (std::size_t router = 0; router < s_routers; ++router) {
        fleet.read(router);
    }
    fleet.makeCopy();
    drawWith(0, 30'000, Fleet::Fate::Late);
    drawWith(2, 15'000, Fleet::Fate::Answered);
    const std::uint64_t version = fleet.store().version();
    fleet.read(1);
    drawWith(1, 15'000, Fleet::Fate::Late);
    fleet.returnToCopy();
    fleet.writeElsewhereUntil(version);
    fleet.deliverLate();
    fleet.deliverLate();
    for (int round = 0; round < 3; ++round) {
        for (std::size_t router = 0; router < s_routers; ++router) {
            fleet.wait(1000);
            fleet.refresh(router);
        }
    }
    fleet.wait(6000);
    fleet.spendRest();
    fleet.read(0);
    fleet.draw(0, s_prepaid);
    fleet.spend(0);
    BOOST_TEST(fleet.spent() <= s_prepaid);
}

BOOST_AUTO_TEST_SUITE_END()
