#include "tests/holdingfleet.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

/// Routers with rows of the team, all written within a moment.
struct StartedFleet : Fleet {
    StartedFleet()
    {
        for (std::size_t router = 0; router < s_routers; ++router) {
            stabilize(router);
        }
        wait(1000);
    }

    void wait(std::int64_t time)
    {
        pass(ms(time), std::nullopt);
    }

    /// Flushes of a router for which requests of this many tokens wait. The first one may meet a pool that others have changed.
    void draw(std::size_t router, Tokens waiting)
    {
        process(router).holding.addWaiting(waiting);
        flush(router, Fate::Answered);
        flush(router, Fate::Answered);
        process(router).holding.removeWaiting(waiting);
    }

    /// Gives back what a router holds and does not need.
    void giveUp(std::size_t router, Fate fate)
    {
        process(router).holding.servingSince(process(router).now - std::chrono::minutes(1));
        flush(router, fate);
    }

    void spend(std::size_t router)
    {
        process(router).holding.addWaiting(s_prepaid);
        checkpoint(router, Fate::Answered);
        reserveAll(*this, process(router));
        process(router).holding.removeWaiting(s_prepaid);
    }

    /// Writes a router's row with what it knows from a read.
    void refresh(std::size_t router)
    {
        read(router);
        flush(router, Fate::Answered);
        read(router);
    }

    /// The routers 1 and 2 write their rows again and spend all that they can get while router 0 does not reach the store.
    void spendRest()
    {
        refresh(1);
        refresh(2);
        for (int round = 0; round < 2 * 20; ++round) {
            const std::size_t router = 1 + round % 2;
            wait(500);
            read(router);
            draw(router, s_prepaid);
            spend(router);
        }
    }

    /// Writes of other parts, until the next transaction gets this version.
    void writeElsewhereUntil(std::uint64_t next)
    {
        while (store().version() + 1 < next) {
            BOOST_REQUIRE(store().transact({.changes = {{.address = {"other", "part", "row"}, .value = "text"}}}, 0).ok());
        }
    }
};

}

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

BOOST_AUTO_TEST_SUITE_END()
