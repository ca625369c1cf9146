#include "gateway/loadshedder.h"

#include "routing/stablehash.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// Weight of the newest delay in the moving average: a single late measurement is no overload, four in a row are.
constexpr double s_newestSampleWeight = 0.25;
/// Limits the growth of the share after a long delay, because that delay was caused by requests admitted earlier.
constexpr double s_maxGrowthFactor = 4;
/// The most measurements that a late one counts for. Together with its weight, the average is then the newest delay.
constexpr double s_maxMissedTicks = 4;
/// Smaller shares are set to zero.
constexpr double s_minRefusedShare = 0.01;
constexpr double s_msPerSecond = 1000;

/// Maps a hash to a number between 0 and 1.
double evenlyDistributed(std::uint64_t hash)
{
    constexpr std::uint64_t steps = 1'000'000;
    return static_cast<double>(mixed(hash) % steps) / static_cast<double>(steps);
}

}

LoadShedder::LoadShedder()
    : LoadShedder(Options{})
{
}

LoadShedder::LoadShedder(Options options)
    : m_options(options)
{
}

void LoadShedder::recordDelay(Duration delay, Instant now)
{
    const double delayMs = seconds(delay) * s_msPerSecond;
    const double targetMs = seconds(m_options.targetDelay) * s_msPerSecond;
    // A late measurement also counts for those that it delayed.
    const double ticks = std::min(s_maxMissedTicks, 1 + seconds(delay) / seconds(s_measurementInterval));
    m_meanMs += s_newestSampleWeight * ticks * (delayMs - m_meanMs);
    recordPressure(m_meanMs / targetMs, now);
}

void LoadShedder::recordPressure(double pressure, Instant now)
{
    if (pressure > 1) {
        const double factor = std::min(s_maxGrowthFactor, pressure);
        m_refusedShare = std::min(m_options.maxRefusedShare, m_refusedShare + m_options.shareGrowth * factor);
    } else {
        m_refusedShare -= m_options.shareDecay * m_refusedShare;
        m_refusedShare = m_refusedShare < s_minRefusedShare ? 0 : m_refusedShare;
    }
    if (m_refusedShare >= m_options.overloadShare && !overloaded(now)) {
        const bool recent = m_overloadedUntil && now - *m_overloadedUntil < m_options.maxOverloadPeriod;
        m_overloadPeriod = recent ? std::min(m_options.maxOverloadPeriod, 2 * m_overloadPeriod) : m_options.firstOverloadPeriod;
        m_overloadedUntil = now + m_overloadPeriod;
    }
}

bool LoadShedder::overloaded(Instant now) const
{
    return m_overloadedUntil && now < *m_overloadedUntil;
}

std::optional<Duration> LoadShedder::timeUntilRedirect(Instant now) const
{
    if (!overloaded(now)) {
        return std::nullopt;
    }
    const Instant overloadedSince = *m_overloadedUntil - m_overloadPeriod;
    return std::max(Duration::zero(), overloadedSince + s_rotationTime - now);
}

bool LoadShedder::shouldRefuse(std::uint64_t requestHash, std::string_view service, Urgency urgency, Instant now)
{
    return m_byUrgency.shouldRefuse(service, urgency.rank, urgency.ranks, m_refusedShare, evenlyDistributed(requestHash), now);
}

bool LoadShedder::shouldRefuse(std::uint64_t requestHash) const
{
    return evenlyDistributed(requestHash) < m_refusedShare;
}

}
