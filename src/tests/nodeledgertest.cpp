#include "budget/nodeledger.h"
#include "budget/budgetrows.h"
#include "budget/ledgerpage.h"
#include "fakefleet.h"
#include "store/memorytable.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(NodeLedgerTest)

namespace {

constexpr Instant s_start{std::chrono::hours(1)};
constexpr FleetView s_singleRouter{.routers = 1};

struct SingleRouterFixture {
    MemoryTable table;
    NodeLedger ledger{{.identity = {.incarnation = "router~1", .host = "host", .linkAddress = "127.0.0.1:1"}}};

    explicit SingleRouterFixture(Tokens prepaid)
    {
        (void)table.transact({.operations = {putRow(budgetKey("team"), newBudgetFields(prepaid), 0)}});
        flush();
    }

    std::optional<FlushPlan> plan()
    {
        std::map<std::string, BudgetRow, std::less<>> rows;
        for (const std::string &budget : ledger.budgetsToRead(s_singleRouter, s_start)) {
            rows.emplace(budget, parseBudgetRow(*table.read(budgetKey(budget))));
        }
        return ledger.planFlush(rows, s_singleRouter, s_start);
    }

    void flush()
    {
        if (const auto next = plan()) {
            (void)table.putObject(next->objectKey, next->object);
            (void)ledger.onFlushAnswered(*table.transact(next->transaction), s_start);
        }
    }

    void spend(const std::string &request, Tokens bound, Tokens used)
    {
        ledger.account("team").reserve(request, bound, s_singleRouter, s_start);
        flush();
        const Tokens charged = ledger.account("team").settle(request, used, s_start);
        ledger.addCharge({.requestId = request, .budget = "team", .tokens = charged});
    }

    Tokens field(const char *name)
    {
        return integerField((*table.read(budgetKey("team"))).fields, name);
    }
};

}

BOOST_AUTO_TEST_CASE(drawsReservesSettlesAndBalances)
{
    SingleRouterFixture router(10'000);
    router.spend("a", 100, 40);
    router.flush();
    BOOST_TEST(router.field("consumed") == 40);
    BOOST_TEST(router.field("free") + router.field("granted") + router.field("consumed") == 10'000);
    BOOST_TEST(router.ledger.idle());
}

// Guards against billing a team twice. A flush takes effect but its answer is lost, so the router sends it again and finds that its row has
// a newer version. A lost answer says nothing about the effect; the flush id in the router's own row does.
BOOST_AUTO_TEST_CASE(resolvesALostAnswerByTheFlushIdInItsRow)
{
    SingleRouterFixture router(10'000);
    router.spend("a", 100, 40);
    const auto sent = router.plan();
    (void)router.table.putObject(sent->objectKey, sent->object);
    (void)router.table.transact(sent->transaction);
    router.ledger.onFlushAnswerLost();
    const auto again = router.plan();
    BOOST_TEST(again->flushId == sent->flushId);
    const auto billed = router.ledger.onFlushAnswered(*router.table.transact(again->transaction), s_start);
    BOOST_REQUIRE(billed.size() == 1);
    BOOST_TEST(billed[0].requestId == "a");
    BOOST_TEST(router.field("consumed") == 40);
    BOOST_TEST(!router.ledger.fenced());
    router.flush();
    BOOST_TEST(router.field("consumed") == 40);
}

// Guards against billing a team twice or losing its grant. A flush is delayed in the network, its second copy is rejected because another
// router took the last free tokens, a new flush is planned, and then the first copy arrives. A plan that was rejected once can still take
// effect later.
BOOST_AUTO_TEST_CASE(recognisesASupersededFlushThatIsAppliedLate)
{
    SingleRouterFixture router(1'000);
    router.spend("a", 100, 40);
    router.ledger.account("team").reserve("b", 500, s_singleRouter, s_start);
    const auto late = router.plan();
    router.ledger.onFlushAnswerLost();
    const Tokens free = router.field("free");
    (void)router.table.transact({.operations = topUpOperations("team", -free)});
    const auto refused = router.plan();
    (void)router.ledger.onFlushAnswered(*router.table.transact(refused->transaction), s_start);
    (void)router.table.transact({.operations = topUpOperations("team", free)});
    (void)router.table.putObject(late->objectKey, late->object);
    BOOST_TEST(router.table.transact(late->transaction)->applied);
    for (int round = 0; round < 3; ++round) {
        router.flush();
    }
    BOOST_TEST(!router.ledger.fenced());
    BOOST_TEST(router.field("consumed") == 40);
    BOOST_TEST(router.field("free") + router.field("granted") + router.field("consumed") == 1'000);
}

// Guards against a router that was paused, declared dead, and then resumes and settles. Its flush must change nothing, because its grants
// now belong to others.
BOOST_AUTO_TEST_CASE(flushAfterBeingDeclaredDeadChangesNothingAndFences)
{
    SingleRouterFixture router(10'000);
    router.spend("a", 100, 40);
    TableRow row = *router.table.read(nodeKey("router~1"));
    row.fields["state"] = "sealing";
    (void)router.table.transact({.operations = {putRow(row.key, row.fields, row.version)}});
    router.flush();
    BOOST_TEST(router.ledger.fenced());
    BOOST_TEST(router.field("consumed") == 0);
    BOOST_TEST(!router.plan().has_value());
}

BOOST_AUTO_TEST_CASE(spreadsManyBudgetsOverBoundedTransactions)
{
    SingleRouterFixture router(10'000);
    for (int index = 0; index < 60; ++index) {
        const std::string budget = "budget-" + std::to_string(index);
        (void)router.table.transact({.operations = {putRow(budgetKey(budget), newBudgetFields(1000), 0)}});
        router.ledger.account(budget).reserve("request-" + std::to_string(index), 10, s_singleRouter, s_start);
    }
    for (int round = 0; round < 3; ++round) {
        const auto plan = router.plan();
        BOOST_REQUIRE(plan.has_value());
        BOOST_TEST(plan->transaction.operations.size() <= 100);
        (void)router.ledger.onFlushAnswered(*router.table.transact(plan->transaction), s_start);
    }
    for (const auto &[budget, account] : router.ledger.accounts()) {
        BOOST_TEST(account.waiting() == 0);
    }
}

BOOST_AUTO_TEST_CASE(endsInGoodOrder)
{
    SingleRouterFixture router(10'000);
    router.spend("a", 100, 40);
    router.ledger.beginClose();
    for (int round = 0; round < 5; ++round) {
        router.ledger.account("team").onPeerRecall(true, s_start + std::chrono::hours(1));
        router.flush();
    }
    BOOST_TEST(router.ledger.closed());
    BOOST_TEST(router.field("free") == 9'960);
    BOOST_TEST(router.field("granted") == 0);
    BOOST_TEST(textField((*router.table.read(nodeKey("router~1"))).fields, "state") == "closed");
}

BOOST_AUTO_TEST_SUITE_END()
