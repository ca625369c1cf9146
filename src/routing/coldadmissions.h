#pragma once

#include "clock/instant.h"

#include <cstdint>
#include <deque>

namespace bamboohold {

/// Admissions for one span at a target that takes this many requests a second.
std::size_t admissionsPerSpan(double requestsPerSecond);

/// A cold target takes few requests a second, whichever routers they come from; beyond, it crashes. Admits requests to the one of a host;
/// kept by the relay beside it, which is one where routers are many.
///
/// What holds: the target gets no more than the admissions of a span in any second, whatever gets lost, whoever is cut off or asleep, since
/// a router without an answer sends nothing. A relay that has started knows nothing of earlier admissions and grants none for a span.
/// Without the relay a cold target gets nothing.
///
/// Pure: questions and `now` in.
class ColdAdmissions
{
public:
    explicit ColdAdmissions(Instant startedAt);

    /// Whether one more request may go to the life of a target named by this hash.
    bool admit(std::uint64_t target, double requestsPerSecond, Instant now);

private:
    Instant m_startedAt;
    std::uint64_t m_target = 0;
    std::deque<Instant> m_admissionTimes;
};

}
