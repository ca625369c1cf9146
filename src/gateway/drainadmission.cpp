#include "gateway/drainadmission.h"

#include <optional>

namespace bamboohold {

bool DrainAdmission::admits(const Request &request, const StreamDurations &observed, Instant now) const
{
    if (request.deadline <= m_workDeadline) {
        return true;
    }
    if (!request.stream) {
        return false;
    }
    const std::optional<StreamEstimate> estimate = observed.estimate(request.promptTokens, request.maxOutputTokens, now);
    return estimate && s_safetyFactor * estimate->whole <= m_workDeadline - now;
}

}
