#pragma once

#include "clock/instant.h"
#include "routing/admission.h"
#include "routing/loadaggregator.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

namespace bamboohold {

/// Admits requests to targets that limit what they take from all routers together; kept by the one process that all routers ask about a
/// target: the relay beside it, or one of the routers where no relay runs.
///
/// What holds: in any span a target gets its rate times the span and `s_burstTolerance`, and one request more, whatever gets lost, whoever
/// is cut off or asleep, as long as all routers ask the same process. One that has started, or is asked about a target for the first time,
/// does not know what came before: it admits nothing for a while, the longer the more is under way at the target.
///
/// Pure: questions and `now` in.
class LimitAdmissions
{
public:
    /// Requests that come after a pause are admitted together as if they had come within this time.
    static constexpr Duration s_burstTolerance = std::chrono::milliseconds(500);
    /// What is under way at a target when it names a limit holds up the first admission for this long at most.
    static constexpr Duration s_maxInitialDelay = std::chrono::seconds(4);
    /// The lowest rate that is kept to: a target that gets nothing could not say that its limit has ended.
    static constexpr double s_minRequestsPerSecond = 0.2;

    /// A router heard of the target's limit, in requests a second; 0: the target has none any more.
    void recordLimit(std::uint64_t target, double requestsPerSecond, Instant now);

    /// The target's limit as it was heard of last: 0 where it has ended, none where nobody said anything.
    std::optional<double> limit(std::uint64_t target) const;

    /// Whether one more request may go to the target, at which this much is under way.
    AdmissionDecision admit(std::uint64_t target, double requestsPerSecond, const TargetLoad &inFlight, Instant now);

private:
    struct Entry {
        std::optional<double> limit;
        /// When the requests admitted so far are used up at the target's rate; none before the first question.
        std::optional<Instant> theoreticalArrival;
        Instant lastAccess{};
    };

    Entry &entry(std::uint64_t target, Instant now);

    /// By the hash of a target's incarnation.
    absl::flat_hash_map<std::uint64_t, Entry> m_entries;
};

}
