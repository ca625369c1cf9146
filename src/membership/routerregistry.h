#pragma once

#include "clock/steadytime.h"
#include "net/endpoint.h"
#include "net/pause.h"
#include "operations/log.h"
#include "store/rowstore.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace bamboohold {

/// Counts the live routers: each one writes a row periodically and reads the rows of the others. The count is used only to size shares of
/// budgets and retries; no guarantee depends on it.
template<RowStore Store>
class RouterRegistry
{
public:
    struct Options {
        /// The address of this router's link, by which peers identify it.
        std::string router;
        /// Called with the live routers, including this one, after each count.
        std::function<void(const std::vector<std::string> &)> onCounted;
        Duration interval = std::chrono::seconds(4);
        /// A router whose row is older than this is gone. Covers three intervals.
        Duration rowTimeout = std::chrono::seconds(12);
        /// If all routers start together, the first count waits this long for the rows of the others. They start within a few tenths of a
        /// second of each other and take up to a second to come up on a slow host.
        Duration startupWait = std::chrono::milliseconds(1500);
    };

    RouterRegistry(Store &store, Options options)
        : m_store(store)
        , m_options(std::move(options))
    {
    }

    /// Writes the row and counts the routers until deregister() is called. `simultaneousStart`: all routers are starting now.
    boost::asio::awaitable<void> run(bool simultaneousStart)
    {
        if (!simultaneousStart) {
            // The rows of the others already exist. Counting first ensures that a failed write does not delay it.
            co_await countRouters();
        }
        while (!m_deregistering) {
            const bool written = co_await writeRow();
            if (simultaneousStart) {
                co_await pause(m_options.startupWait);
                simultaneousStart = false;
            }
            const bool rowsCounted = co_await countRouters();
            if (written && rowsCounted) {
                co_await pause(m_options.interval);
            } else {
                co_await pause(m_options.interval / 4);
            }
        }
    }

    /// Removes this router's row.
    boost::asio::awaitable<void> deregister()
    {
        m_deregistering = true;
        const RowTransaction transaction = rowWrite(std::nullopt);
        const absl::StatusOr<RowTransactionResult> verdict = co_await m_store.transact(transaction);
        if (!verdict.ok()) {
            logLine(Severity::Info, "router.leave_unwritten", {{"detail", verdict.status().message().data()}});
        }
    }

    /// Number of live routers, including this one; 1 until the first count.
    std::size_t routers() const
    {
        return m_routers;
    }

    /// True after the first count.
    bool hasCounted() const
    {
        return m_hasCounted;
    }

private:
    RowAddress ownAddress() const
    {
        return {.table = "routers", .part = "", .key = m_options.router};
    }

    RowTransaction rowWrite(std::optional<std::string> value) const
    {
        return {.changes = {{.address = ownAddress(), .value = std::move(value)}}};
    }

    boost::asio::awaitable<bool> writeRow()
    {
        const RowTransaction transaction = rowWrite(absl::StrCat(estimatedStoreTime()));
        const absl::StatusOr<RowTransactionResult> verdict = co_await m_store.transact(transaction);
        if (verdict.ok()) {
            m_storeTime = verdict->storeTime;
            m_storeTimeAt = steadyNow();
        }
        co_return verdict.ok();
    }

    boost::asio::awaitable<bool> countRouters()
    {
        const RowAddress own = ownAddress();
        const absl::StatusOr<RowsSnapshot> read = co_await m_store.read(own.table, own.part);
        if (!read.ok()) {
            co_return false;
        }
        m_storeTime = read->storeTime;
        m_storeTimeAt = steadyNow();
        std::vector<std::string> live;
        for (const StoredRow &row : read->rows) {
            if (isLive(row, read->storeTime)) {
                live.push_back(row.address.key);
            }
        }
        const std::size_t routers = std::max<std::size_t>(live.size(), 1);
        if (routers != m_routers) {
            logLine(Severity::Info,
                    "routers.counted",
                    {{"routers", static_cast<std::int64_t>(routers)}, {"before", static_cast<std::int64_t>(m_routers)}});
        }
        m_routers = routers;
        m_hasCounted = true;
        m_options.onCounted(live);
        co_return true;
    }

    /// Whether a row belongs to a live router. A row whose key is not an address, or whose time is not a number or far in the future, was
    /// written by something else. Every router would count it, connect to it and ask it for loans for as long as the row exists.
    bool isLive(const StoredRow &row, StoreTimeMs now) const
    {
        StoreTimeMs writtenAt = 0;
        const bool valid = absl::SimpleAtoi(row.value, &writtenAt) && endpointFrom(row.address.key).has_value();
        if (!valid) {
            if (row.version > m_newestInvalidVersion) {
                m_newestInvalidVersion = row.version;
                logLine(Severity::Error, "routers.row_unreadable", {{"row", row.address.key}});
            }
            return false;
        }
        const StoreTimeMs rowTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.rowTimeout).count();
        // A router writes 0 until it knows the store's time, so such a row counts as just written.
        return writtenAt == 0 || (writtenAt >= now - rowTimeout && writtenAt <= now + rowTimeout);
    }

    StoreTimeMs estimatedStoreTime() const
    {
        if (m_storeTime == 0) {
            return 0;
        }
        return m_storeTime + std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() - m_storeTimeAt).count();
    }

    Store &m_store;
    Options m_options;
    StoreTimeMs m_storeTime = 0;
    Instant m_storeTimeAt{};
    std::size_t m_routers = 1;
    /// The newest version among the invalid rows that were logged.
    mutable std::uint64_t m_newestInvalidVersion = 0;
    bool m_hasCounted = false;
    bool m_deregistering = false;
};

}
