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

/// Keeps the quarantine in the store, so that it outlives the routers, and reads what others put there.
///
/// Routers tell each other at once; the store is for those that were not there: a fleet that lost power would send a request on that had
/// crashed three targets, three more times.
template<RowStore Store>
class QuarantineKeeper
{
public:
    struct Options {
        /// Between two reads. Shorter than the time in which a change has to be known to every router in touch with the store, so that the
        /// notice of a peer may be lost.
        Duration interval = std::chrono::seconds(2);
        /// After a call that was declined or lost.
        Duration retryPause = std::chrono::milliseconds(300);
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

    /// Runs for as long as the process.
    boost::asio::awaitable<void> run()
    {
        while (true) {
            const bool done = co_await synchronise();
            co_await m_guard.decided().wait(done ? m_options.interval : m_options.retryPause);
        }
    }

    /// Reads the rows and writes what the store lacks. False when a call failed, or another router was quicker.
    boost::asio::awaitable<bool> synchronise()
    {
        const std::string table(s_quarantineTable);
        const std::string wholePart;
        const absl::StatusOr<RowsRead> read = co_await m_store.read(table, wholePart);
        noteStore(read.ok());
        // An answer older than one that was seen lacks rows that are there: what it lacks would be let pass.
        if (!read.ok() || read->version < m_version) {
            co_return false;
        }
        m_version = read->version;
        takeRows(*read);
        const RowTransaction transaction = missing(*read);
        if (transaction.changes.empty()) {
            co_return true;
        }
        const absl::StatusOr<RowVerdict> verdict = co_await m_store.transact(transaction);
        noteStore(verdict.ok());
        const bool applied = verdict.ok() && verdict->applied;
        if (applied) {
            m_guard.trialsBegun().clear();
        }
        co_return applied;
    }

private:
    /// A transaction holds a hundred entries at most, conditions and changes together.
    static constexpr std::size_t s_mostChanges = 40;
    /// Every router that reaches the store reads it several times within this.
    static constexpr Duration s_acquittalMemory = std::chrono::minutes(1);

    using Entries = Quarantine::Entries;

    static RowAddress addressOf(const RequestFingerprint &fingerprint)
    {
        return {.table = std::string(s_quarantineTable), .part = "", .key = fingerprint.text()};
    }

    void takeRows(const RowsRead &read)
    {
        m_rows.clear();
        for (const StoredRow &row : read.rows) {
            takeRow(row, read.storeTime);
        }
        std::erase_if(m_guard.acquitted(), [this](const RequestFingerprint &fingerprint) {
            const auto row = m_rows.find(fingerprint);
            const bool told = row != m_rows.end() && row->second.content.terms == 0;
            return told || m_guard.quarantine().entries().contains(fingerprint);
        });
        std::vector<RequestFingerprint> lifted;
        for (const auto &[fingerprint, entry] : m_guard.quarantine().entries()) {
            if (entry.stored && !m_rows.contains(fingerprint)) {
                lifted.push_back(fingerprint);
            }
        }
        for (const RequestFingerprint &fingerprint : lifted) {
            m_guard.lift(fingerprint);
        }
    }

    void takeRow(const StoredRow &row, StoreTimeMs storeTime)
    {
        const std::optional<RequestFingerprint> fingerprint = RequestFingerprint::fromText(row.address.key);
        const absl::StatusOr<QuarantineRow> content = quarantineRowFrom(row.value);
        if (!fingerprint || !content.ok()) {
            if (row.version > m_newestSpoilt) {
                m_newestSpoilt = row.version;
                logLine(Severity::Error, "quarantine.unreadable", {{"key", row.address.key}});
            }
            return;
        }
        m_rows[*fingerprint] = {.version = row.version, .content = *content};
        if (m_guard.acquitted().contains(*fingerprint) || past(*content, storeTime)) {
            return;
        }
        if (content->terms == 0) {
            takeAcquittal(*fingerprint, Quarantine::boundedTerm(storeTime - content->nextTrial));
            return;
        }
        const Duration remaining = Quarantine::boundedTerm(content->nextTrial - storeTime);
        m_guard.take({.fingerprint = *fingerprint, .remaining = remaining, .terms = content->terms}, "the store");
        m_guard.quarantine().setStored(*fingerprint);
    }

