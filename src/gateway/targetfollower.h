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
#include <span>
#include <string>

namespace bamboohold {

/// Applies the list of targets, row by row or as a whole, to the balancer and to the relays beside the targets.
///
/// Processes other than targets may add rows to the list or overwrite a target's row. An invalid row affects no other row and takes its
/// target out of service at once: otherwise a target whose row was valid before would get requests on the strength of a record that no
/// longer exists.
///
/// Rows of the same name are ordered by the store's version, not by the start time in them, since the clock of a target's host may be set
/// back. Otherwise a late copy of an older row could bring an earlier incarnation back.
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

    /// Applies a changed row; version 0 means that it was removed. A row older than the newest one seen under its name is ignored.
    void applyChange(const StoredRow &row, Instant now);

private:
    /// The row's listing; none when the row is invalid, which is logged and counted.
    std::optional<TargetListing> readListing(const StoredRow &row);
    void recordUnusable(const std::string &name, const std::string &reason);
    void recordUsable(const std::string &name);
    void updateUnusableMetric();

    TargetBalancer &m_balancer;
    RelaySelector &m_relaySelector;
    Metrics &m_metrics;
    Options m_options;
    /// The newest version seen of each row; removed rows are included until the next read of the whole table.
    std::map<std::string, std::uint64_t> m_newestVersions;
    /// The names of invalid rows and the reason that was logged last. Rows are rewritten every second, and only changes are logged.
    std::map<std::string, std::string> m_unusableReasons;
};

}
