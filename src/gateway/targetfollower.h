#pragma once

#include "gateway/targetbalancer.h"
#include "membership/detours.h"
#include "operations/metrics.h"
#include "store/rowstore.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace bamboohold {

/// Takes the list of targets, row by row or whole, into the board and the relays beside the targets.
///
/// Other writers than targets may put rows into the list, or change a target's. Such a row stops no other and names no target to use, at
/// once: a target whose row was readable before would otherwise get work on the word of a record that is gone.
///
/// Rows of one name are ordered by the store's version, not by the start that a process states in them: its clock may have been set back.
/// A late copy of an older row, by whatever way, would otherwise bring an earlier life back.
class TargetFollower
{
public:
    struct Options {
        /// Decodes a row; fails with InvalidDocument for one that names no target to use.
        std::function<absl::StatusOr<TargetListing>(const StoredRow &)> decodeListing;
        /// Label of this router's metrics.
        std::string host;
    };

    /// What it fills outlives it.
    TargetFollower(TargetBalancer &balancer, Detours &detours, Metrics &metrics, Options options);

    /// The list as of one moment.
    void applyTable(std::span<const StoredRow> rows, Instant now);

    /// A row that changed; version 0 when it was removed. An older one than the newest seen of its name is ignored.
    void applyChange(const StoredRow &row, Instant now);

private:
    /// The row's listing; none when it cannot be used, which is noted.
    std::optional<TargetListing> readListing(const StoredRow &row);
    void recordUnusable(const std::string &name, const std::string &reason);
    void recordUsable(const std::string &name);
    void updateUnusableMetric();

    TargetBalancer &m_balancer;
    Detours &m_detours;
    Metrics &m_metrics;
    Options m_options;
    /// The newest version seen of each row, removed ones included until the next whole list.
    std::map<std::string, std::uint64_t> m_newestVersions;
    /// Rows that cannot be used, by name, with the reason that was logged: rows are written every second, and one line a change is enough.
    std::map<std::string, std::string> m_unusableReasons;
};

}
