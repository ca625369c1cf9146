#include "overload/targetcapacity.h"

#include "gateway/targetstate.h"

#include <algorithm>
#include <cmath>

namespace bamboohold {

namespace {

constexpr double s_shareStep = 0.1;
constexpr double s_minShare = 0.6;
/// The part of the objective that the prompt tokens at a target may take; the rest is for waiting, decoding and network transit.
constexpr double s_backlogPart = 0.5;
constexpr double s_msPerSecond = 1000;

/// Fewer tokens are processed within a few network round trips.
constexpr Tokens s_minObservedTokens = 1000;
/// Bounds what a wrong count of cached tokens can do: no engine is known to be this fast.
constexpr double s_maxObservedRate = 400;
constexpr double s_observationHalfLifeSeconds = 3;
constexpr double s_observationLifetimeSeconds = 10;
constexpr std::size_t s_maxObservations = 2048;

/// No target runs this many requests or holds this many prompt tokens; a report above them is invalid.
constexpr std::uint32_t s_maxReportedRequests = 1U << 20;
constexpr Tokens s_maxReportedTokens = Tokens{1} << 40;

bool plausible(const TargetLoad &load)
{
    return load.outstanding <= s_maxReportedRequests && load.unread >= 0 && load.unread <= s_maxReportedTokens;
}

}

PrefillObservations::Observation PrefillObservations::decayed(const Observation &observation, Instant now)
{
    const double age = std::max(0.0, seconds(now - observation.at));
    const double factor = age < s_observationLifetimeSeconds ? std::exp2(-age / s_observationHalfLifeSeconds) : 0;
    return {.tokens = factor * observation.tokens, .ms = factor * observation.ms, .at = now};
}

void PrefillObservations::record(const std::string &incarnation, Tokens tokens, Duration elapsed, Instant now)
{
    if (tokens < s_minObservedTokens || elapsed <= Duration::zero()) {
        return;
    }
    if (m_observations.size() >= s_maxObservations && !m_observations.contains(incarnation)) {
        m_observations.clear();
    }
    Observation &observation = m_observations[incarnation];
    observation = decayed(observation, now);
    observation.tokens += static_cast<double>(tokens);
    observation.ms += seconds(elapsed) * s_msPerSecond;
}

double PrefillObservations::rate(const std::string &incarnation, Instant now) const
{
    const auto found = m_observations.find(incarnation);
    if (found == m_observations.end()) {
        return 0;
    }
    const Observation recent = decayed(found->second, now);
    return recent.ms > 0 ? std::min(s_maxObservedRate, recent.tokens / recent.ms) : 0;
}

double capacityShare(const Urgency &urgency)
{
    return std::max(s_minShare, 1 - s_shareStep * static_cast<double>(urgency.rank));
}

bool hasCapacity(const TargetOccupancy &occupancy, Tokens uncachedTokens, const CapacityRequirement &requirement)
{
    const double share = capacityShare(requirement.urgency);
    if (occupancy.slots > 0 && occupancy.outstanding >= share * occupancy.slots) {
        return false;
    }
    // Without a backlog a request of any size is accepted, so that none starves.
    const bool rateKnown = std::isfinite(occupancy.prefillRate) && occupancy.prefillRate > 0;
    if (occupancy.unreadTokens <= 0 || !rateKnown || requirement.objective <= Duration::zero()) {
        return true;
    }
    const double own = requirement.ignoresSize ? 0 : static_cast<double>(std::max<Tokens>(0, uncachedTokens));
    const double tokens = occupancy.unreadTokens + own;
    const double limitMs = s_backlogPart * share * seconds(requirement.objective) * s_msPerSecond;
    return tokens / occupancy.prefillRate < limitMs;
}

TargetOccupancy occupancyOf(const TargetState &target, const TargetOptions &options, const CapacityRequirement &requirement, Instant now)
{
    const double observed = requirement.observations != nullptr ? requirement.observations->rate(target.listing.incarnation, now) : 0;
    TargetOccupancy occupancy{.slots = target.listing.slots,
                              .outstanding = static_cast<double>(target.outstanding),
                              .unreadTokens = static_cast<double>(std::max<Tokens>(0, target.unread)),
                              .prefillRate =
                                  target.speedFigures ? target.prefillRate(options) : std::max(target.prefillRate(options), observed)};
    const bool reported = target.remoteLoadAt && plausible(target.remoteLoad);
    if (reported && now - *target.remoteLoadAt < options.remoteLoadLifetime) {
        occupancy.outstanding += target.remoteLoad.outstanding;
        occupancy.unreadTokens += static_cast<double>(target.remoteLoad.unread);
        occupancy.reportedAt = target.remoteLoadAt;
    }
    return occupancy;
}

}
