#pragma once

#include "clock/steadytime.h"
#include "membership/versionrow.h"
#include "net/pause.h"
#include "net/signal.h"
#include "operations/log.h"
#include "store/rowstore.h"

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace bamboohold {

/// Keeps the software versions of services in the store, so that a router that has just started, or has missed changes of the list, knows
/// which versions streams may have begun at.
///
/// The store is called only after a gap in what this router has seen, and when the versions of a service have changed.
template<RowStore Store>
class VersionRegistry
{
public:
    /// What this router sees in the list.
    struct View {
        /// Since when it has seen every change; none while it does not follow the list.
        std::optional<Instant> followedSince;
        std::map<std::string, std::set<std::string>> versions;
    };

    struct Options {
        /// Returns the versions that the list has now, by service.
        std::function<View()> view;
        /// Called with the row of a service, and the store's time, after it was read or written.
        std::function<void(const std::string &service, const VersionRow &row, StoreTimeMs storeTime)> onRow;
        /// Time between two looks at the list.
        Duration interval = std::chrono::seconds(1);
        /// The whole fleet starts for the first time, so there were no streams before.
        bool firstStart = false;
        /// How much later than others this router writes a change that all of them have seen.
        Duration delay{};
    };

    VersionRegistry(boost::asio::any_io_executor executor, Store &store, Options options)
        : m_store(store)
        , m_options(std::move(options))
        , m_listRead(std::move(executor))
    {
    }

    /// The whole list has been read, so changes of it may have been missed.
    void notifyListRead()
    {
        m_listRead.notify();
    }

    /// Runs until the process ends.
    boost::asio::awaitable<void> run()
    {
        while (true) {
            co_await m_listRead.wait(m_options.interval);
            const View view = m_options.view();
            if (!view.followedSince) {
                continue;
            }
            const bool afterGap = m_syncedSince != view.followedSince;
            if (!afterGap && m_synced == view.versions) {
                continue;
            }
            if (!afterGap) {
                co_await pause(m_options.delay);
            }
            co_await synchronise();
        }
    }

    /// Reads the rows and writes what they lack. Returns false if a call failed or another router changed a row first.
    boost::asio::awaitable<bool> synchronise()
    {
        const std::string table(s_versionTable);
        const std::string wholePart;
        const std::optional<Instant> followedSince = m_options.view().followedSince;
        const absl::StatusOr<RowsSnapshot> read = co_await m_store.read(table, wholePart);
        const View view = m_options.view();
        // A gap that ended after the rows were read is not covered by them.
        if (!read.ok() || !view.followedSince || view.followedSince != followedSince) {
            co_return false;
        }
        const RowTransaction transaction = applyRows(*read, view);
        if (!transaction.changes.empty()) {
            const absl::StatusOr<RowTransactionResult> verdict = co_await m_store.transact(transaction);
            if (!verdict.ok() || !verdict->applied) {
                co_return false;
            }
        }
        m_syncedSince = view.followedSince;
        m_synced = view.versions;
        co_return true;
    }

private:
    /// The store allows at most a hundred entries per transaction, counting conditions and changes.
    static constexpr std::size_t s_maxChanges = 40;
    /// Longer than any stream lasts. The store's clock may have begun later than that, so a row may name a negative time.
    static constexpr StoreTimeMs s_longestStreamMs = 86'400'000;

    /// Reports the rows, and returns the changes that they need.
    RowTransaction applyRows(const RowsSnapshot &read, const View &view)
    {
        RowTransaction transaction;
        const auto followed = std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() - *view.followedSince).count();
        const StoreTimeMs knownSince = read.storeTime - (m_options.firstStart ? s_longestStreamMs : followed);
        for (const auto &[service, present] : view.versions) {
            const auto stored = std::ranges::find(read.rows, service, [](const StoredRow &row) {
                return row.address.key;
            });
            std::optional<VersionRow> row;
            if (stored != read.rows.end()) {
                absl::StatusOr<VersionRow> parsed = versionRowFrom(stored->value);
                if (parsed.ok()) {
                    row = *std::move(parsed);
                } else {
                    logLine(Severity::Error, "versions.unreadable", {{"service", service}});
                }
            }
            const VersionRow updated = updatedVersionRow(row, present, knownSince, read.storeTime);
            m_options.onRow(service, updated, read.storeTime);
            if ((!row || *row != updated) && transaction.changes.size() < s_maxChanges) {
                const RowAddress address{.table = std::string(s_versionTable), .part = "", .key = service};
                transaction.conditions.push_back({.address = address, .version = stored != read.rows.end() ? stored->version : 0});
                transaction.changes.push_back({.address = address, .value = toText(updated)});
            }
        }
        return transaction;
    }

    Store &m_store;
    Options m_options;
    Signal m_listRead;
    /// What the rows held when they were last read and written.
    std::optional<Instant> m_syncedSince;
    std::map<std::string, std::set<std::string>> m_synced;
};

}
