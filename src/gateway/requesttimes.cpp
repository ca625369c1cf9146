#include "gateway/requesttimes.h"

#include "gateway/loadshedder.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// Duration of a stream per token, on an engine that takes 1.5 times as long as usual. Most streams end well before their output limit.
constexpr double s_slowEngineMsPerOutputToken = 7.5;
constexpr double s_slowEngineMsPerPromptToken = 0.06;
constexpr Duration s_queueTimeAllowance = std::chrono::milliseconds(300);
/// Time in which the caller's next connection reaches another router.
constexpr Duration s_minRetryTime = std::chrono::milliseconds(50);
/// Callers abandon a stream after the longest of this silence and of these multiples of the route's objectives. A stream that can be
/// resumed at another target must be moved well before that.
constexpr Duration s_minPatience = std::chrono::seconds(2);
constexpr int s_patienceObjectives = 4;
constexpr int s_patiencePauses = 8;
constexpr Duration s_minResumableStallTimeout = std::chrono::milliseconds(1200);
constexpr int s_stallTimeoutPauses = 4;

}

Duration clampedTimeout(Duration unclamped)
{
    return std::max<Duration>(unclamped, std::chrono::milliseconds(1));
}

Duration maxExpectedDuration(const Route &route, const RequestMetadata &metadata)
{
    if (route.repeatability != Repeatability::Stream) {
        return std::min(route.timeout, metadata.callerTimeout);
    }
    const double promptMs = s_slowEngineMsPerPromptToken * static_cast<double>(metadata.promptTokens);
    const double outputMs = s_slowEngineMsPerOutputToken * static_cast<double>(metadata.maxOutputTokens);
    const auto estimate =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(promptMs + outputMs)) + s_queueTimeAllowance;
    return std::min({estimate, route.timeout, metadata.callerTimeout});
}

Duration drainRetryTime(Duration sinceDrainStart)
{
    return std::max(s_minRetryTime, LoadShedder::s_rotationTime - sinceDrainStart);
}

Duration firstByteTimeout(const Route &route, Duration remaining, bool retryAllowed)
{
    if (!retryAllowed) {
        return clampedTimeout(remaining);
    }
    return clampedTimeout(std::min(remaining, std::max(remaining / 2, route.latencyObjective * 13 / 10)));
}

Duration streamStallTimeout(const Route &route)
{
    return route.resumable ? std::max(s_minResumableStallTimeout, s_stallTimeoutPauses * route.eventGapObjective) : route.timeout;
}

Duration callerPatience(const Route &route)
{
    return std::max({s_minPatience, s_patienceObjectives * route.latencyObjective, s_patiencePauses * route.eventGapObjective});
}

}
