#pragma once

#include "clock/steadytime.h"
#include "failure/failure.h"
#include "net/pause.h"
#include "operations/log.h"
#include "store/rowstore.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Follows a table of the store: reads it whole, then takes the changes as they come, and reads it whole again when the store no longer has
/// them.
template<RowStore Store>
class TableWatcher
{
public:
    struct Options {
        std::string table;
        /// The table as of one moment.
        std::function<void(const std::vector<StoredRow> &)> onSnapshot;
        /// A changed row; version 0 when it was removed.
        std::function<void(const StoredRow &)> onChange;
        /// Whether the store answers.
        std::function<void(bool)> onReachable;
        /// All that was told so far is the table as of this version.
        std::function<void(std::uint64_t version)> onVersion = [](std::uint64_t) {};
        /// The store holds a call back this long when nothing changes. Short, because a connection that went silent is noticed only by an
        /// answer that does not come.
        Duration longPollTimeout = std::chrono::milliseconds(1500);
        Duration retryPause = std::chrono::milliseconds(150);
    };

    TableWatcher(Store &store, Options options)
        : m_store(store)
        , m_options(std::move(options))
    {
    }

    /// Runs for as long as the process.
    boost::asio::awaitable<void> run()
    {
        while (true) {
            if (m_synced) {
                m_synced = co_await followChanges();
                continue;
            }
            const bool read = co_await readTable();
            updateReachability(read);
            if (!read) {
                co_await pause(m_options.retryPause);
            }
        }
    }

private:
    boost::asio::awaitable<bool> readTable()
    {
        const std::string unnamedPart;
        const absl::StatusOr<RowsSnapshot> read = co_await m_store.read(m_options.table, unnamedPart);
        if (!read.ok()) {
            logCallFailure("read", read.status());
            co_return false;
        }
        m_consecutiveFailures = 0;
        if (read->version < m_version) {
            // An answer older than what was seen already would take back changes that are in force.
            co_return false;
        }
        m_version = read->version;
        m_synced = true;
        m_options.onSnapshot(read->rows);
        m_options.onVersion(m_version);
        co_return true;
    }

    /// False when the table has to be read again: the store did not answer, or no longer has the changes. A read may still find a way where
    /// following does not.
    boost::asio::awaitable<bool> followChanges()
    {
        const absl::StatusOr<RowsFeed> feed = co_await m_store.follow(m_options.table, m_version, m_options.longPollTimeout);
        if (!feed.ok()) {
            logCallFailure("follow", feed.status());
            co_return false;
        }
        if (feed->historyCompacted) {
            logLine(Severity::Info, "store.history_gone", {{"table", m_options.table}, {"version", static_cast<std::int64_t>(m_version)}});
            co_return false;
        }
        if (feed->longerThanTable) {
            co_return false;
        }
        const std::vector<bool> superseded = supersededLargeRows(feed->rows, s_largeRowBytes);
        for (std::size_t index = 0; index < feed->rows.size(); ++index) {
            if (!superseded[index]) {
                m_options.onChange(feed->rows[index]);
            }
        }
        m_version = std::max(m_version, feed->version);
        m_options.onVersion(m_version);
        // Changes that came while the last answer was on its way come all at once. Where each is large and they keep coming, the next
        // answer would take longer still, and so on: the newest one would be ever further away. A whole read has each row once.
        co_return std::ranges::none_of(superseded, std::identity{});
    }

    /// Says why calls fail: `store.lost` alone does not tell a store that is silent from an answer that never comes whole. Of a row of
    /// failures the first, second, fourth, eighth and so on are logged, so that a long outage stays quiet.
    void logCallFailure(std::string_view call, const absl::Status &status)
    {
        ++m_consecutiveFailures;
        if (std::has_single_bit(m_consecutiveFailures)) {
            logLine(Severity::Warning,
                    "store.call_failed",
                    {{"table", m_options.table},
                     {"call", std::string(call)},
                     {"in_a_row", static_cast<std::int64_t>(m_consecutiveFailures)},
                     {"detail", toFailure(status).detail}});
        }
    }

    void updateReachability(bool reachable)
    {
        if (reachable != m_reachable) {
            logLine(reachable ? Severity::Info : Severity::Warning,
                    reachable ? "store.regained" : "store.lost",
                    {{"table", m_options.table}, {"version", static_cast<std::int64_t>(m_version)}});
        }
        m_reachable = reachable;
        m_options.onReachable(reachable);
    }

    /// Rows from this size on, in bytes, are passed over where a newer one is at hand: reading a large document takes a small host most of
    /// a second. Smaller ones are all taken, since a target's record may say in between that it leaves.
    static constexpr std::size_t s_largeRowBytes = 16 * 1024;

    Store &m_store;
    Options m_options;
    std::uint64_t m_version = 0;
    /// Calls that failed since the last whole read.
    std::uint64_t m_consecutiveFailures = 0;
    bool m_synced = false;
    bool m_reachable = true;
};

}
