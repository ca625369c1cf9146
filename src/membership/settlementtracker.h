#pragma once

#include "clock/instant.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohold {

/// Finds out when a router has settled all that it gave to earlier processes at a target whose sidecar was replaced. Until the new sidecar
/// knows that, it cannot vouch for what the router spent, and a reclaimer would have to hold the router's grants.
///
/// Pure. Three steps for each new incarnation: it is seen; all requests that began before are over; a flush that began after that is
/// applied.
class SettlementTracker
{
public:
    /// A report of the target's sidecar came.
    void recordIncarnation(std::string_view target, std::string_view incarnation, Instant now);

    /// What the router knows now: when its oldest request in flight began, and its flush numbers.
    void updateProgress(std::optional<Instant> oldestRequestStart, std::uint64_t nextFlush, std::uint64_t appliedFlush);

    /// The target's incarnation before which everything is settled; empty while that is not sure.
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
