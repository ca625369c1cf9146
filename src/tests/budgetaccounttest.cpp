#include "budget/budgetaccount.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(BudgetAccountTest)

namespace {

using Decision = ReservationResult::Decision;

constexpr FleetView s_singleRouter{.routers = 1};
constexpr FleetView s_threeRouters{.routers = 3};

Instant at(std::int64_t milliseconds)
{
    return Instant(std::chrono::milliseconds(milliseconds));
}

/// Returns an account that holds this many tokens.
BudgetAccount accountHolding(Tokens tokens, AccountPolicy policy = {})
{
    BudgetAccount account("team", policy);
    account.onFlushApplied({.budget = "team", .draw = tokens}, at(0));
    return account;
}

}

BOOST_AUTO_TEST_CASE(reservesWithinHoldingAndChargesWhatWasUsed)
{
    BudgetAccount account = accountHolding(1000);
    BOOST_TEST((account.reserve("a", 600, s_singleRouter, at(1)).decision == Decision::Admitted));
    BOOST_TEST(account.available() == 400);
    account.lowerReservation("a", 500);
    account.lowerReservation("a", 900);
    BOOST_TEST(account.reserved() == 500);
    BOOST_TEST(account.settle("a", 120, at(2)) == 120);
    BOOST_TEST(account.available() == 880);
    BOOST_TEST(account.unsettled() == 120);
}

BOOST_AUTO_TEST_CASE(neverChargesMoreThanReservedNorTwice)
{
    struct Case {
        Tokens used;
        Tokens charged;
    };
    for (const Case &example : {Case{0, 0}, Case{299, 299}, Case{300, 300}, Case{5000, 300}, Case{-7, 0}}) {
        BudgetAccount account = accountHolding(1000);
        account.reserve("a", 300, s_singleRouter, at(1));
        BOOST_TEST(account.settle("a", example.used, at(2)) == example.charged);
        BOOST_TEST(account.settle("a", example.used, at(3)) == 0);
        BOOST_TEST(account.unsettled() == example.charged);
    }
}

// Guards against refusing a request that a reservation in flight can still admit. Worst cases are several times what requests use, so a
// budget that looks exhausted often has tokens again when a large reservation ends.
BOOST_AUTO_TEST_CASE(waitsForAReservationInFlightThatCanStillAdmitIt)
{
    BudgetAccount account = accountHolding(1000);
    account.reserve("large", 900, s_singleRouter, at(1));
    account.onDrawRefused({.free = 0}, at(2));
    BOOST_TEST((account.reserve("second", 500, s_singleRouter, at(3)).decision == Decision::Waiting));
    account.settle("large", 100, at(50));
    const auto results = account.takeResults();
    BOOST_REQUIRE(results.size() == 1);
    BOOST_TEST((results[0].decision == Decision::Admitted));
}

// Guards against holding back a request that nothing in flight can admit any more. The reservation it waited for ends after using almost
// its whole worst case; the request must be refused at once, with a retry-after time, so that its caller can try elsewhere.
BOOST_AUTO_TEST_CASE(refusesAtOnceWhenNothingInFlightCanAdmitIt)
{
    BudgetAccount account = accountHolding(1000, {.refusalCacheTime = std::chrono::milliseconds(500)});
    account.reserve("large", 900, s_singleRouter, at(1));
    account.onDrawRefused({.free = 0}, at(2));
    account.reserve("second", 500, s_singleRouter, at(3));
    account.settle("large", 890, at(50));
    const auto results = account.takeResults();
    BOOST_REQUIRE(results.size() == 1);
    BOOST_TEST((results[0].decision == Decision::Refused));
    BOOST_TEST((results[0].failure.kind == FailureKind::BudgetExhausted));
    BOOST_TEST(results[0].failure.retryAfterMs.has_value());
    BOOST_TEST((results[0].failure.executed == Executed::No));
}

BOOST_AUTO_TEST_CASE(refusalReportsItsReason)
{
    struct Case {
        BudgetRow row;
        FailureKind kind;
    };
    for (const Case &example : {Case{{.free = 10}, FailureKind::BudgetExhausted},
                                Case{{.free = 900, .closed = true}, FailureKind::BudgetClosed},
                                Case{{.exists = false}, FailureKind::BudgetClosed}}) {
        BudgetAccount account("team", {});
        BOOST_TEST((account.reserve("a", 100, s_singleRouter, at(1)).decision == Decision::Waiting));
        const BudgetUpdate update = account.planFlush(example.row, s_singleRouter, at(2));
        BOOST_TEST(update.draw == 0);
        const auto results = account.takeResults();
        BOOST_REQUIRE(results.size() == 1);
        BOOST_TEST((results[0].failure.kind == example.kind));
    }
}

BOOST_AUTO_TEST_CASE(drawShrinksToWhatWaitsWhenLittleIsLeft)
{
    struct Case {
        Tokens free;
        std::size_t routers;
        Tokens lowest;
        Tokens highest;
    };
    // With many free tokens: several requests in advance. With few: only the waiting request, so that the rest stays for other routers.
    // With too few: nothing.
    for (const Case &example : {Case{1'000'000, 3, 400, 400},
                                Case{600, 3, 100, 100},
                                Case{100, 3, 100, 100},
                                Case{99, 3, 0, 0},
                                Case{1600, 2, 400, 400},
                                Case{1599, 2, 100, 100}}) {
        BudgetAccount account("team", {});
        account.reserve("a", 100, {.routers = example.routers}, at(1));
        const BudgetUpdate update = account.planFlush(BudgetRow{.free = example.free}, {.routers = example.routers}, at(2));
        BOOST_TEST(update.draw >= example.lowest);
        BOOST_TEST(update.draw <= example.highest);
    }
}

