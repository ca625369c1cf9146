#include "budget/budgetrows.h"
#include "budget/nodeledger.h"
#include "request/claimbatch.h"
#include "store/memorytable.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

constexpr FleetView s_singleRouter{.routers = 1};
constexpr Tokens s_prepaid = 1000;

/// The ledger of one router and the table that it shares with others.
struct LedgerAtTable {
    LedgerAtTable(MemoryTable &sharedTable, const char *incarnation)
        : table(sharedTable)
        , ledger({.identity = {.incarnation = incarnation}})
    {
        flush();
    }

    void flush()
    {
        std::map<std::string, BudgetRow, std::less<>> rows;
        for (const std::string &budget : ledger.budgetsToRead(s_singleRouter, now)) {
            rows.emplace(budget, parseBudgetRow(*table.read(budgetKey(budget))));
        }
        if (const auto next = ledger.planFlush(rows, s_singleRouter, now)) {
            (void)table.putObject(next->objectKey, next->object);
            (void)ledger.onFlushAnswered(*table.transact(next->transaction), now);
        }
    }

    /// Runs a request of this size, if the budget allows it, and bills it. Returns the tokens that it used.
    Tokens run(const char *request, Tokens tokens)
    {
        BudgetAccount &account = ledger.account("team");
        account.reserve(request, tokens, s_singleRouter, now);
        flush();
        const Tokens used = account.settle(request, tokens, now);
        ledger.addCharge({.requestId = request, .budget = "team", .tokens = used});
        flush();
        return used;
    }

    MemoryTable &table;
    NodeLedger ledger;
    Instant now{std::chrono::hours(1)};
};

Tokens consumed(const MemoryTable &table)
{
    return integerField((*table.read(budgetKey("team"))).fields, "consumed");
}

bool take(MemoryTable &table, const char *request)
{
    ClaimBatch batch;
    batch.add({.key = claimKey("team", "key"), .requestId = request}, std::nullopt, false);
    batch.applyVerdict(*table.transact(batch.transaction()));
    return batch.result(0)->succeeded;
}

}

BOOST_AUTO_TEST_SUITE(OwnStoreReturnTest)

// Guards against a run that is never billed, and whose tokens are spent twice, because the table returned from a copy without its charge.
BOOST_AUTO_TEST_CASE(acknowledgedChargesOutliveTheReturn)
{
    MemoryTable table;
    (void)table.transact({.operations = {putRow(budgetKey("team"), newBudgetFields(s_prepaid), 0)}});
    LedgerAtTable first(table, "first~1");
    LedgerAtTable second(table, "second~1");
    const MemoryTable copy = table;
    const Tokens firstUsed = first.run("a", 600);
    BOOST_REQUIRE(firstUsed == 600);
    BOOST_REQUIRE(consumed(table) == 600);
    table = copy;
    for (int round = 0; round < 5; ++round) {
        first.now += std::chrono::seconds(5);
        first.flush();
    }
    BOOST_TEST(consumed(table) == firstUsed);
    const Tokens secondUsed = second.run("b", 600);
    BOOST_TEST(firstUsed + secondUsed <= s_prepaid);
}

// Guards against a non-idempotent request that runs again under its idempotency key because the table returned without its claim.
BOOST_AUTO_TEST_CASE(aClaimOutlivesTheReturn)
{
    MemoryTable table;
    const MemoryTable copy = table;
    BOOST_REQUIRE(take(table, "a"));
    table = copy;
    BOOST_TEST(!take(table, "retry"));
}

BOOST_AUTO_TEST_SUITE_END()
