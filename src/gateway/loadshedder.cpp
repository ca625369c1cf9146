#include "gateway/loadshedder.h"

#include "routing/stablehash.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// The newest delay's weight in the mean: one late tick is no overload, four are.
constexpr double s_newestWeight = 0.25;
/// Growth for a long delay is bounded: the delay is that of requests let in before.
constexpr double s_mostMultiples = 4;
/// Measurements that a late one stands for at most: with its weight, the mean is then the newest delay.
constexpr double s_mostTicks = 4;
/// Shares below this are none.
constexpr double s_leastShare = 0.01;
constexpr double s_msPerSecond = 1000;

}

LoadShedder::LoadShedder()
    : LoadShedder(Options{})
{
}

LoadShedder::LoadShedder(Options options)
    : m_options(options)
{
}

void LoadShedder::measured(Duration delay, Instant now)
{
    const double delayMs = seconds(delay) * s_msPerSecond;
    const double targetMs = seconds(m_options.target) * s_msPerSecond;
    // A late measurement stands for those that should have been made in the meantime.
    const double ticks = std::min(s_mostTicks, 1 + seconds(delay) / seconds(s_tick));
    m_meanMs += s_newestWeight * ticks * (delayMs - m_meanMs);
    if (m_meanMs > targetMs) {
        const double multiples = std::min(s_mostMultiples, m_meanMs / targetMs);
        m_share = std::min(m_options.most, m_share + m_options.growth * multiples);
    } else {
        m_share -= m_options.decay * m_share;
        m_share = m_share < s_leastShare ? 0 : m_share;
    }
    if (m_share >= m_options.overloadedAt && !overloaded(now)) {
        const bool again = m_awayUntil && now - *m_awayUntil < m_options.longestAway;
        m_away = again ? std::min(m_options.longestAway, 2 * m_away) : m_options.firstAway;
        m_awayUntil = now + m_away;
    }
}

bool LoadShedder::overloaded(Instant now) const
{
    return m_awayUntil && now < *m_awayUntil;
}

std::optional<Duration> LoadShedder::untilElsewhere(Instant now) const
{
    if (!overloaded(now)) {
        return std::nullopt;
    }
    const Instant since = *m_awayUntil - m_away;
    return std::max(Duration::zero(), since + s_rotationTime - now);
}

bool LoadShedder::refuses(std::uint64_t draw) const
{
    constexpr std::uint64_t steps = 1'000'000;
    return static_cast<double>(mixed(draw) % steps) < m_share * static_cast<double>(steps);
}

}
