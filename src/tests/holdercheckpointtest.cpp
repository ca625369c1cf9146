#include "budget/holdercheckpoint.h"

#include "store/memoryrows.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

constexpr StoreTimeMs s_storeStart = 50'000;
const Commitment s_commitment{.committed = 1000, .burst = 200, .rate = 400};

Duration ms(std::int64_t value)
{
    return std::chrono::milliseconds(value);
}

/// One process of a router, with its checkpoint, the store, and one clock for both.
struct Router {
    explicit Router(MemoryRows &rows, std::string incarnation, Instant started)
        : store(rows)
        , now(started)
        , checkpoint({.holder = "10.0.0.1:80", .incarnation = std::move(incarnation), .startedAt = started})
    {
    }

    StoreTimeMs storeTime() const
    {
        return s_storeStart + std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    }

    void read()
    {
        checkpoint.handleRead(store.read(s_checkpointTable, "10.0.0.1:80", storeTime()));
    }

    RowTransaction plan(const HolderCheckpoint::Commitments &teams)
    {
        const auto planned = checkpoint.planWrite(teams, now);
        BOOST_REQUIRE(planned.has_value());
        return *planned;
    }

    bool write(const HolderCheckpoint::Commitments &teams)
    {
        return checkpoint.writeAnswered(*store.transact(plan(teams), storeTime()), now);
    }

    /// Reads the row, fences off predecessors, and writes the commitments.
    void start(const HolderCheckpoint::Commitments &teams)
    {
        read();
        BOOST_TEST(write(teams));
        BOOST_TEST(write(teams));
    }

    MemoryRows &store;
    Instant now;
    HolderCheckpoint checkpoint;
};

}

BOOST_AUTO_TEST_SUITE(HolderCheckpointTest)

BOOST_AUTO_TEST_CASE(nothingMayBeCommittedBeforeTheCheckpointIsAcknowledged)
{
    MemoryRows store;
    Router router(store, "a", Instant(ms(1000)));
    BOOST_TEST(router.checkpoint.limit("team", router.now) == 0);
    router.read();
    BOOST_TEST(router.write({{"team", s_commitment}}));
    BOOST_TEST(router.checkpoint.limit("team", router.now) == 0);
    BOOST_TEST(router.write({{"team", s_commitment}}));
    BOOST_TEST(router.checkpoint.limit("team", router.now) == 1200);
    BOOST_TEST(router.checkpoint.limit("team", router.now + ms(2500)) == 1200);
    BOOST_TEST(router.checkpoint.limit("team", router.now + ms(3000)) == 1400);
    BOOST_TEST(router.checkpoint.limit("team", router.now + ms(4500)) == 2000);
    BOOST_TEST(router.checkpoint.limit("another", router.now) == 0);
}

// Guards against an overspent budget: the answer to a checkpoint with a lower limit is lost, the router commits by the previous, higher one
// and dies, and its successor relies on the lower one in the store.
BOOST_AUTO_TEST_CASE(theLowerOfTwoPossibleLimitsApplies)
{
    MemoryRows store;
    Router router(store, "a", Instant(ms(1000)));
    router.start({{"team", s_commitment}});
    const RowTransaction lost = router.plan({{"team", {.committed = 1000}}});
    BOOST_TEST(store.transact(lost, router.storeTime())->applied);
    router.checkpoint.writeLost();
    BOOST_TEST(router.checkpoint.limit("team", router.now + ms(5000)) == 1000);
}

// A router dies about three seconds after its checkpoint, and its successor starts soon after and waits for a slow store. The successor
// counts the time up to its own start, in which the dead process may have committed tokens, but not the time that it waited itself.
BOOST_AUTO_TEST_CASE(theSuccessorCountsUpToItsOwnStart)
{
    MemoryRows store;
    Router dead(store, "a", Instant(ms(1000)));
    dead.start({{"team", s_commitment}});
    Router successor(store, "b", Instant(ms(4250)));
    successor.read();
    const RowTransaction unanswered = successor.plan({});
    successor.checkpoint.writeLost();
    successor.now += ms(3000);
    BOOST_TEST(successor.write({}));
    BOOST_TEST(successor.checkpoint.maxSpentBy("a", "team").value() == 1500);
    BOOST_TEST(successor.checkpoint.maxSpentBy("a", "another").value() == 0);
    BOOST_TEST(!successor.checkpoint.maxSpentBy("unknown", "team").has_value());
}

