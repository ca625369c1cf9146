#include "tests/holdingfleet.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

/// Routers that have held parts of the budget for a while, so that every copy of the store has a row of each.
void startAll(Fleet &fleet)
{
    for (std::size_t router = 0; router < s_routers; ++router) {
        fleet.stabilize(router);
    }
    for (std::size_t router = 0; router < s_routers; ++router) {
        fleet.read(router);
    }
    fleet.makeCopy();
}

/// One event, or a copy or a return of the store. The store returns from copies that are at most `HoldingPolicy::maxCopyAge` old.
void stepWithReturns(Fleet &fleet)
{
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
        fleet.makeCopy();
        break;
    case 1:
        if (fleet.copyAge() <= HoldingPolicy().maxCopyAge) {
            fleet.returnToCopy();
        }
        break;
    default:
        step(fleet);
    }
}

}

BOOST_AUTO_TEST_SUITE(BudgetStoreReturnTest)

// Guards against a team that spends a part of its budget twice because the store forgot who holds it.
BOOST_AUTO_TEST_CASE(neverSpendsMoreThanPrepaid)
{
    BOOST_TEST(rc::check("commitments stay within the prepaid amount over returns of the store", [] {
        Fleet fleet;
        startAll(fleet);
        const auto steps = *rc::gen::inRange(1, 250);
        for (int count = 0; count < steps; ++count) {
            stepWithReturns(fleet);
            RC_ASSERT(fleet.spent() <= s_prepaid);
        }
        spendAllTokens(fleet);
        RC_ASSERT(fleet.spent() <= s_prepaid);
    }));
}

// Guards against routers that refuse everyone for good because they take an older row of their own for that of a successor.
BOOST_AUTO_TEST_CASE(routersKeepServing)
{
    Fleet fleet;
    startAll(fleet);
    for (std::size_t router = 0; router < s_routers; ++router) {
        fleet.pass(ms(1000), std::nullopt);
        fleet.stabilize(router);
    }
    fleet.returnToCopy();
    for (std::size_t router = 0; router < s_routers; ++router) {
        fleet.pass(ms(1000), std::nullopt);
        fleet.stabilize(router);
        Process &process = fleet.process(router);
        BOOST_TEST(!process.holding.fenced());
        BOOST_TEST(!process.checkpoint.fenced());
        process.holding.addWaiting(10);
        fleet.checkpoint(router, Fleet::Fate::Answered);
        process.holding.removeWaiting(10);
        reserve(fleet, process, 10);
        BOOST_TEST(process.reserved.size() == 1U);
    }
}

// Guards against tokens that nobody can use any more after the store has returned: all routers live, so none are lost.
BOOST_AUTO_TEST_CASE(theWholeBudgetCanStillBeSpent)
{
    Fleet fleet;
    startAll(fleet);
    fleet.pass(ms(1000), std::nullopt);
    fleet.stabilize(0);
    fleet.returnToCopy();
    for (int round = 0; round < 40; ++round) {
        for (std::size_t router = 0; router < s_routers; ++router) {
            Process &process = fleet.process(router);
            process.holding.servingSince(process.now);
            process.holding.recordDemand(1000, process.now);
            process.holding.addWaiting(s_prepaid);
            fleet.pass(ms(1000), std::nullopt);
            fleet.stabilize(router);
            process.holding.removeWaiting(s_prepaid);
            reserveAll(fleet, process);
            settle(fleet, process, s_prepaid);
            settle(fleet, process, s_prepaid);
        }
    }
    BOOST_TEST(fleet.spent() > s_prepaid * 95 / 100);
    BOOST_TEST(fleet.spent() <= s_prepaid);
}

// Guards against a draw by a router that does not know yet that the store has returned, from a pool that has forgotten another one's draw.
BOOST_AUTO_TEST_CASE(aDrawFromAPoolThatForgotAnotherIsNotSpent)
{
    Fleet fleet;
    startAll(fleet);
    const auto drawAndSpend = [&fleet](Process &process, std::size_t router) {
        process.holding.addWaiting(s_prepaid);
        fleet.pass(ms(2000), std::nullopt);
        fleet.flush(router, Fleet::Fate::Answered);
        fleet.checkpoint(router, Fleet::Fate::Answered);
        reserveAll(fleet, process);
        process.holding.removeWaiting(s_prepaid);
    };
    drawAndSpend(fleet.process(0), 0);
    const Tokens spentBefore = fleet.spent();
    fleet.returnToCopy();
    drawAndSpend(fleet.process(1), 1);
    for (int round = 0; round < 4; ++round) {
        for (std::size_t router = 0; router < s_routers; ++router) {
            fleet.pass(ms(2000), std::nullopt);
            fleet.stabilize(router);
            reserveAll(fleet, fleet.process(router));
        }
    }
    BOOST_TEST(spentBefore > 0);
    BOOST_TEST(fleet.spent() <= s_prepaid);
}

BOOST_AUTO_TEST_SUITE_END()
