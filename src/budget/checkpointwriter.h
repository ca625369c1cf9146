#pragma once

#include "budget/teamledger.h"
#include "clock/steadytime.h"
#include "net/pause.h"
#include "operations/log.h"
#include "store/rowstore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <string>

namespace bamboohold {

/// Writes a router's checkpoints to the store: at once when a request waits for one, otherwise at the interval that the ledger requires.
/// Only one write is in flight at a time; the next one includes everything that came up meanwhile.
template<RowStore Store>
class CheckpointWriter
{
public:
    struct Options {
        /// Delay before the next write after one that was declined or lost.
        Duration retryPause = std::chrono::milliseconds(100);
    };

    CheckpointWriter(Store &store, TeamLedger &ledger, Options options)
        : m_store(store)
        , m_ledger(ledger)
        , m_options(options)
    {
    }

    CheckpointWriter(Store &store, TeamLedger &ledger)
        : CheckpointWriter(store, ledger, Options{})
    {
    }

    /// Runs until the process ends or another one has taken over its address.
    boost::asio::awaitable<void> run()
    {
        while (!m_ledger.checkpoint().fenced()) {
            bool answered = true;
            if (m_ledger.checkpoint().needsRead()) {
                answered = co_await read();
            }
            if (answered) {
                co_await waitUntilDue();
                answered = co_await write();
            }
            setReachable(answered);
            if (!answered) {
                co_await pause(m_options.retryPause);
            }
        }
        logLine(Severity::Error, "checkpoint.fenced", {});
    }

private:
    boost::asio::awaitable<void> waitUntilDue()
    {
        Duration wait = m_ledger.checkpointDue(steadyNow()) - steadyNow();
        while (wait > Duration::zero()) {
            co_await m_ledger.checkpointUrgent().wait(wait);
            wait = m_ledger.checkpointDue(steadyNow()) - steadyNow();
        }
    }

    boost::asio::awaitable<bool> read()
    {
        const RowAddress address = m_ledger.checkpoint().address();
        const absl::StatusOr<RowsSnapshot> rows = co_await m_store.read(address.table, address.part);
        if (rows.ok()) {
            m_ledger.checkpoint().handleRead(*rows);
        }
        co_return rows.ok();
    }

    boost::asio::awaitable<bool> write()
    {
        const std::optional<RowTransaction> transaction = m_ledger.planCheckpoint(steadyNow());
        if (!transaction) {
            co_return true;
        }
        const absl::StatusOr<RowTransactionResult> verdict = co_await m_store.transact(*transaction);
        if (verdict.ok()) {
            m_ledger.checkpointAnswered(*verdict, steadyNow());
            co_return true;
        }
        if (toFailure(verdict.status()).executed == Executed::No) {
            m_ledger.checkpoint().writeDeclined();
        } else {
            m_ledger.checkpoint().writeLost();
        }
        co_return false;
    }

    void setReachable(bool reachable)
    {
        if (m_ledger.checkpointStoreReachable() != reachable) {
            logLine(reachable ? Severity::Info : Severity::Warning, reachable ? "checkpoint.store_regained" : "checkpoint.store_lost", {});
        }
        m_ledger.setCheckpointStoreReachable(reachable);
    }

    Store &m_store;
    TeamLedger &m_ledger;
    Options m_options;
};

}
