#pragma once

#include "clock/steadytime.h"
#include "operations/log.h"
#include "quarantine/poisonguard.h"
#include "quarantine/quarantinerow.h"
#include "store/rowstore.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
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

    /// Reads the rows and writes what the store lacks. Returns false if a call failed, the read was outdated, another router changed the
    /// rows first, or the store returned from an older copy in between.
    boost::asio::awaitable<bool> synchronise()
    {
        const std::string table(s_quarantineTable);
        const std::string wholePart;
        const absl::StatusOr<RowsSnapshot> read = co_await m_store.read(table, wholePart);
        logStoreState(read.ok());
        // A read older than a previous one may lack rows that exist. Requests missing from it would be released.
        if (!read.ok() || read->position() < m_lastRead) {
            co_return false;
        }
        const bool storeReturned = read->generation != m_lastRead.generation;
        m_lastRead = read->position();
        applyRows(*read, storeReturned);
        const PendingChanges pending = pendingChanges(*read);
        if (pending.transaction.changes.empty()) {
            co_return true;
        }
        const absl::StatusOr<RowTransactionResult> verdict = co_await m_store.transact(pending.transaction);
        logStoreState(verdict.ok());
        // In another generation, the versions in the conditions may belong to rows with other content.
        const bool saved = verdict.ok() && verdict->applied && verdict->generation == read->generation;
        if (saved) {
            forgetSaved(pending);
        }
        co_return saved;
    }

