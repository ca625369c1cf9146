#pragma once

#include "clock/steadytime.h"
#include "operations/log.h"
#include "quarantine/poisonguard.h"
#include "quarantine/quarantinerow.h"
#include "store/rowstore.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace bamboohold {

/// Synchronises the quarantine with the store, so that it survives a restart of all routers.
///
/// Routers announce changes to each other at once. The store serves routers that did not receive them: after a power failure of the whole
/// fleet, a request that had already crashed three targets would otherwise crash three more.
template<RowStore Store>
class QuarantineKeeper
{
public:
    struct Options {
        /// Time between two reads. It is shorter than the time within which every router in contact with the store must know of a change,
        /// so that a peer's announcement may get lost.
        Duration readInterval = std::chrono::seconds(2);
        /// Time until the next try after a call that failed or a transaction that was declined.
        Duration retryDelay = std::chrono::milliseconds(300);
    };

    QuarantineKeeper(Store &store, PoisonGuard &guard, Options options)
        : m_store(store)
        , m_guard(guard)
        , m_options(options)
    {
    }

    QuarantineKeeper(Store &store, PoisonGuard &guard)
        : QuarantineKeeper(store, guard, Options{})
    {
    }

    /// Runs until the process ends.
    boost::asio::awaitable<void> run()
    {
        while (true) {
            const bool done = co_await synchronise();
            co_await m_guard.storeUpdateNeeded().wait(done ? m_options.readInterval : m_options.retryDelay);
        }
    }

    /// Reads the rows and writes what the store lacks. Returns false if a call failed, the read was outdated, or another router changed the
    /// rows first.
    boost::asio::awaitable<bool> synchronise()
    {
        const std::string table(s_quarantineTable);
        const std::string wholePart;
        const absl::StatusOr<RowsSnapshot> read = co_await m_store.read(table, wholePart);
        logStoreState(read.ok());
        // A read older than a previous one may lack rows that exist. Requests missing from it would be released.
        if (!read.ok() || read->version < m_lastReadVersion) {
            co_return false;
        }
        m_lastReadVersion = read->version;
        applyRows(*read);
        const RowTransaction transaction = pendingChanges(*read);
        if (transaction.changes.empty()) {
            co_return true;
        }
        const absl::StatusOr<RowTransactionResult> verdict = co_await m_store.transact(transaction);
        logStoreState(verdict.ok());
        const bool applied = verdict.ok() && verdict->applied;
        if (applied) {
            m_guard.unsavedTrials().clear();
        }
        co_return applied;
    }

private:
    /// The store allows at most a hundred entries per transaction, counting conditions and changes.
    static constexpr std::size_t s_maxChanges = 40;
    /// Every router in contact with the store reads it several times within this time.
    static constexpr Duration s_acquittalRetention = std::chrono::minutes(1);

    using Entries = Quarantine::Entries;

    static RowAddress addressOf(const RequestFingerprint &fingerprint)
    {
        return {.table = std::string(s_quarantineTable), .part = "", .key = fingerprint.text()};
    }

    void applyRows(const RowsSnapshot &read)
    {
        m_rows.clear();
        for (const StoredRow &row : read.rows) {
            applyRow(row, read.storeTime);
        }
        std::erase_if(m_guard.unsavedAcquittals(), [this](const RequestFingerprint &fingerprint) {
            const auto row = m_rows.find(fingerprint);
            const bool acquittalStored = row != m_rows.end() && row->second.content.quarantineLevel == 0;
            return acquittalStored || m_guard.quarantine().entries().contains(fingerprint);
        });
        std::vector<RequestFingerprint> released;
        for (const auto &[fingerprint, entry] : m_guard.quarantine().entries()) {
            if (entry.stored && !m_rows.contains(fingerprint)) {
                released.push_back(fingerprint);
            }
        }
        for (const RequestFingerprint &fingerprint : released) {
            m_guard.release(fingerprint);
        }
    }

    void applyRow(const StoredRow &row, StoreTimeMs storeTime)
    {
        const std::optional<RequestFingerprint> fingerprint = RequestFingerprint::fromText(row.address.key);
        const absl::StatusOr<QuarantineRow> content = quarantineRowFrom(row.value);
        if (!fingerprint || !content.ok()) {
            if (row.version > m_newestUnreadable) {
                m_newestUnreadable = row.version;
                logLine(Severity::Error, "quarantine.unreadable", {{"key", row.address.key}});
            }
            return;
        }
        m_rows[*fingerprint] = {.version = row.version, .content = *content};
        if (m_guard.unsavedAcquittals().contains(*fingerprint) || isExpired(*content, storeTime)) {
            return;
        }
        if (content->quarantineLevel == 0) {
            applyAcquittal(*fingerprint, Quarantine::clampedDuration(storeTime - content->nextTrial));
            return;
        }
        const Duration remaining = Quarantine::clampedDuration(content->nextTrial - storeTime);
        m_guard.applyChange({.fingerprint = *fingerprint, .remaining = remaining, .quarantineLevel = content->quarantineLevel},
                            "the store");
        m_guard.quarantine().setStored(*fingerprint);
    }

