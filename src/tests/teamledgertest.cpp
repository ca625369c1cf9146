#include "budget/teamledger.h"

#include "budget/checkpointwriter.h"
#include "budget/ledgersynchronizer.h"
#include "store/memoryrows.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace bamboohold;
namespace asio = boost::asio;

namespace {

constexpr Tokens s_prepaid = 100'000;

/// An in-memory store that answers at once, or not at all.
struct Store {
    asio::awaitable<absl::StatusOr<RowTransactionResult>> transact(const RowTransaction &transaction)
    {
        if (!answers) {
            co_return failed(FailureKind::TableUnreachable, "cut off", Executed::Unknown);
        }
        co_return rows.transact(transaction, s_storeTime);
    }

    asio::awaitable<absl::StatusOr<RowsSnapshot>> read(const std::string &table, const std::string &part)
    {
        if (!answers) {
            co_return failed(FailureKind::TableUnreachable, "cut off");
        }
        co_return rows.read(table, part, s_storeTime);
    }

    asio::awaitable<absl::StatusOr<RowsFeed>> follow(const std::string &, std::uint64_t, Duration)
    {
        co_return failed(FailureKind::TableUnreachable, "nothing to follow");
    }

    static constexpr StoreTimeMs s_storeTime = 1000;
    MemoryRows rows;
    bool answers = true;
};

/// One router's ledger with a store, and peers whose loans the test determines.
struct Scene {
    explicit Scene(std::vector<std::string> routers = {})
        // The waits are long, so that no test depends on real time.
        : ledger(loop.get_executor(),
                 {.holder = "10.0.0.1:80",
                  .incarnation = "a",
                  .linkAddress = "10.0.0.1:7340",
                  .maxLoanWait = std::chrono::seconds(30),
                  .maxWait = std::chrono::seconds(30)})
        , checkpoints(store, ledger)
        , synchronizer(loop.get_executor(), store, ledger, {.routers = [] {
                           return std::size_t{1};
                       }})
    {
        ledger.setPeerFunctions(
            [this](std::string, Tokens asked, std::vector<std::string> lenders) -> asio::awaitable<TeamLedger::Loan> {
                askedOf = std::move(lenders);
                const Tokens lent = std::min(asked, lendable);
                lendable -= lent;
                co_return TeamLedger::Loan{.tokens = lent, .exhausted = lent < asked};
            },
            [this](const std::string &peer, const std::string &, Tokens tokens) {
                givenTo = peer;
                given += tokens;
            });
        ledger.start();
        ledger.setRouters(routers);
        ledger.setPrepaid("team", {.prepaid = s_prepaid, .planVersion = 1});
        asio::co_spawn(loop, checkpoints.run(), asio::detached);
        runUntil([this] {
            return ledger.checkpoint().predecessorsFenced();
        });
    }

    /// Runs the loop until the condition holds.
    template<typename Condition>
    void runUntil(Condition condition)
    {
        loop.restart();
        while (!condition()) {
            loop.run_one();
        }
    }

    TeamLedger::Loan lend(Tokens asked)
    {
        std::optional<TeamLedger::Loan> loan;
        asio::co_spawn(loop, ledger.lend("team", asked), [&](const std::exception_ptr &, TeamLedger::Loan made) {
            loan = made;
        });
        runUntil([&] {
            return loan.has_value();
        });
        return *loan;
    }

    absl::StatusOr<Reservation> reserve(Tokens bound)
    {
        std::optional<absl::StatusOr<Reservation>> result;
        asio::co_spawn(loop, ledger.reserve("team", bound), [&](const std::exception_ptr &, absl::StatusOr<Reservation> made) {
            result = std::move(made);
        });
        runUntil([&] {
            return result.has_value();
        });
        return *result;
    }

    asio::io_context loop;
    Store store;
    TeamLedger ledger;
    CheckpointWriter<Store> checkpoints;
    LedgerSynchronizer<Store> synchronizer;
    Tokens lendable = 0;
    std::vector<std::string> askedOf;
    std::string givenTo;
    Tokens given = 0;
};

/// Routers that rank before this one for the team, so that it is not an assigned holder.
std::vector<std::string> otherRoutersOnly()
{
    return {"10.0.0.7:7340", "10.0.0.8:7340", "10.0.0.9:7340"};
}

}

BOOST_AUTO_TEST_SUITE(TeamLedgerTest)

BOOST_AUTO_TEST_CASE(anAssignedHolderServesFromItsPart)
{
    Scene scene;
    BOOST_TEST(scene.reserve(5000).ok());
    BOOST_TEST(scene.reserve(5000).ok());
    BOOST_TEST(scene.askedOf.empty());
}