private:
    /// The store allows at most a hundred entries per transaction, counting conditions and changes.
    static constexpr std::size_t s_maxChanges = 40;
    /// The time of a trial differs by less between the routers that know of it. A trial that begins delays the next one by more.
    static constexpr StoreTimeMs s_trialTolerance = 500;

    struct Row {
        std::uint64_t version = 0;
        QuarantineRow content;
    };

    using Rows = std::map<RequestFingerprint, Row>;

    /// A transaction, and the unsaved decisions that it saves.
    struct PendingChanges {
        RowTransaction transaction;
        std::vector<RequestFingerprint> trials;
        std::vector<RequestFingerprint> acquittals;
    };

    static RowAddress addressOf(const RequestFingerprint &fingerprint)
    {
        return {.table = std::string(s_quarantineTable), .part = "", .key = fingerprint.text()};
    }

    void applyRows(const RowsSnapshot &read, bool storeReturned)
    {
        const Rows previous = std::exchange(m_rows, {});
        if (storeReturned) {
            m_guard.quarantine().clearStored();
            m_guard.markAcquittalsUnsaved();
        }
        for (const StoredRow &row : read.rows) {
            applyRow(row, read.storeTime);
        }
        if (storeReturned) {
            markLostTrials(previous);
        }
        std::erase_if(m_guard.unsavedTrials(), [this, &read](const RequestFingerprint &fingerprint) {
            return !lacksTrial(fingerprint, read.storeTime);
        });
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

    /// Counts the trials that this router knows of, from the peers or from rows read in an earlier generation, as not in the store.
    void markLostTrials(const Rows &previous)
    {
        for (const auto &[fingerprint, entry] : m_guard.quarantine().entries()) {
            const auto before = previous.find(fingerprint);
            const auto row = m_rows.find(fingerprint);
            const bool rowIsOlder = before != previous.end() && row != m_rows.end()
                && before->second.content.quarantineLevel == row->second.content.quarantineLevel
                && before->second.content.nextTrial > row->second.content.nextTrial;
            if (entry.trials > 0 || rowIsOlder) {
                m_guard.unsavedTrials().insert(fingerprint);
            }
        }
    }

    /// Returns true if the request is quarantined here and its row, if there is one, is older than its last trial.
    bool lacksTrial(const RequestFingerprint &fingerprint, StoreTimeMs storeTime) const
    {
        const auto entry = m_guard.quarantine().entries().find(fingerprint);
        const auto row = m_rows.find(fingerprint);
        return entry != m_guard.quarantine().entries().end()
            && (row == m_rows.end() || isNewer(contentOf(*entry, storeTime), row->second.content, true));
    }

    static StoreTimeMs inStoreTime(Instant at, StoreTimeMs storeTime)
    {
        return storeTime + std::chrono::duration_cast<std::chrono::milliseconds>(at - steadyNow()).count();
    }

    static QuarantineRow contentOf(const Quarantine::Entries::value_type &quarantined, StoreTimeMs storeTime)
    {
        const auto &[fingerprint, entry] = quarantined;
        QuarantineRow row{.nextTrial = inStoreTime(entry.nextTrial, storeTime), .quarantineLevel = entry.quarantineLevel};
        if (fingerprint.isPart()) {
            row.trials = entry.trials;
            row.jointTrial = entry.jointTrial;
            row.lastCrash = inStoreTime(entry.lastCrash, storeTime);
        }
        return row;
    }

    /// Records that the transaction has been saved. Decisions made since it was built are not in it.
    void forgetSaved(const PendingChanges &pending)
    {
        for (const RequestFingerprint &fingerprint : pending.trials) {
            m_guard.unsavedTrials().erase(fingerprint);
        }
        for (const RequestFingerprint &fingerprint : pending.acquittals) {
            m_guard.unsavedAcquittals().erase(fingerprint);
        }
    }

    void applyRow(const StoredRow &row, StoreTimeMs storeTime)
    {
        const std::optional<RequestFingerprint> fingerprint = RequestFingerprint::fromText(row.address.key);
        const absl::StatusOr<QuarantineRow> content = quarantineRowFrom(row.value);
        if (!fingerprint || !content.ok()) {
            const StorePosition position{.generation = m_lastRead.generation, .version = row.version};
            if (position > m_newestUnreadable) {
                m_newestUnreadable = position;
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
        m_guard.applyChange({.fingerprint = *fingerprint,
                             .remaining = remaining,
                             .quarantineLevel = content->quarantineLevel,
                             .trials = content->trials,
                             .sinceCrash = Quarantine::clampedDuration(storeTime - content->lastCrash),
                             .jointTrial = content->jointTrial,
                             .trialMayBeUnderWay = false},
                            "the store");
        m_guard.quarantine().setStored(*fingerprint);
    }

    /// Releases a request that was acquitted `ago` before now, unless it has been quarantined again since.
    void applyAcquittal(const RequestFingerprint &fingerprint, Duration ago)
    {
        const Instant at = steadyNow() - ago;
        m_guard.rememberAcquittal(fingerprint, at);
        const auto entry = m_guard.quarantine().entries().find(fingerprint);
        if (entry != m_guard.quarantine().entries().end() && entry->second.quarantinedSince < at) {
            m_guard.release(fingerprint);
        }
    }

    /// Returns true if a trial has got a result since the row was written, or a trial has begun here. The time of the next trial alone does
    /// not make a row newer: a router whose clock had stopped for a while would extend every row.
    static bool isNewer(const QuarantineRow &content, const QuarantineRow &row, bool trialBegan)
    {
        return content.quarantineLevel > row.quarantineLevel
            || (trialBegan && content.quarantineLevel == row.quarantineLevel && content.nextTrial > row.nextTrial + s_trialTolerance);
    }

    /// Returns true if no router needs the row any more.
    static bool isExpired(const QuarantineRow &row, StoreTimeMs storeTime)
    {
        if (row.quarantineLevel == 0) {
            return Quarantine::clampedDuration(storeTime - row.nextTrial) > PoisonGuard::s_acquittalRetention;
        }
        return Quarantine::clampedDuration(row.nextTrial - storeTime) <= -Quarantine::s_maxTrialInterval;
    }

    PendingChanges pendingChanges(const RowsSnapshot &read) const
    {
        PendingChanges pending;
        const auto change = [&pending](const RequestFingerprint &fingerprint, std::uint64_t version, std::optional<std::string> value) {
            RowTransaction &transaction = pending.transaction;
            if (transaction.changes.size() >= s_maxChanges) {
                return false;
            }
            transaction.conditions.push_back({.address = addressOf(fingerprint), .version = version});
            transaction.changes.push_back({.address = addressOf(fingerprint), .value = std::move(value)});
            return true;
        };
        for (const auto &quarantined : m_guard.quarantine().entries()) {
            const RequestFingerprint &fingerprint = quarantined.first;
            const auto row = m_rows.find(fingerprint);
            const QuarantineRow content = contentOf(quarantined, read.storeTime);
            const bool trialUnsaved = m_guard.unsavedTrials().contains(fingerprint);
            const bool changed = row == m_rows.end() || isNewer(content, row->second.content, trialUnsaved);
            if (changed && change(fingerprint, row == m_rows.end() ? 0 : row->second.version, toText(content)) && trialUnsaved) {
                pending.trials.push_back(fingerprint);
            }
        }
        for (const RequestFingerprint &fingerprint : m_guard.unsavedAcquittals()) {
            const auto row = m_rows.find(fingerprint);
            const QuarantineRow content{.nextTrial = read.storeTime, .quarantineLevel = 0};
            if (change(fingerprint, row == m_rows.end() ? 0 : row->second.version, toText(content))) {
                pending.acquittals.push_back(fingerprint);
            }
        }
        const StoreTimeMs oldestKept = oldestKeptTrial();
        for (const auto &[fingerprint, row] : m_rows) {
            const bool surplus = row.content.nextTrial < oldestKept || isExpired(row.content, read.storeTime);
            if (surplus && !m_guard.unsavedAcquittals().contains(fingerprint)) {
                change(fingerprint, row.version, std::nullopt);
            }
        }
        return pending;
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

    Store &m_store;
    PoisonGuard &m_guard;
    Options m_options;
    /// The rows as of the last read.
    Rows m_rows;
    StorePosition m_lastRead;
    StorePosition m_newestUnreadable;
    bool m_storeReachable = true;
};

}
