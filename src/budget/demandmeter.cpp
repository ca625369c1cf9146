#include "budget/demandmeter.h"

#include <algorithm>
#include <cmath>

namespace bamboohold {

namespace {

constexpr double s_boundWeight = 0.1;
/// Minimum age for the correction. Without it, the first request of a new meter would yield a far too high rate.
constexpr double s_minAgeSeconds = 1;

}

void DemandMeter::addRequest(Tokens bound)
{
    const auto value = static_cast<double>(bound);
    m_averageBound = m_averageBound == 0 ? value : m_averageBound + s_boundWeight * (value - m_averageBound);
}

void DemandMeter::addUse(Tokens used, Instant now)
{
    m_weightedSum = rate(now) * m_timeConstantSeconds + static_cast<double>(used);
    m_updated = now;
}

double DemandMeter::rate(Instant now) const
{
    const double age = seconds(now - m_updated);
    return m_weightedSum * std::exp(-age / m_timeConstantSeconds) / m_timeConstantSeconds;
}

double DemandMeter::rateSince(Instant since, Instant now) const
{
    const double age = std::max(s_minAgeSeconds, seconds(now - since));
    return rate(now) / (1 - std::exp(-age / m_timeConstantSeconds));
}

}