// Guards against an overspent budget: the last write of a dead router is still in flight when its successor reads the row. If the write
// takes effect before the successor's first one, the successor takes it into account; otherwise the store rejects it.
BOOST_AUTO_TEST_CASE(lateWritesOfADeadProcessAreSeenOrRejected)
{
    MemoryRows store;
    Router dead(store, "a", Instant(ms(1000)));
    dead.start({{"team", s_commitment}});
    const RowTransaction late = dead.plan({{"team", {.committed = 5000}}});
    Router successor(store, "b", Instant(ms(1100)));
    successor.read();
    BOOST_TEST(store.transact(late, successor.storeTime())->applied);
    BOOST_TEST(!successor.write({}));
    BOOST_TEST(successor.write({}));
    BOOST_TEST(successor.checkpoint.maxSpentBy("a", "team").value() == 5000);

    const RowTransaction later = dead.plan({{"team", {.committed = 9000}}});
    BOOST_TEST(!store.transact(later, successor.storeTime())->applied);
    BOOST_TEST(!dead.checkpoint.writeAnswered(*store.transact(later, successor.storeTime()), dead.now));
    BOOST_TEST(dead.checkpoint.fenced());
    BOOST_TEST(dead.checkpoint.limit("team", dead.now) == 0);
}

// A router dies, and so does its successor before it has recovered anything. The third process still knows what the first one can have
// committed, limited by the start of the second.
BOOST_AUTO_TEST_CASE(checkpointsOfDeadProcessesAreKeptForSuccessors)
{
    MemoryRows store;
    Router first(store, "a", Instant(ms(1000)));
    first.start({{"team", s_commitment}});
    Router second(store, "b", Instant(ms(4000)));
    second.start({});
    Router third(store, "c", Instant(ms(9000)));
    third.start({});
    BOOST_TEST(third.checkpoint.maxSpentBy("a", "team").value() == 1400);
    BOOST_TEST(third.checkpoint.maxSpentBy("b", "team").value() == 0);
    third.checkpoint.discardPredecessors();
    BOOST_TEST(third.write({}));
    Router fourth(store, "d", Instant(ms(9500)));
    fourth.start({});
    BOOST_TEST(!fourth.checkpoint.maxSpentBy("a", "team").has_value());
}

// The row is damaged. Nothing is known about the dead process, so all that it held counts as spent, and the router continues to serve.
BOOST_AUTO_TEST_CASE(anUnreadableRowHasNoCheckpoints)
{
    MemoryRows store;
    const RowAddress address{.table = std::string(s_checkpointTable), .part = "10.0.0.1:80", .key = std::string(s_checkpointKey)};
    BOOST_TEST(
        store.transact({.changes = {{.address = address, .value = R"({"own":{"incarnation":"a","teams":[1]}})"}}}, s_storeStart)->applied);
    Router router(store, "b", Instant(ms(1000)));
    router.start({{"team", s_commitment}});
    BOOST_TEST(!router.checkpoint.maxSpentBy("a", "team").has_value());
    BOOST_TEST(router.checkpoint.limit("team", router.now) == 1200);
}

BOOST_AUTO_TEST_CASE(rowsAreReadBackFromTheirText)
{
    const CheckpointRow row{
        .own = {.incarnation = "b", .sequence = 7, .baseline = 90, .teams = {{"team", s_commitment}}},
        .predecessors = {{.incarnation = "a", .sequence = 2, .baseline = 10, .diedBefore = 80, .teams = {{"t", s_commitment}}}}};
    const CheckpointRow back = checkpointRowFrom({.value = toText(row), .version = 1});
    BOOST_TEST(back.own.incarnation == "b");
    BOOST_TEST(back.own.sequence == 7);
    BOOST_TEST((back.own.teams.at("team") == s_commitment));
    BOOST_REQUIRE(back.predecessors.size() == 1);
    BOOST_TEST(back.predecessors.front().diedBefore.value() == 80);
    BOOST_TEST((back.predecessors.front().teams.at("t") == s_commitment));
}

BOOST_AUTO_TEST_SUITE_END()
