#pragma once

#include "clock/instant.h"
#include "routing/listreport.h"

#include <optional>
#include <string_view>

namespace bamboohold {

/// What it means that the list of targets lacks an entry that it had.
enum class MissingEntry {
    /// The target has left.
    Left,
    /// The store was away, so the entry may have lapsed although its target lives.
    Lapsed,
    /// Either is possible. The target is the last choice.
    Unknown,
};

/// Returns the name of the meaning as it appears in logs.
std::string_view missingEntryName(MissingEntry meaning);

/// Decides what missing entries of the list mean to a router that did not follow the list for some time.
///
/// The store removes the entries of targets that cannot renew them, at times also while it is away. Live targets are listed again within
/// the grace period after its return; what is missing then has left. A router that has lost the store cannot tell by itself whether the
/// store was away or the router was cut off, in which case a missing entry has been removed for good. Three observations tell:
///
/// - Another router has followed the list for longer than the grace period. The store was there, so the target has left.
/// - Another host answered this router, and a call to the store that was made after that failed. The store was away.
/// - Another router has made that observation.
///
/// Free of side effects: all events and the current time are passed in.
class ListContinuity
{
public:
    struct Options {
        /// The time after the return of the store within which live targets are listed again.
        Duration gracePeriod = std::chrono::milliseconds(2300);
        /// After a longer time without an answer of the store entries may have lapsed. Longer than the store delays its answers, and
        /// shorter than it has to be away for the entry of a live target to lapse.
        Duration maxSilence = std::chrono::milliseconds(2200);
    };

    explicit ListContinuity(Options options);

    /// Sets whether this router reaches the store. Has no effect if that is known already.
    void setStoreReachable(bool reachable, Instant now);

    /// The store has answered a call for the list, or for changes of it. Call before they are applied.
    void recordListAnswer(Instant now);

    /// The store has come back from a copy, which may lack entries.
    void setStoreReturned(Instant now);

    /// Another host than the store has answered this router.
    void recordAnswer(Instant now);

    /// A call to the store that was made at `sentAt`, not through another host, got no answer.
    void recordStoreFailure(Instant sentAt);

    /// Another router has reported what it knows.
    void applyReport(const ListReport &report, Instant now);

    /// What this router reports to others.
    ListReport report(Instant now) const;

    /// What an entry means that has been removed since this router follows the list again.
    MissingEntry removedEntry(Instant now) const;

    /// What an entry means that a read of the whole list lacked.
    MissingEntry missingEntry(Instant now) const;

    /// Whether this router reaches the store.
    bool storeReachable() const
    {
        return m_storeReachable;
    }

private:
    bool servedForGracePeriod(Instant now) const;

    Options m_options;
    bool m_storeReachable = true;
    /// The latest answer of the store; none before the first.
    std::optional<Instant> m_listAnswerAt;
    /// Since when the store is known to have served the list; none if this router has never lost it.
    std::optional<Instant> m_servedSince;
    /// Since when this router has followed the list without interruption; none before it was asked for the first time.
    std::optional<Instant> m_followedSince;
    std::optional<Instant> m_returnedAt;
    /// When another host answered for the first time since the store was lost.
    std::optional<Instant> m_answeredAt;
    /// When it was last known that the store was away.
    std::optional<Instant> m_awayAt;
};

}
