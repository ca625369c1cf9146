#pragma once

#include "clock/instant.h"

#include <cstdint>
#include <deque>

namespace bamboohold {

/// Number of admissions per `s_admissionSpan` at a target that takes this many requests per second: at least one.
std::size_t admissionsPerSpan(double requestsPerSecond);

/// Admits requests to a cold target: one that has just started, takes only a few requests per second from all routers together and crashes
/// above that rate. Runs in the relay on the target's host, which is the one process that all routers can ask.
///
/// The target gets at most the admissions of one span in any second, even if messages are lost or routers are disconnected or suspended,
/// because a router without an answer sends nothing. A relay that has just started does not know about earlier admissions, and so grants
/// none during its first span. Without its relay a cold target gets no requests.
///
/// Has no I/O; the caller passes the time.
class ColdAdmissions
{
public:
    explicit ColdAdmissions(Instant startedAt);

    /// Returns whether one more request may go to the target, and counts it if so. `target` is the hash of the target's incarnation.
    bool admit(std::uint64_t target, double requestsPerSecond, Instant now);

private:
    Instant m_startedAt;
    /// The incarnation that the admissions below belong to.
    std::uint64_t m_target = 0;
    /// Admissions of the last span, oldest first.
    std::deque<Instant> m_admissionTimes;
};

}
