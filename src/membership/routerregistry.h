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

/// Counts the routers that live: each writes a row now and then, and reads the others'. The count only sizes shares of budgets and of
/// retries; nothing that must hold depends on it.
template<RowStore Store>
class RouterRegistry
{
public:
    struct Options {
        /// The address of this router's link; peers know it by that.
        std::string router;
        /// Told who lives, this router included, after each count.
        std::function<void(const std::vector<std::string> &)> onCounted;
        Duration interval = std::chrono::seconds(4);
        /// A row not written for three intervals is a router that is gone.
        Duration silence = std::chrono::seconds(12);
        /// Where all routers start together, the first count waits this long for the others' rows: they start within a few tenths of a
        /// second of each other, and take up to a second to come up on a slow host.
        Duration settle = std::chrono::milliseconds(1500);
    };

    RouterRegistry(Store &store, Options options)
        : m_store(store)
        , m_options(std::move(options))
    {
    }

    /// Writes and counts for as long as the process. `together`: all routers start now.
    boost::asio::awaitable<void> run(bool together)
    {
        if (!together) {
            // The others' rows are there already; a write that gets lost must not keep this router from counting them.
            co_await count();
        }
        while (!m_leaving) {
            const bool written = co_await write();
            if (together) {
                co_await pause(m_options.settle);
                together = false;
            }
            const bool counted = co_await count();
            if (written && counted) {
                co_await pause(m_options.interval);
            } else {
                co_await pause(m_options.interval / 4);
            }
        }
    }

    /// Takes this router's row away.
    boost::asio::awaitable<void> leave()
    {
        m_leaving = true;
        const RowTransaction transaction = rowWrite(std::nullopt);
        const absl::StatusOr<RowTransactionResult> verdict = co_await m_store.transact(transaction);
        if (!verdict.ok()) {
            logLine(Severity::Info, "router.leave_unwritten", {{"detail", verdict.status().message().data()}});
        }
    }

    /// Routers that live, this one included; 1 until the first count.
    std::size_t routers() const
    {
        return m_routers;
    }

    /// True after the first count.
    bool counted() const
    {
        return m_counted;
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

    boost::asio::awaitable<bool> write()
    {
        const RowTransaction transaction = rowWrite(absl::StrCat(storeNowMs()));
        const absl::StatusOr<RowTransactionResult> verdict = co_await m_store.transact(transaction);
        if (verdict.ok()) {
            m_storeTime = verdict->storeTime;
            m_storeTimeAt = steadyNow();
        }
        co_return verdict.ok();
    }

    boost::asio::awaitable<bool> count()
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
            if (lives(row, read->storeTime)) {
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
        m_counted = true;
        m_options.onCounted(live);
        co_return true;
    }

    /// Whether a row names a router that lives. One that names no address, or a time that is none or far ahead, comes from somewhere else:
    /// it would be counted, connected to and asked for loans by every router for as long as it stands.
    bool lives(const StoredRow &row, StoreTimeMs now) const
    {
        StoreTimeMs beat = 0;
        const bool sound = absl::SimpleAtoi(row.value, &beat) && endpointFrom(row.address.key).has_value();
        if (!sound) {
            if (row.version > m_newestSpoilt) {
                m_newestSpoilt = row.version;
                logLine(Severity::Error, "routers.row_unreadable", {{"row", row.address.key}});
            }
            return false;
        }
        const StoreTimeMs silence = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.silence).count();
        // A row written before the router knew the store's time counts as just written.
        return beat == 0 || (beat >= now - silence && beat <= now + silence);
    }

    StoreTimeMs storeNowMs() const
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
    /// Of the rows that cannot be read, the newest that the log has told of.
    mutable std::uint64_t m_newestSpoilt = 0;
    bool m_counted = false;
    bool m_leaving = false;
};

}
