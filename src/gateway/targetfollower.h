#pragma once

#include "gateway/targetbalancer.h"
#include "membership/relayselector.h"
#include "operations/metrics.h"
#include "store/rowstore.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace bamboohold {

/// Applies the list of targets, row by row or as a whole, to the balancer and to the relays beside the targets.
///
/// Processes other than targets may add rows to the list or overwrite a target's row. An invalid row affects no other row and takes its
/// target out of service at once: otherwise a target whose row was valid before would get requests on the strength of a record that no
/// longer exists.
///
/// Rows of the same name are ordered by the store's generation and version, not by the start time in them, since the clock of a target's
/// host may be set back. Otherwise a late copy of an older row could bring an earlier incarnation back.
///
/// When the store has come back from a copy, its rows may be older than what is known. Until a row is written in the new generation, it
/// replaces no newer row of its name, and a target whose row had been removed gets no requests.
class TargetFollower
{
public:
    struct Options {
        /// Decodes a row; fails with InvalidDocument for one that describes no usable target.
        std::function<absl::StatusOr<TargetListing>(const StoredRow &)> decodeListing;
        /// The host label of this router's metrics.
        std::string host;
    };

    /// The balancer, the relay selector and the metrics must outlive this object.
    TargetFollower(TargetBalancer &balancer, RelaySelector &relaySelector, Metrics &metrics, Options options);

    /// The next read of the whole table is the first one of a generation of the store, at this position.
    void beginGeneration(StorePosition first, Instant now);

    /// Replaces the list by a consistent read of the whole table.
    void applyTable(std::span<const StoredRow> rows, Instant now);

    /// Applies a row that changed in the current generation; version 0 means that it was removed. A row older than the newest one seen
    /// under its name is ignored.
    void applyChange(const StoredRow &row, Instant now);

private:
    /// The newest row seen under a name.
    struct NewestRow {
        StorePosition position;
        /// When the list was first seen without the row.
        std::optional<Instant> removedAt;
    };

    /// True if the row was in the copy from which the store came back, and what is known of its name is as new or newer.
    bool supersededBeforeReturn(const StoredRow &row) const;
    /// Marks the rows that the list no longer has, and forgets those that it has not had for long.
    void recordMissing(const std::set<std::string> &present, Instant now);
    /// The row's listing; none when the row is invalid, which is logged and counted.
    std::optional<TargetListing> readListing(const StoredRow &row);
    void recordUnusable(const std::string &name, const std::string &reason);
    void recordUsable(const std::string &name);
    void updateUnusableMetric();

    TargetBalancer &m_balancer;
    RelaySelector &m_relaySelector;
    Metrics &m_metrics;
    Options m_options;
    /// By name, removed rows included.
    std::map<std::string, NewestRow> m_newest;
    /// The generation of the rows being applied; none before the first read of the whole table.
    std::optional<StoreGeneration> m_generation;
    /// Rows up to this version may be from the copy from which the store came back.
    std::uint64_t m_copyVersion = 0;
    /// The names of invalid rows and the reason that was logged last. Rows are rewritten every second, and only changes are logged.
    std::map<std::string, std::string> m_unusableReasons;
};

}
