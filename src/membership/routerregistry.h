#pragma once

#include "clock/steadytime.h"
#include "membership/liverouters.h"
#include "membership/routerlease.h"
#include "net/endpoint.h"
#include "net/pause.h"
#include "operations/log.h"
#include "store/rowstore.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboohold {

/// Counts the live routers: each one writes a row periodically and reads the rows of the others. Counts differ between routers, so that no
/// guarantee may depend on one. What all routers together must not exceed is divided by position(), which is right at all of them.
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
        /// The time within which a limit applies that is divided by position().
        Duration limitSpan = RouterLease::Options{}.span;
    };

    RouterRegistry(Store &store, Options options)
        : m_store(store)
        , m_options(std::move(options))
        , m_live({.interval = m_options.interval, .rowTimeout = m_options.rowTimeout})
        , m_lease({.router = m_options.router, .lease = 2 * m_options.interval, .span = m_options.limitSpan})
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
            if (written && rowsCounted && std::exchange(m_rowLost, false)) {
                continue;
            }
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
        m_lease.end();
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

    /// The position by which this router divides what has this name; see RouterLease.
    std::optional<FleetPosition> position(std::string_view name, Instant now) const
    {
        return m_lease.position(name, now);
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
        const Instant sentAt = steadyNow();
        const absl::StatusOr<RowTransactionResult> verdict = co_await m_store.transact(transaction);
        if (verdict.ok()) {
            m_lease.recordWrite(sentAt, verdict->generation, steadyNow());
            m_storeTime = verdict->storeTime;
            m_storeTimeAt = sentAt;
            m_generation = std::max(m_generation, verdict->generation);
        }
        co_return verdict.ok();
    }

    boost::asio::awaitable<bool> countRouters()
    {
        const RowAddress own = ownAddress();
        const Instant sentAt = steadyNow();
        const absl::StatusOr<RowsSnapshot> read = co_await m_store.read(own.table, own.part);
        if (!read.ok() || read->generation < m_generation) {
            co_return false;
        }
        m_rowLost = read->generation > m_generation;
        m_generation = read->generation;
        m_storeTime = read->storeTime;
        m_storeTimeAt = sentAt;
        const std::vector<std::string> live = m_live.update(validRows(*read), read->generation, read->storeTime);
        m_lease.recordCount(sentAt, live, read->generation, steadyNow());
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

    /// A row whose key is not an address, or whose time is not a number, was written by something else. Every router would count it,
    /// connect to it and ask it for loans for as long as the row exists. So would it with a time far in the future, see LiveRouters.
    std::vector<LiveRouters::Row> validRows(const RowsSnapshot &read)
    {
        std::vector<LiveRouters::Row> rows;
        for (const StoredRow &row : read.rows) {
            StoreTimeMs writtenAt = 0;
            if (absl::SimpleAtoi(row.value, &writtenAt) && endpointFrom(row.address.key).has_value()) {
                rows.push_back({.router = row.address.key, .writtenAt = writtenAt});
                continue;
            }
            const StorePosition position{.generation = read.generation, .version = row.version};
            if (position > m_newestInvalid) {
                m_newestInvalid = position;
                logLine(Severity::Error, "routers.row_unreadable", {{"row", row.address.key}});
            }
        }
        return rows;
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
    /// The store's time in its latest answer, and when that was asked for: no row looks older than it is.
    StoreTimeMs m_storeTime = 0;
    Instant m_storeTimeAt{};
    std::size_t m_routers = 1;
    LiveRouters m_live;
    RouterLease m_lease;
    /// The latest generation among the answers of the store.
    StoreGeneration m_generation = 0;
    /// True if a read has shown a later generation than the last write.
    bool m_rowLost = false;
    /// The newest of the invalid rows that were logged.
    StorePosition m_newestInvalid;
    bool m_hasCounted = false;
    bool m_deregistering = false;
};

}
