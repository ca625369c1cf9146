#pragma once

#include "budget/teamledger.h"
#include "clock/steadytime.h"
#include "net/pause.h"
#include "operations/log.h"
#include "store/rowstore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <functional>
#include <string>

namespace bamboohold {

/// Synchronizes each account of a TeamLedger with the store: reads its rows, sends its flushes, and passes the results back. Only one flush
/// per team is in flight at a time.
template<RowStore Store>
class LedgerSynchronizer
{
public:
    struct Options {
        /// Number of routers that draw on the budgets, including this one; 0 until they have been counted.
        std::function<std::size_t()> routers;
        /// Delay before the next call after one that was declined or lost.
        Duration retryPause = std::chrono::milliseconds(250);
    };

    LedgerSynchronizer(boost::asio::any_io_executor executor, Store &store, TeamLedger &ledger, Options options)
        : m_store(store)
        , m_ledger(ledger)
        , m_options(std::move(options))
    {
        ledger.onOpened([this, executor](TeamLedger::Entry &entry, const std::string &team) {
            boost::asio::co_spawn(executor, synchronize(entry, team), boost::asio::detached);
        });
    }

private:
    boost::asio::awaitable<void> synchronize(TeamLedger::Entry &entry, std::string team)
    {
        while (m_options.routers() == 0) {
            // A router that assumed to be the only one would draw the tokens meant for all of them.
            co_await pause(s_routerCountPoll);
        }
        while (!entry.holding.fenced()) {
            m_ledger.returnIdleLoan(entry, team);
            std::optional<bool> answered;
            if (entry.holding.needsRead(steadyNow())) {
                answered = co_await readRows(entry, team);
            }
            const Instant now = steadyNow();
            const std::optional<Instant> due = entry.holding.nextFlush(m_options.routers(), now);
            if (answered.value_or(true) && due && *due <= now) {
                answered = co_await flush(entry, team);
            }
            if (answered) {
                setReachable(entry, team, *answered);
            }
            if (answered.value_or(true)) {
                co_await waitUntilDue(entry);
            } else {
                co_await pause(m_options.retryPause);
            }
        }
        logLine(Severity::Error, "budget.fenced", {{"team", team}});
    }

    boost::asio::awaitable<void> waitUntilDue(TeamLedger::Entry &entry)
    {
        if (!entry.holding.loaded()) {
            co_return;
        }
        const Instant now = steadyNow();
        const std::optional<Instant> due = entry.holding.nextFlush(m_options.routers(), now);
        const Duration wait = due ? *due - now : s_maxIdleWait;
        if (wait > Duration::zero()) {
            co_await entry.flushSignal.wait(std::min(wait, s_maxIdleWait));
        }
    }

    boost::asio::awaitable<bool> readRows(TeamLedger::Entry &entry, const std::string &team)
    {
        const std::string table(s_budgetTable);
        const absl::StatusOr<RowsSnapshot> rows = co_await m_store.read(table, team);
        if (!rows.ok()) {
            co_return false;
        }
        const bool taken = entry.holding.handleRead(*rows, steadyNow());
        entry.answerSignal.notify();
        co_return taken;
    }

    boost::asio::awaitable<bool> flush(TeamLedger::Entry &entry, const std::string &team)
    {
        const std::optional<RowTransaction> transaction = entry.holding.planFlush(m_options.routers(), steadyNow());
        if (!transaction) {
            co_return true;
        }
        const std::optional<TeamHolding::Recovery> recovery = entry.holding.recovery();
        const absl::StatusOr<RowTransactionResult> verdict = co_await m_store.transact(*transaction);
        if (verdict.ok()) {
            entry.holding.flushAnswered(*verdict, steadyNow());
            if (recovery && entry.holding.recovered()) {
                logRecovery(*recovery, team);
            }
            entry.answerSignal.notify();
            co_return true;
        }
        if (toFailure(verdict.status()).executed == Executed::No) {
            entry.holding.flushDeclined();
        } else {
            entry.holding.flushLost();
        }
        co_return false;
    }

    static void logRecovery(const TeamHolding::Recovery &recovery, const std::string &team)
    {
        logLine(Severity::Info,
                "budget.recovered",
                {{"team", team},
                 {"dead", recovery.incarnation},
                 {"granted", recovery.granted},
                 {"committed_at_checkpoint", recovery.committed},
                 {"counted_as_spent", recovery.countedAsSpent},
                 {"checkpoint_known", static_cast<std::int64_t>(recovery.checkpointKnown)}});
    }

    void setReachable(TeamLedger::Entry &entry, const std::string &team, bool reachable)
    {
        if (entry.storeReachable != reachable) {
            logLine(reachable ? Severity::Info : Severity::Warning,
                    reachable ? "budget.store_regained" : "budget.store_lost",
                    {{"team", team}, {"granted", entry.holding.granted()}, {"committed", entry.holding.committed()}});
        }
        entry.storeReachable = reachable;
        if (!reachable) {
            entry.answerSignal.notify();
        }
    }

    static constexpr Duration s_routerCountPoll = std::chrono::milliseconds(20);
    /// Maximum sleep of an account that has nothing to do.
    static constexpr Duration s_maxIdleWait = std::chrono::seconds(1);

    Store &m_store;
    TeamLedger &m_ledger;
    Options m_options;
};

}
