#pragma once

#include "clock/instant.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// The load that a target reports about itself, as of when it sent the report.
struct TargetReport {
    std::string incarnation;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Requests that the target can run at the same time.
    std::uint32_t slots = 1;
    /// The target is shutting down and takes no new requests.
    bool leaving = false;
    bool engineReachable = true;
};

/// A target's entry in the inventory.
struct TargetDescriptor {
    std::string name;
    std::string model;
    std::string service;
    std::string failureDomain;
    /// Latency of the link from this router's failure domain, in microseconds.
    std::int64_t latencyUs = 0;
    std::uint32_t slots = 1;
};

/// What a request requires of a target: its service, or its model when `service` is empty.
struct TargetRequirements {
    std::string_view model;
    std::string_view service;
    /// Targets that must not be chosen, because they have declined the request before.
    std::span<const std::string> excluded;
};

/// The target chosen for a request.
struct TargetChoice {
    std::string target;
    std::string incarnation;
};

/// Keeps what a router knows about the targets, and chooses among them.
///
/// A target is usable while its sidecar sends reports, unless it is leaving, its engine is unreachable or its failure domain is being
/// evacuated. Its load is the last report plus the requests that this router has sent since. Without them every request would go to the
/// same target until its next report arrives.
///
/// Has no I/O; the caller passes the time. Not thread-safe.
class TargetTable
{
public:
    struct Options {
        /// A target whose last report is older gets no new requests.
        Duration reportTimeout = std::chrono::seconds(2);
        /// A target that refused a request gets no new ones for this long.
        Duration refusalBackoff = std::chrono::milliseconds(50);
    };

    explicit TargetTable(Options options);

    /// Replaces the list of targets. Targets that stay in the list keep their reports and counts.
    void setTargets(std::vector<TargetDescriptor> descriptors);

    /// Replaces the set of failure domains that are being evacuated. Their targets get no new requests; requests in flight there continue.
    void setEvacuated(std::set<std::string> domains);

    /// Stores a target's report. Reports of unknown targets are ignored.
    void recordReport(std::string_view target, const TargetReport &report, Instant now);

    /// Returns the usable target with the lowest load and latency; empty when none is usable.
    std::optional<TargetChoice> choose(const TargetRequirements &requirements, Instant now) const;

    /// True when any target meets the requirements, usable or not.
    bool exists(const TargetRequirements &requirements) const;

    /// Counts a request as sent to the target.
    void recordSent(std::string_view target);

    /// Counts a request as ended at the target.
    void recordDone(std::string_view target);

    /// Starts the target's backoff after it declined a request. `leaving` marks it as leaving until its next report.
    void recordRefusal(std::string_view target, bool leaving, Instant now);

    /// The incarnation of a target whose last report is at most `maxAge` old; empty otherwise.
    std::string liveIncarnation(std::string_view target, Instant now, Duration maxAge) const;

    /// A target's state as shown to operators.
    struct Row {
        TargetDescriptor descriptor;
        TargetReport report;
        std::uint32_t outstanding = 0;
        bool usable = false;
    };

    /// Returns all targets, in the order of `setTargets`.
    std::vector<Row> rows(Instant now) const;

private:
    struct Entry {
        TargetDescriptor descriptor;
        TargetReport report;
        std::optional<Instant> reportedAt;
        std::optional<Instant> backoffUntil;
        /// Requests sent by this router that have not ended.
        std::uint32_t outstanding = 0;
        /// Requests sent by this router since the last report.
        std::uint32_t sentSinceReport = 0;
    };

    bool usable(const Entry &entry, Instant now) const;
    /// Cost of sending a request to the target; the lowest is chosen.
    static double score(const Entry &entry);

    Options m_options;
    std::set<std::string> m_evacuated;
    /// Target names in the order of `setTargets`.
    std::vector<std::string> m_order;
    absl::flat_hash_map<std::string, Entry> m_entries;
};

}
