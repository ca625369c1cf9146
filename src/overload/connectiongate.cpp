#include "overload/connectiongate.h"

#include <algorithm>
#include <cmath>

namespace bamboohold {

namespace {

constexpr double s_bytesPerMegabit = 125'000;
/// Weight of the newest measurement in the rate of served requests.
constexpr double s_newestSampleWeight = 0.1;
/// A late measurement counts for this long at most.
constexpr Duration s_maxElapsed = std::chrono::milliseconds(200);

}

ConnectionGate::ConnectionGate()
    : ConnectionGate(Options{})
{
}

ConnectionGate::ConnectionGate(Options options)
    : m_options(options)
{
}

std::optional<std::size_t> ConnectionGate::update(const Sample &sample, Instant now)
{
    const Sample last = m_last.value_or(sample);
    const Duration elapsed = m_last ? std::clamp(now - m_updatedAt, Duration::zero(), s_maxElapsed) : Duration::zero();
    m_last = sample;
    m_updatedAt = now;
    if (elapsed > Duration::zero()) {
        const double rate = static_cast<double>(sample.served - last.served) / seconds(elapsed);
        m_servedRate += s_newestSampleWeight * (rate - m_servedRate);
        m_peakRate = std::max(m_servedRate, m_peakRate * std::exp(-seconds(elapsed) / seconds(m_options.peakMemory)));
    }
    updateLink(sample.received - last.received, elapsed);
    m_mostRefused = sample.refusedShare >= (m_mostRefused ? m_options.openShare : m_options.closeShare);
    m_pressed = sample.pressure >= (m_pressed ? m_options.openPressure : m_options.closePressure);
    if (m_linkFull || m_mostRefused || m_pressed) {
        m_closedAt = now;
        return 0;
    }
    if (m_closedAt && now - *m_closedAt >= m_options.idleTime) {
        m_closedAt.reset();
    }
    if (!m_closedAt) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(std::ceil(std::max(1.0, m_options.mostPerServed * m_peakRate * seconds(elapsed))));
}

void ConnectionGate::updateLink(std::uint64_t received, Duration elapsed)
{
    if (!std::isfinite(m_options.linkMbps) || m_options.linkMbps <= 0) {
        return;
    }
    const double bytesPerSecond = m_options.linkMbps * s_bytesPerMegabit * m_options.usableShare;
    const double change = static_cast<double>(received) - bytesPerSecond * seconds(elapsed);
    m_excess = std::clamp(m_excess + change, 0.0, bytesPerSecond * seconds(m_options.maxExcess));
    m_linkFull = m_linkFull ? m_excess > 0 : m_excess > bytesPerSecond * seconds(m_options.burst);
}

}