// Guards against refusing a request while another router holds tokens that it does not use. The table has too few tokens, peers are asked,
// one of them returns some, and the draw is repeated.
BOOST_AUTO_TEST_CASE(asksPeersBeforeItRefuses)
{
    BudgetAccount account("team", {});
    account.reserve("a", 100, s_threeRouters, at(1));
    account.planFlush(BudgetRow{.free = 20}, s_threeRouters, at(2));
    BOOST_TEST(account.takeResults().empty());
    BOOST_TEST(account.takeRecallRequest(at(2)).value_or(0) == 100);
    BOOST_TEST(!account.takeRecallRequest(at(2)).has_value());
    account.onRecallEnded(80, at(30));
    BOOST_TEST(account.planFlush(BudgetRow{.free = 100}, s_threeRouters, at(40)).draw == 100);
}

BOOST_AUTO_TEST_CASE(refusesWhenPeersHaveNothingEither)
{
    BudgetAccount account("team", {.refusalCacheTime = std::chrono::milliseconds(500)});
    account.reserve("a", 100, s_threeRouters, at(1));
    account.planFlush(BudgetRow{.free = 20}, s_threeRouters, at(2));
    account.expireRecall(at(1000));
    account.planFlush(BudgetRow{.free = 20}, s_threeRouters, at(1001));
    const auto results = account.takeResults();
    BOOST_REQUIRE(results.size() == 1);
    BOOST_TEST((results[0].decision == Decision::Refused));
    // The refusal is cached for a moment; then the table is asked again, so that a top-up is noticed.
    BOOST_TEST((account.reserve("b", 100, s_threeRouters, at(1100)).decision == Decision::Refused));
    BOOST_TEST((account.reserve("c", 100, s_threeRouters, at(1600)).decision == Decision::Waiting));
}

BOOST_AUTO_TEST_CASE(givesRecalledSurplusBackAndKeepsWhatIsReserved)
{
    BudgetAccount account = accountHolding(1000);
    account.reserve("a", 300, s_threeRouters, at(1));
    BOOST_TEST(account.onPeerRecall(true, at(2)) == 700);
    const BudgetUpdate update = account.planFlush(std::nullopt, s_threeRouters, at(3));
    BOOST_TEST(update.returnAmount == 700);
    // Tokens that are being returned cannot be reserved.
    BOOST_TEST(account.available() == 0);
    account.onFlushApplied(update, at(4));
    BOOST_TEST(account.holding() == 300);
}

// Guards against two routers that both refuse although together they hold enough. Each needs 800 tokens, holds 500 and recalls the other. A
// router with waiting requests keeps its tokens, so the fixed order between routers has to make one of them return its holding.
BOOST_AUTO_TEST_CASE(ofTwoWaitingRoutersOneReturnsItsHolding)
{
    BudgetAccount account = accountHolding(500);
    account.reserve("a", 800, s_threeRouters, at(1));
    BOOST_TEST(account.onPeerRecall(false, at(2)) == 0);
    BOOST_TEST(account.onPeerRecall(true, at(2)) == 500);
}

// Guards against tokens that stay unused near the end of a budget, because what each router has left is too little for any request while
// together they would suffice. What cannot be used here must be returned even while a request waits here.
BOOST_AUTO_TEST_CASE(returnsARemainderTooSmallForAnyWaitingRequest)
{
    BudgetAccount account = accountHolding(1000);
    account.reserve("running", 500, s_threeRouters, at(1));
    account.onDrawRefused({.free = 10}, at(2));
    account.reserve("waiting", 900, s_threeRouters, at(3));
    account.expireRecall(at(1000));
    BOOST_TEST(account.planFlush(BudgetRow{.free = 10}, s_threeRouters, at(1001)).returnAmount == 500);
    BOOST_TEST(account.available() == 0);
    BOOST_TEST(account.waiting() == 1);
}

BOOST_AUTO_TEST_CASE(reservesForPeersOnlyWhileNoOwnRequestWaits)
{
    BudgetAccount account = accountHolding(1000);
    BOOST_TEST(account.reserveForPeer("peer's", 600));
    BOOST_TEST(!account.reserveForPeer("peer's", 100));
    BOOST_TEST(!account.reserveForPeer("another", 500));
    BOOST_TEST((account.reserve("own", 900, s_threeRouters, at(1)).decision == Decision::Waiting));
    BOOST_TEST(!account.reserveForPeer("small", 10));
    BOOST_TEST(account.settle("peer's", 200, at(2)) == 200);
    BOOST_TEST(account.unsettled() == 200);
}

BOOST_AUTO_TEST_CASE(spendsOnlyItsHoldingWhileTheTableIsUnreachable)
{
    BudgetAccount account = accountHolding(150);
    account.onTableUnreachable(at(1));
    const FleetView tableUnreachable{.routers = 3, .tableReachable = false};
    BOOST_TEST((account.reserve("a", 100, tableUnreachable, at(2)).decision == Decision::Admitted));
    const auto result = account.reserve("b", 100, tableUnreachable, at(3));
    BOOST_TEST((result.decision == Decision::Waiting));
    account.settle("a", 90, at(4));
    const auto results = account.takeResults();
    BOOST_REQUIRE(results.size() == 1);
    BOOST_TEST((results[0].failure.kind == FailureKind::BudgetUnreachable));
}

BOOST_AUTO_TEST_SUITE_END()