    /// Acquitted so long ago. One that was held back since is held back anew.
    void takeAcquittal(const RequestFingerprint &fingerprint, Duration ago)
    {
        const auto entry = m_guard.quarantine().entries().find(fingerprint);
        if (entry != m_guard.quarantine().entries().end() && entry->second.since < steadyNow() - ago) {
            m_guard.lift(fingerprint);
        }
    }

    /// True when a trial was decided since the row was written, or one has begun here. By the time of the next trial alone a router whose
    /// clock stood still for a while would prolong every row.
    static bool isNewer(const QuarantineRow &content, const QuarantineRow &row, bool trialBegun)
    {
        return content.terms > row.terms || (trialBegun && content.terms == row.terms && content.nextTrial > row.nextTrial);
    }

    /// True for a row that nobody needs any more.
    static bool past(const QuarantineRow &row, StoreTimeMs storeTime)
    {
        if (row.terms == 0) {
            return Quarantine::boundedTerm(storeTime - row.nextTrial) > s_acquittalMemory;
        }
        return Quarantine::boundedTerm(row.nextTrial - storeTime) <= -Quarantine::s_longestTerm;
    }

    RowTransaction missing(const RowsRead &read) const
    {
        RowTransaction transaction;
        const auto change = [&transaction](const RequestFingerprint &fingerprint, std::uint64_t version, std::optional<std::string> value) {
            if (transaction.changes.size() < s_mostChanges) {
                transaction.conditions.push_back({.address = addressOf(fingerprint), .version = version});
                transaction.changes.push_back({.address = addressOf(fingerprint), .value = std::move(value)});
            }
        };
        const Instant now = steadyNow();
        for (const auto &[fingerprint, entry] : m_guard.quarantine().entries()) {
            const auto row = m_rows.find(fingerprint);
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(entry.nextTrial - now).count();
            const QuarantineRow content{.nextTrial = read.storeTime + left, .terms = entry.terms};
            const bool begun = m_guard.trialsBegun().contains(fingerprint);
            if (row == m_rows.end() || isNewer(content, row->second.content, begun)) {
                change(fingerprint, row == m_rows.end() ? 0 : row->second.version, toText(content));
            }
        }
        for (const RequestFingerprint &fingerprint : m_guard.acquitted()) {
            const auto row = m_rows.find(fingerprint);
            const QuarantineRow content{.nextTrial = read.storeTime, .terms = 0};
            change(fingerprint, row == m_rows.end() ? 0 : row->second.version, toText(content));
        }
        const StoreTimeMs oldestKept = oldestKeptTrial();
        for (const auto &[fingerprint, row] : m_rows) {
            const bool surplus = row.content.nextTrial < oldestKept || past(row.content, read.storeTime);
            if (surplus && !m_guard.acquitted().contains(fingerprint)) {
                change(fingerprint, row.version, std::nullopt);
            }
        }
        return transaction;
    }

    /// Rows whose next trial is due before this are more than are kept.
    StoreTimeMs oldestKeptTrial() const
    {
        const std::size_t most = m_guard.quarantine().options().mostEntries;
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

    void noteStore(bool answers)
    {
        if (answers != m_answers) {
            logLine(answers ? Severity::Info : Severity::Warning, answers ? "quarantine.store_regained" : "quarantine.store_lost", {});
        }
        m_answers = answers;
    }

    struct Row {
        std::uint64_t version = 0;
        QuarantineRow content;
    };

    Store &m_store;
    PoisonGuard &m_guard;
    Options m_options;
    /// As of the last read.
    std::map<RequestFingerprint, Row> m_rows;
    std::uint64_t m_version = 0;
    std::uint64_t m_newestSpoilt = 0;
    bool m_answers = true;
};

}
