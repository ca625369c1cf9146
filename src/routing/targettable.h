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

/// A target's own account of its load. It lags by the time it takes to arrive.
struct TargetReport {
    std::string incarnation;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    bool leaving = false;
    bool engineReachable = true;
};

/// A target as the register places it.
struct TargetDescriptor {
    std::string name;
    std::string model;
    std::string service;
    std::string failureDomain;
    std::int64_t latencyUs = 0;
    std::uint32_t slots = 1;
};

/// What a request needs of a target.
struct TargetRequirements {
    std::string_view model;
    std::string_view service;
    /// Targets that declined it already.
    std::span<const std::string> excluded;
};

/// Where to send a request.
struct TargetChoice {
    std::string target;
    std::string incarnation;
};

/// What a router knows of the targets, and its choice among them.
///
/// Pure. A target takes part while its sidecar reports; silence, a leaving mark, an unreachable engine and the evacuation of its failure
/// domain take it out. Load is the last
/// report plus what this router has sent since, so that a lagging report does not draw a herd.
class TargetTable
{
public:
    struct Options {
        /// A target silent for longer gets no new work.
        Duration reportTimeout = std::chrono::seconds(2);
        /// After a refusal a target is left alone for this long.
        Duration refusalBackoff = std::chrono::milliseconds(50);
    };

    explicit TargetTable(Options options);

    /// Takes over the register: new targets join, missing ones go.
    void setTargets(std::vector<TargetDescriptor> descriptors);

    /// The targets of these failure domains, and of no others, get nothing new. Requests under way there go on.
    void setEvacuated(std::set<std::string> domains);

    /// A report arrived.
    void recordReport(std::string_view target, const TargetReport &report, Instant now);

    /// Chooses a target, or none when no usable one is left.
    std::optional<TargetChoice> choose(const TargetRequirements &requirements, Instant now) const;

    /// True when the register has a target for the wish, usable or not.
    bool exists(const TargetRequirements &requirements) const;

    /// A request went to the target, or is done there.
    void recordSent(std::string_view target);
    void recordDone(std::string_view target);

    /// The target declined.
    void recordRefusal(std::string_view target, bool leaving, Instant now);

    /// Incarnation of a target that was heard of within the time given; empty otherwise.
    std::string liveIncarnation(std::string_view target, Instant now, Duration maxAge) const;

    /// One line of the operators' view.
    struct Row {
        TargetDescriptor descriptor;
        TargetReport report;
        std::uint32_t outstanding = 0;
        bool usable = false;
    };

    /// All targets, in the register's order.
    std::vector<Row> rows(Instant now) const;

private:
    struct Entry {
        TargetDescriptor descriptor;
        TargetReport report;
        std::optional<Instant> reportedAt;
        std::optional<Instant> backoffUntil;
        std::uint32_t outstanding = 0;
        /// Sent by this router since the last report.
        std::uint32_t sentSinceReport = 0;
    };

    bool usable(const Entry &entry, Instant now) const;
    static double score(const Entry &entry);

    Options m_options;
    std::set<std::string> m_evacuated;
    std::vector<std::string> m_order;
    absl::flat_hash_map<std::string, Entry> m_entries;
};

}
