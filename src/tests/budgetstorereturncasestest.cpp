#include "tests/holdingfleet.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_FIXTURE_TEST_SUITE(BudgetStoreReturnCasesTest, StartedFleet)

// Guards against drawing what a router that is cut off drew after the copy was made.
BOOST_AUTO_TEST_CASE(theHeadroomOfACutOffHolderStaysInThePool)
{
    makeCopy();
    wait(1000);
    draw(0, 60'000);
    spend(0);
    BOOST_TEST(spent() == 60'000);
    returnToCopy();
    spendRest();
    BOOST_TEST(spent() <= s_prepaid);
}

// Guards against a draw beyond what the row in the copy announced, after others have returned tokens to the pool.
BOOST_AUTO_TEST_CASE(aHolderKeepsToTheAnnouncementInTheCopy)
{
    draw(1, s_prepaid);
    refresh(0);
    refresh(2);
    makeCopy();
    wait(1000);
    refresh(0);
    giveUp(1, Fate::Answered);
    refresh(0);
    wait(1000);
    draw(0, s_prepaid);
    spend(0);
    BOOST_TEST(spent() > 0);
    returnToCopy();
    spendRest();
    BOOST_TEST(spent() <= s_prepaid);
}

// Guards against a successor that counts only what its predecessor held in the copy.
BOOST_AUTO_TEST_CASE(aSuccessorCountsTheHeadroomOfItsPredecessorAsSpent)
{
    makeCopy();
    wait(1000);
    draw(0, 60'000);
    spend(0);
    returnToCopy();
    replace(0);
    stabilize(0);
    spendRest();
    BOOST_TEST(spent() >= 60'000);
    BOOST_TEST(spent() <= s_prepaid);
}

// Guards against a successor that relies on a checkpoint which the store has returned to.
BOOST_AUTO_TEST_CASE(aSuccessorDoesNotRelyOnACopiedCheckpoint)
{
    draw(0, 60'000);
    checkpoint(0, Fate::Answered);
    makeCopy();
    wait(1000);
    spend(0);
    BOOST_TEST(spent() == 60'000);
    returnToCopy();
    replace(0);
    stabilize(0);
    spendRest();
    BOOST_TEST(spent() <= s_prepaid);
}

// Guards against keeping tokens whose return to the pool was not answered: others may have drawn them before the store returned.
BOOST_AUTO_TEST_CASE(whatAnUnansweredFlushReturnedIsNotKept)
{
    draw(0, 60'000);
    checkpoint(0, Fate::Answered);
    makeCopy();
    giveUp(0, Fate::LostAfter);
    wait(1000);
    for (const std::size_t router : {1, 2}) {
        read(router);
        draw(router, s_prepaid);
        spend(router);
    }
    returnToCopy();
    refresh(0);
    spend(0);
    spendRest();
    BOOST_TEST(spent() <= s_prepaid);
}

// Guards against a flush planned before the return that finds the versions of its conditions given out again.
BOOST_AUTO_TEST_CASE(aFlushOfAnEarlierGenerationDoesNotMatchVersionsGivenOutAgain)
{
    process(0).holding.setAssigned(true, 4 * s_routers);
    refresh(0);
    makeCopy();
    writeElsewhereUntil(store().version() + 200);
    process(0).holding.addWaiting(20'000);
    read(0);
    flush(0, Fate::Answered);
    const std::uint64_t drawn = store().version();
    process(0).holding.addWaiting(5'000);
    flush(0, Fate::Late);
    process(0).holding.removeWaiting(25'000);
    returnToCopy();
    spendRest();
    const Tokens before = spent();
    read(0);
    writeElsewhereUntil(drawn);
    flush(0, Fate::Answered);
    BOOST_TEST(store().version() == drawn);
    deliverLate();
    spendRest();
    refresh(0);
    spend(0);
    BOOST_TEST(before > 0);
    BOOST_TEST(spent() <= s_prepaid);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BudgetStoreReturnCasesTest)

// Guards against a draw before a router that lives has written its first row of the team again, which the store has lost.
BOOST_AUTO_TEST_CASE(drawsWaitForFirstRowsThatWereLost)
{
    Fleet fleet;
    const auto drawAndSpend = [&fleet](std::size_t router) {
        fleet.process(router).holding.addWaiting(70'000);
        fleet.stabilize(router);
        reserveAll(fleet, fleet.process(router));
        fleet.process(router).holding.removeWaiting(70'000);
    };
    fleet.stabilize(1);
    fleet.makeCopy();
    drawAndSpend(0);
    BOOST_TEST(fleet.spent() == 70'000);
    fleet.returnToCopy();
    drawAndSpend(1);
    fleet.pass(ms(3000), std::nullopt);
    fleet.stabilize(0);
    fleet.pass(ms(3000), std::nullopt);
    drawAndSpend(1);
    BOOST_TEST(fleet.spent() <= s_prepaid);
}

// Guards against a draw by a router that opens the team just after the return, while a living one has yet to write its lost first row
// again.
BOOST_AUTO_TEST_CASE(aFreshHolderWaitsForLostFirstRows)
{
    Fleet fleet;
    for (std::size_t router = 0; router < s_routers; ++router) {
        fleet.process(router).holding.setAssigned(true, 12);
    }
    const auto drawAndSpend = [&fleet](std::size_t router, Tokens tokens) {
        Process &process = fleet.process(router);
        process.holding.addWaiting(tokens);
        fleet.stabilize(router);
        reserveAll(fleet, process);
        process.holding.removeWaiting(tokens);
    };
    fleet.stabilize(1);
    fleet.pass(ms(1000), std::nullopt);
    fleet.makeCopy();
    drawAndSpend(0, 60'000);
    fleet.returnToCopy();
    drawAndSpend(2, s_prepaid);
    fleet.pass(ms(1000), std::nullopt);
    drawAndSpend(0, 1);
    drawAndSpend(1, 1);
    BOOST_TEST(fleet.spent() <= s_prepaid);
}

// Guards against a successor that knows only the newest announcement of its predecessor, while a copy has an older one.
BOOST_AUTO_TEST_CASE(aSuccessorKeepsToOlderAnnouncements)
{
    draw(1, 80'000);
    wait(1000);
    refresh(0);
    refresh(2);
    makeCopy();
    wait(1000);
    read(1);
    giveUp(1, Fate::Answered);
    wait(1000);
    refresh(0);
    replace(0);
    stabilize(0);
    wait(1000);
    read(0);
    draw(0, 90'000);
    spend(0);
    returnToCopy();
    wait(6000);
    spendRest();
    BOOST_TEST(spent() <= s_prepaid);
}

// Guards against a living holder that is taken for a dead one because it was suspended before it wrote the row in the copy.
BOOST_AUTO_TEST_CASE(theHeadroomOfASuspendedWriterStaysInThePool)
{
    pass(ms(7000), 0);
    process(0).holding.setAssigned(true, 3);
    process(2).holding.setAssigned(true, 12);
    refresh(1);
    refresh(2);
    flush(0, Fate::Answered);
    makeCopy();
    wait(1000);
    draw(0, 60'000);
    spend(0);
    returnToCopy();
    refresh(1);
    wait(6000);
    for (int second = 0; second < 20; ++second) {
        wait(1000);
        refresh(1);
        draw(1, s_prepaid);
        spend(1);
    }
    BOOST_TEST(spent() <= s_prepaid);
}

// Guards against a dead router's old row that holds back a part of the pool for good.
BOOST_AUTO_TEST_CASE(aRowThatWasOldInTheCopyReservesNothing)
{
    for (int round = 0; round < 10; ++round) {
        wait(3000);
        refresh(1);
        refresh(2);
    }
    makeCopy();
    returnToCopy();
    wait(6000);
    spendRest();
    wait(15'000);
    spendRest();
    BOOST_TEST(spent() > s_prepaid * 8 / 10);
}

// Guards against a router that reads and writes as fast as it can while it may not draw what its callers wait for.
BOOST_AUTO_TEST_CASE(aRouterThatMayNotDrawIsNotUrgent)
{
    makeCopy();
    returnToCopy();
    refresh(0);
    refresh(0);
    process(0).holding.addWaiting(s_prepaid);
    const std::optional<Instant> due = process(0).holding.nextFlush(s_routers, process(0).now);
    BOOST_TEST((!due || *due - process(0).now > ms(500)));
}

BOOST_AUTO_TEST_SUITE_END()