    /// Releases a request that was acquitted `ago` before now, unless it has been quarantined again since.
    void applyAcquittal(const RequestFingerprint &fingerprint, Duration ago)
    {
        const auto entry = m_guard.quarantine().entries().find(fingerprint);
        if (entry != m_guard.quarantine().entries().end() && entry->second.quarantinedSince < steadyNow() - ago) {
            m_guard.release(fingerprint);
        }
    }

    /// Returns true if a trial has got a result since the row was written, or a trial has begun here. The time of the next trial alone does
    /// not make a row newer: a router whose clock had stopped for a while would extend every row.
    static bool isNewer(const QuarantineRow &content, const QuarantineRow &row, bool trialBegan)
    {
        return content.quarantineLevel > row.quarantineLevel
            || (trialBegan && content.quarantineLevel == row.quarantineLevel && content.nextTrial > row.nextTrial);
    }

    /// Returns true if no router needs the row any more.
    static bool isExpired(const QuarantineRow &row, StoreTimeMs storeTime)
    {
        if (row.quarantineLevel == 0) {
            return Quarantine::clampedDuration(storeTime - row.nextTrial) > s_acquittalRetention;
        }
        return Quarantine::clampedDuration(row.nextTrial - storeTime) <= -Quarantine::s_maxTrialInterval;
    }

    RowTransaction pendingChanges(const RowsSnapshot &read) const
    {
        RowTransaction transaction;
        const auto change = [&transaction](const RequestFingerprint &fingerprint, std::uint64_t version, std::optional<std::string> value) {
            if (transaction.changes.size() < s_maxChanges) {
                transaction.conditions.push_back({.address = addressOf(fingerprint), .version = version});
                transaction.changes.push_back({.address = addressOf(fingerprint), .value = std::move(value)});
            }
        };
        const Instant now = steadyNow();
        for (const auto &[fingerprint, entry] : m_guard.quarantine().entries()) {
            const auto row = m_rows.find(fingerprint);
            const auto remainingMs = std::chrono::duration_cast<std::chrono::milliseconds>(entry.nextTrial - now).count();
            const QuarantineRow content{.nextTrial = read.storeTime + remainingMs, .quarantineLevel = entry.quarantineLevel};
            const bool trialUnsaved = m_guard.unsavedTrials().contains(fingerprint);
            if (row == m_rows.end() || isNewer(content, row->second.content, trialUnsaved)) {
                change(fingerprint, row == m_rows.end() ? 0 : row->second.version, toText(content));
            }
        }
        for (const RequestFingerprint &fingerprint : m_guard.unsavedAcquittals()) {
            const auto row = m_rows.find(fingerprint);
            const QuarantineRow content{.nextTrial = read.storeTime, .quarantineLevel = 0};
            change(fingerprint, row == m_rows.end() ? 0 : row->second.version, toText(content));
        }
        const StoreTimeMs oldestKept = oldestKeptTrial();
        for (const auto &[fingerprint, row] : m_rows) {
            const bool surplus = row.content.nextTrial < oldestKept || isExpired(row.content, read.storeTime);
            if (surplus && !m_guard.unsavedAcquittals().contains(fingerprint)) {
                change(fingerprint, row.version, std::nullopt);
            }
        }
        return transaction;
    }

    /// Returns the time of the next trial before which rows exceed the maximum number, or 0 if there are no more rows than that.
    StoreTimeMs oldestKeptTrial() const
    {
        const std::size_t most = m_guard.quarantine().options().maxEntries;
        if (m_rows.size() <= most) {
            return 0;
        }
        std::vector<StoreTimeMs> trials;
        for (const auto &[fingerprint, row] : m_rows) {
            trials.push_back(row.content.nextTrial);
        }
        const auto oldest = trials.begin() + static_cast<std::ptrdiff_t>(trials.size() - most);
        std::ranges::nth_element(trials, oldest);
        return *oldest;
    }

    void logStoreState(bool reachable)
    {
        if (reachable != m_storeReachable) {
            logLine(reachable ? Severity::Info : Severity::Warning, reachable ? "quarantine.store_regained" : "quarantine.store_lost", {});
        }
        m_storeReachable = reachable;
    }

    struct Row {
        std::uint64_t version = 0;
        QuarantineRow content;
    };

    Store &m_store;
    PoisonGuard &m_guard;
    Options m_options;
    /// The rows as of the last read.
    std::map<RequestFingerprint, Row> m_rows;
    std::uint64_t m_lastReadVersion = 0;
    std::uint64_t m_newestUnreadable = 0;
    bool m_storeReachable = true;
};

}
