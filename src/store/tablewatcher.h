#pragma once

#include "clock/steadytime.h"
#include "failure/failure.h"
#include "net/pause.h"
#include "operations/log.h"
#include "store/rowstore.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboohold {

/// Keeps track of a table in the store. It reads the whole table, then follows the change feed, and reads the whole table again when the
/// store no longer has the changes or has come back from a copy. States are ordered by the store's generation, then by version.
template<RowStore Store>
class TableWatcher
{
public:
    struct Options {
        std::string table;
        /// Called with a snapshot of the whole table.
        std::function<void(const std::vector<StoredRow> &)> onSnapshot;
        /// Called with each changed row; version 0 when the row was removed.
        std::function<void(const StoredRow &)> onChange;
        /// Called when the store has answered, before the other callbacks report what it answered.
        std::function<void()> onAnswer = [] {};
        /// Called after each attempt to read the whole table with whether the store answered with a usable snapshot.
        std::function<void(bool)> onReachable;
        /// Called after the other callbacks have reported everything up to this version of the table.
        std::function<void(std::uint64_t version)> onVersion = [](std::uint64_t) {};
        /// Called before the first snapshot of each generation of the store is reported, with the position of that snapshot.
        std::function<void(StorePosition first)> onGeneration = [](StorePosition) {};
        /// How long the store may delay its answer while nothing changes (long polling). Kept short because a silently broken connection is
        /// only noticed when an answer does not arrive.
        Duration longPollTimeout = std::chrono::milliseconds(1500);
        /// The same while `isUrgent` returns true, which means that somebody waits for the news that nothing has changed.
        Duration urgentPollTimeout = std::chrono::milliseconds(300);
        std::function<bool()> isUrgent = [] {
            return false;
        };
        Duration retryPause = std::chrono::milliseconds(150);
    };

    TableWatcher(Store &store, Options options)
        : m_store(store)
        , m_options(std::move(options))
    {
    }

    /// Follows the table. Never returns.
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
        if (m_position && read->position() < *m_position) {
            // An older snapshot would revert changes that are already in effect.
            logCallFailure("read", failed(FailureKind::TableUnreachable, "the snapshot is older than the last one"));
            co_return false;
        }
        m_consecutiveFailures = 0;
        m_options.onAnswer();
        const std::optional<StorePosition> before = std::exchange(m_position, read->position());
        m_synced = true;
        if (!before || before->generation != m_position->generation) {
            logReturn(before);
            m_options.onGeneration(*m_position);
        }
        m_options.onSnapshot(read->rows);
        m_options.onVersion(m_position->version);
        co_return true;
    }

    /// Waits for the next changes and reports them. Returns false when the whole table has to be read again, because the store did not
    /// answer or no longer has the changes. A read may still succeed when following fails, because it may be able to take another path to
    /// the store.
    boost::asio::awaitable<bool> followChanges()
    {
        const Duration wait = m_options.isUrgent() ? m_options.urgentPollTimeout : m_options.longPollTimeout;
        const absl::StatusOr<RowsFeed> feed = co_await m_store.follow(m_options.table, m_position->version, wait);
        if (!feed.ok()) {
            logCallFailure("follow", feed.status());
            co_return false;
        }
        if (feed->generation != m_position->generation) {
            co_return false;
        }
        if (feed->historyCompacted) {
            logLine(Severity::Info, "store.history_gone", {{"table", m_options.table}, {"version", lastVersion()}});
            co_return false;
        }
        if (feed->longerThanTable) {
            co_return false;
        }
        m_options.onAnswer();
        const std::vector<bool> superseded = supersededLargeRows(feed->rows, s_largeRowBytes);
        for (std::size_t index = 0; index < feed->rows.size(); ++index) {
            if (!superseded[index]) {
                m_options.onChange(feed->rows[index]);
            }
        }
        m_position->version = std::max(m_position->version, feed->version);
        m_options.onVersion(m_position->version);
        // Changes made while the previous answer was being transferred arrive together in the next one. If the rows are large and keep
        // changing, every answer would be larger and take longer than the one before, and the watcher would fall further and further
        // behind. A read of the whole table contains each row only once.
        co_return std::ranges::none_of(superseded, std::identity{});
    }

    /// Logs that the snapshot just read is the first one of a later generation than the one before.
    void logReturn(const std::optional<StorePosition> &before) const
    {
        if (before) {
            logLine(Severity::Warning,
                    "store.returned_from_copy",
                    {{"table", m_options.table},
                     {"generation_before", static_cast<std::int64_t>(before->generation)},
                     {"generation", static_cast<std::int64_t>(m_position->generation)},
                     {"version_before", static_cast<std::int64_t>(before->version)},
                     {"version", lastVersion()}});
        }
    }

    /// The version of the last state that was read, for the log; 0 before the first.
    std::int64_t lastVersion() const
    {
        return static_cast<std::int64_t>(m_position.value_or(StorePosition{}).version);
    }

    /// Logs why a call failed: the `store.lost` event alone does not distinguish a store that is silent from an answer that never arrives
    /// completely. Of consecutive failures only the 1st, 2nd, 4th, 8th and so on are logged, so that a long outage does not flood the log.
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
            const Instant now = steadyNow();
            const auto lost = std::chrono::duration_cast<std::chrono::milliseconds>(reachable ? now - m_lostAt : Duration::zero());
            m_lostAt = now;
            logLine(reachable ? Severity::Info : Severity::Warning,
                    reachable ? "store.regained" : "store.lost",
                    {{"table", m_options.table}, {"version", lastVersion()}, {"lost_ms", static_cast<std::int64_t>(lost.count())}});
        }
        m_reachable = reachable;
        m_options.onReachable(reachable);
    }

    /// Outdated versions of rows of at least this size are skipped when a newer version is available, because parsing a large document
    /// takes a small host most of a second. Smaller rows are always reported, since an intermediate version of a target's record may
    /// announce that the target is leaving.
    static constexpr std::size_t s_largeRowBytes = 16 * 1024;

    Store &m_store;
    Options m_options;
    /// The last state of the table that was reported; none before the first.
    std::optional<StorePosition> m_position;
    /// Number of failed calls and refused snapshots since the last successful read of the whole table.
    std::uint64_t m_consecutiveFailures = 0;
    bool m_synced = false;
    bool m_reachable = true;
    Instant m_lostAt{};
};

}
