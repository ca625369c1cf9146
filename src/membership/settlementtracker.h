#pragma once

#include "clock/instant.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohold {

/// Tracks when a router has settled all requests that it sent to earlier processes at a target whose sidecar was replaced. Until the new
/// sidecar knows that, it cannot vouch for the tokens that the router spent, and a reclaimer has to keep the router's grants held.
///
/// Three things have to happen for each new incarnation of a target: a report names it, all requests that began before that report end, and
/// a flush that began after their end is applied.
///
/// Free of side effects: all events and the current time are passed in.
class SettlementTracker
{
public:
    /// Records the incarnation named by a report of the target's sidecar.
    void recordIncarnation(std::string_view target, std::string_view incarnation, Instant now);

    /// Updates all targets from the start of the router's oldest request in flight (none if it has none), the number of its next flush and
    /// that of its last applied flush.
    void updateProgress(std::optional<Instant> oldestRequestStart, std::uint64_t nextFlush, std::uint64_t appliedFlush);

    /// The target's incarnation if everything sent to earlier ones is settled, otherwise empty.
    std::string settledBefore(std::string_view target) const;

private:
    struct Entry {
        std::string incarnation;
        Instant firstReportedAt;
        std::optional<std::uint64_t> requiredFlush;
        bool settled = false;
    };

    std::map<std::string, Entry, std::less<>> m_entries;
};

}
