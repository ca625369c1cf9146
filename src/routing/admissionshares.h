#pragma once

#include "clock/instant.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Divides the request rate of a restricted target among the routers when nobody answers their admission queries.
///
/// At a target that takes n requests per second, n routers may each send one request per `s_admissionSpan`. All routers choose the same n
/// by rendezvous hashing, without exchanging messages. If the rate is below one per second, a single router sends, at a proportionally
/// longer interval.
///
/// The number of admissions in any second stays within that of one span as long as the routers agree on which routers are alive. A router
/// that knows of fewer routers than there are may count itself among the senders by mistake.
///
/// Has no I/O and no clock of its own.
class AdmissionShares
{
public:
    explicit AdmissionShares(std::string self);

    /// Replaces the list of routers that are alive, this one included.
    void setRouters(std::span<const std::string> routers);

    /// Returns whether this router may send one more request to a target, given by its incarnation, and counts it if so.
    bool admit(std::string_view target, double requestsPerSecond, Instant now);

private:
    /// Number of other routers that precede this one in the order of routers for the target.
    std::size_t rank(std::string_view target) const;

    std::string m_self;
    std::vector<std::uint64_t> m_otherRouterHashes;
    /// Earliest time of this router's next request, by target.
    absl::flat_hash_map<std::string, Instant> m_nextAdmission;
};

}
