#include "budget/demandmeter.h"

#include <cmath>

namespace bamboohold {

namespace {

constexpr double s_memorySeconds = 60;
constexpr double s_boundWeight = 0.1;

}

void DemandMeter::addRequest(Tokens bound)
{
    const auto value = static_cast<double>(bound);
    m_averageBound = m_averageBound == 0 ? value : m_averageBound + s_boundWeight * (value - m_averageBound);
}

void DemandMeter::addUse(Tokens used, Instant now)
{
    m_weightedSum = rate(now) * s_memorySeconds + static_cast<double>(used);
    m_updated = now;
}

double DemandMeter::rate(Instant now) const
{
    const double age = seconds(now - m_updated);
    return m_weightedSum * std::exp(-age / s_memorySeconds) / s_memorySeconds;
}

}
