#pragma once

#include "clock/instant.h"
#include "routing/admission.h"
#include "routing/loadaggregator.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

namespace bamboohold {

/// Admits requests to targets that limit the rate of all routers together. Runs in the one process that all routers ask about a target: the
/// relay beside the target or, where no relay runs, one of the routers.
///
/// The algorithm is the generic cell rate algorithm (GCRA). In a period of any length a target gets at most its rate times the sum of the
/// period and `s_burstTolerance`, plus one request, even if messages are lost or routers are disconnected or suspended, as long as all
/// routers ask the same process. A process that has just started, or is asked about a target for the first time, does not know about
/// earlier requests. It admits nothing for a while, and waits longer the more requests are in flight at the target.
///
/// Has no I/O; the caller passes the time.
class LimitAdmissions
{
public:
    /// After an idle period, the requests that the rate allows within this time are admitted at once.
    static constexpr Duration s_burstTolerance = std::chrono::milliseconds(500);
    /// Requests in flight at a target on the first query delay the first admission by at most this long. The delay is at least
    /// `s_admissionSpan`.
    static constexpr Duration s_maxInitialDelay = std::chrono::seconds(4);
    /// Lower limits are raised to this rate: a target that gets no requests could not report that its limit has ended.
    static constexpr double s_minRequestsPerSecond = 0.2;

    /// Records the limit that a target reported to a router, in requests per second; 0 means that the limit has ended.
    void recordLimit(std::uint64_t target, double requestsPerSecond, Instant now);

    /// The limit that was recorded last: 0 when it has ended, empty when none was recorded.
    std::optional<double> limit(std::uint64_t target) const;

    /// Decides whether one more request may go to the target. `inFlight` is the load that all routers together have there; it counts only
    /// on the first call for a target.
    AdmissionDecision admit(std::uint64_t target, double requestsPerSecond, const TargetLoad &inFlight, Instant now);

private:
    struct Entry {
        std::optional<double> limit;
        /// The GCRA's theoretical arrival time: when the requests admitted so far are used up at the target's rate. Empty before the
        /// first query.
        std::optional<Instant> theoreticalArrival;
        Instant lastAccess{};
    };

    /// The entry of a target, created if needed. Drops entries that have not been accessed for a minute.
    Entry &entry(std::uint64_t target, Instant now);

    /// By hash of the target's incarnation.
    absl::flat_hash_map<std::uint64_t, Entry> m_entries;
};

}
