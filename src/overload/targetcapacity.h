#pragma once

#include "clock/instant.h"
#include "gateway/routingplan.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace bamboohold {

struct TargetOptions;
struct TargetState;

/// The prefill rate of each target as observed at the first bytes of this router's own requests, which keeps a reference rate that is too
/// low from holding requests back on faster engines. It is a quotient of sums: a prompt that is almost processed when a request is sent
/// counts as a whole, so the highest of single samples is far too high. Does no I/O.
class PrefillObservations
{
public:
    /// A first byte arrived `elapsed` after its request was sent, when the target had this many unprocessed tokens including the request's
    /// own. Samples of few tokens are ignored, since network transit dominates their time.
    void record(const std::string &incarnation, Tokens tokens, Duration elapsed, Instant now);

    /// Tokens that the target processed a millisecond; 0 without an observation in the last 10 s.
    double rate(const std::string &incarnation, Instant now) const;

private:
    struct Observation {
        double tokens = 0;
        double ms = 0;
        Instant at{};
    };

    static Observation decayed(const Observation &observation, Instant now);

    absl::flat_hash_map<std::string, Observation> m_observations;
};

/// The capacity that a request requires of its target.
struct CapacityRequirement {
    Urgency urgency;
    /// Zero or less: the backlog of prompt tokens is not limited.
    Duration objective{};
    /// The request waits in the queue: targets that were just found full are not queried again while others are left.
    bool waiting = false;
    /// The request's own prompt does not count towards the limit of the backlog, which none that is large would ever fit into.
    bool ignoresSize = false;
    const PrefillObservations *observations = nullptr;
};

/// What is known about the load of all routers at a target.
struct TargetOccupancy {
    /// 0: not limited.
    std::uint32_t slots = 0;
    double outstanding = 0;
    double unreadTokens = 0;
    /// Prompt tokens that the target processes a millisecond; the backlog is not limited where this is not above 0.
    double prefillRate = 0;
    /// When the relay beside the target reported the load; none where it is an estimate.
    std::optional<Instant> reportedAt;
};

/// The share of a target's capacity that requests of this urgency may fill: 1 for the most urgent rank, 0.1 less for each further one, and
/// at least 0.6.
double capacityShare(const Urgency &urgency);

/// Whether a target with this load accepts one more request with this many uncached prompt tokens.
bool hasCapacity(const TargetOccupancy &occupancy, Tokens uncachedTokens, const CapacityRequirement &requirement);

/// The load of all routers at a target. Without a report of the relay it is this router's own load: callers are spread unevenly over
/// routers, so that it says little about the load of the others.
TargetOccupancy occupancyOf(const TargetState &target, const TargetOptions &options, const CapacityRequirement &requirement, Instant now);

}