// A router that is not an assigned holder of a small budget still serves its team: it borrows what the request needs, draws nothing from
// the pool, and returns what the request did not use.
BOOST_AUTO_TEST_CASE(othersBorrowForEachRequest)
{
    Scene scene(otherRoutersOnly());
    scene.lendable = 50'000;
    const auto made = scene.reserve(5000);
    BOOST_REQUIRE(made.ok());
    BOOST_TEST(scene.lendable == 45'000);
    BOOST_TEST(scene.askedOf.size() == 2);
    scene.ledger.settle("team", *made, 3000);
    scene.runUntil([&] {
        return scene.given > 0;
    });
    BOOST_TEST(scene.given == 2000);
    BOOST_TEST(!scene.givenTo.empty());
    const RowsSnapshot rows = scene.store.rows.read(s_budgetTable, "team", 0);
    BOOST_TEST(rows.rows.empty());
}

// The budget is exhausted. The caller is told so at once, and so is the next one, without another loan request.
BOOST_AUTO_TEST_CASE(anExhaustedBudgetIsRefusedAtOnce)
{
    Scene scene(otherRoutersOnly());
    scene.store.answers = false;
    const auto refused = scene.reserve(5000);
    BOOST_REQUIRE(!refused.ok());
    BOOST_TEST((toFailure(refused.status()).executed == Executed::No));
    scene.askedOf.clear();
    BOOST_TEST(!scene.reserve(5000).ok());
    BOOST_TEST(scene.askedOf.empty());
}

// Guards against callers that retry in vain. Several requests wait at a router that is not an assigned holder, and the lenders have nothing
// of their sum. Each caller is told that the budget is exhausted, not that it is unreachable.
BOOST_AUTO_TEST_CASE(allWhoWaitForAUsedUpBudgetAreToldSo)
{
    Scene scene(otherRoutersOnly());
    scene.store.answers = false;
    std::vector<absl::StatusOr<Reservation>> results;
    for (const Tokens bound : {5000, 800, 2000}) {
        asio::co_spawn(scene.loop, scene.ledger.reserve("team", bound), [&](const std::exception_ptr &, absl::StatusOr<Reservation> made) {
            results.push_back(std::move(made));
        });
    }
    scene.runUntil([&] {
        return results.size() == 3;
    });
    for (const absl::StatusOr<Reservation> &result : results) {
        BOOST_REQUIRE(!result.ok());
        BOOST_TEST((toFailure(result.status()).kind == FailureKind::BudgetExhausted));
    }
}

// An assigned holder lends tokens the same way as it serves its own callers: the loan waits for the checkpoint that covers it, and counts
// as spent.
BOOST_AUTO_TEST_CASE(aLoanIsCoveredByACheckpoint)
{
    Scene scene;
    const TeamLedger::Loan loan = scene.lend(6000);
    BOOST_TEST(loan.tokens == 6000);
    const RowsSnapshot rows = scene.store.rows.read(s_checkpointTable, "10.0.0.1:80", 0);
    BOOST_REQUIRE(rows.rows.size() == 1);
    BOOST_TEST(checkpointRowFrom(rows.rows.front()).own.teams.at("team").limitAfter(0) >= 6000);
}

// Guards against small loans after a restart of all routers, when the demand of a team is at one of them. A peer asked for more than it
// holds lends all of that as soon as a checkpoint covers it, not only the little that it may commit at that moment. Requests were refused
// for three seconds with 200,000 tokens left.
BOOST_AUTO_TEST_CASE(aLenderGivesAllItHas)
{
    Scene scene;
    BOOST_TEST(scene.reserve(1).ok());
    const TeamLedger::Loan loan = scene.lend(3 * s_prepaid);
    BOOST_TEST(loan.tokens >= s_prepaid / 4);
}

// Guards against loan requests that a lender cannot serve and counts as demand. Borrowers repeat them at every assigned holder; each would
// write a commitment for all of them, and that much counts as spent when it dies.
BOOST_AUTO_TEST_CASE(tokensNotLentAreNoDemand)
{
    Scene scene;
    BOOST_TEST(scene.reserve(1).ok());
    const auto row = [&] {
        for (const StoredRow &stored : scene.store.rows.read(s_budgetTable, "team", 0).rows) {
            if (stored.address.key == holderKey("10.0.0.1:80")) {
                return stored;
            }
        }
        return StoredRow{};
    };
    for (int asked = 0; asked < 20; ++asked) {
        scene.lend(10 * s_prepaid);
    }
    const std::uint64_t before = row().version;
    scene.runUntil([&] {
        return row().version > before;
    });
    BOOST_TEST(holderRowFrom(row()).demand <= s_prepaid);
}

BOOST_AUTO_TEST_SUITE_END()
