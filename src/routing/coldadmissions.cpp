#include "routing/coldadmissions.h"

#include "routing/admission.h"

#include <algorithm>

namespace bamboohold {

std::size_t admissionsPerSpan(double requestsPerSecond)
{
    // Above the rate of any target; keeps the conversion to an integer defined.
    constexpr double maxPerSpan = 1e6;
    return static_cast<std::size_t>(std::clamp(requestsPerSecond, 1.0, maxPerSpan));
}

ColdAdmissions::ColdAdmissions(Instant startedAt)
    : m_startedAt(startedAt)
{
}

bool ColdAdmissions::admit(std::uint64_t target, double requestsPerSecond, Instant now)
{
    if (now - m_startedAt < s_admissionSpan) {
        return false;
    }
    if (target != m_target) {
        m_target = target;
        m_admissionTimes.clear();
    }
    while (!m_admissionTimes.empty() && now - m_admissionTimes.front() >= s_admissionSpan) {
        m_admissionTimes.pop_front();
    }
    if (m_admissionTimes.size() >= admissionsPerSpan(requestsPerSecond)) {
        return false;
    }
    m_admissionTimes.push_back(now);
    return true;
}

}
