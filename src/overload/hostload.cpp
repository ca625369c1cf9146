#include "overload/hostload.h"

#include <algorithm>
#include <cmath>

namespace bamboohold {

namespace {

/// From this link pressure on, lost datagrams and connections that time out may be due to the link: bursts, acknowledgements and other
/// traffic fill the rest of it.
constexpr double s_busyLinkPressure = 0.35;

/// Weight of the newest delay in the moving average: a single late measurement is no overload, four in a row are.
constexpr double s_newestSampleWeight = 0.25;
/// The most measurements that a late one counts for. Together with its weight, the average is then the newest delay.
constexpr double s_maxMissedTicks = 4;
/// The time over which the use of the link is averaged.
constexpr Duration s_linkWindow = std::chrono::milliseconds(200);
/// The part of the link's speed that counts as full. The rest is needed for headers, acknowledgements and control traffic.
constexpr double s_usableLinkShare = 0.75;
constexpr double s_bytesPerMegabit = 125'000;
constexpr double s_bytesPerMegabyte = 1'000'000;
/// The part of the memory that request bodies and answers may use.
constexpr double s_usableMemoryShare = 0.125;
/// Pressure while connections time out because of this host's network. Above 1, so that the refused share grows.
constexpr double s_congestionPressure = 1.2;
/// Pressure, and time for which it has to last, from which on the host is too full to admit requests that would be late.
constexpr double s_fullPressure = 1.5;
constexpr Duration s_fullTime = std::chrono::milliseconds(100);
/// Turns of the event loop that a request waits for: its connection is accepted, its head and body are read, the relays answer, the
/// connection to the target opens, the request is sent, and the answer's head and parts arrive and are sent on. A turn may therefore take
/// a tenth of the objective.
constexpr int s_turnsPerRequest = 10;

bool isLimit(double value)
{
    return std::isfinite(value) && value > 0;
}

}

std::string_view hostMeasureName(HostMeasure measure)
{
    constexpr std::array<std::string_view, s_hostMeasures> names{"delay", "link_in", "link_out", "connections", "memory"};
    return names.at(static_cast<std::size_t>(measure));
}

HostLoad::HostLoad()
    : HostLoad(Options{})
{
}

HostLoad::HostLoad(Options options)
    : m_options(options)
{
}

bool HostLoad::linkLimited() const
{
    return isLimit(m_options.linkMbps);
}

bool HostLoad::memoryLimited() const
{
    return isLimit(m_options.memoryMb);
}

double HostLoad::bytesPerSecond() const
{
    return m_options.linkMbps * s_bytesPerMegabit;
}

void HostLoad::record(const Sample &sample, Instant now)
{
    const auto set = [this](HostMeasure measure, double pressure) {
        m_pressures[static_cast<std::size_t>(measure)] = pressure;
    };
    if (linkLimited()) {
        recordTraffic(sample, now);
    }
    recordDelay(sample.delay, now);
    const bool congested = m_congestedAt && now - *m_congestedAt <= HostReachability::s_window;
    set(HostMeasure::Connections, congested ? s_congestionPressure : 0);
    if (memoryLimited()) {
        const auto held = static_cast<double>(std::max<std::int64_t>(0, sample.held));
        set(HostMeasure::Memory, held / (m_options.memoryMb * s_bytesPerMegabyte * s_usableMemoryShare));
    }
    m_fullSince = requestPressure() >= s_fullPressure ? std::optional(m_fullSince.value_or(now)) : std::nullopt;
}

void HostLoad::recordDelay(Duration delay, Instant now)
{
    const double weight = s_newestSampleWeight * std::min(s_maxMissedTicks, 1 + seconds(delay) / seconds(s_measurementInterval));
    const auto average = [this, weight](double &mean, Duration newest) {
        mean += weight * (seconds(newest) / seconds(m_options.targetDelay) - mean);
    };
    average(m_measuredDelay, delay);
    // Relays that do not answer an idle host have failed or cannot be reached.
    const Duration silence = linkBusy() ? m_reachability.silence(now) : Duration::zero();
    average(m_pressures[static_cast<std::size_t>(HostMeasure::Delay)], std::max(delay, silence));
}

bool HostLoad::linkBusy() const
{
    return std::max(pressure(HostMeasure::LinkIn), pressure(HostMeasure::LinkOut)) >= s_busyLinkPressure;
}

void HostLoad::recordTraffic(const Sample &sample, Instant now)
{
    if (!m_traffic.empty()) {
        const TrafficSample &last = m_traffic.back();
        const auto sent = static_cast<double>(sample.sent - last.sent);
        m_unsentBytes = std::max(0.0, m_unsentBytes + sent - bytesPerSecond() * seconds(now - last.at));
    }
    m_traffic.push_back({.at = now, .received = sample.received, .sent = sample.sent});
    while (m_traffic.size() > 1 && now - m_traffic[1].at >= s_linkWindow) {
        m_traffic.pop_front();
    }
    const TrafficSample &first = m_traffic.front();
    const double usable = bytesPerSecond() * s_usableLinkShare * seconds(std::max(s_linkWindow, now - first.at));
    m_pressures[static_cast<std::size_t>(HostMeasure::LinkIn)] = static_cast<double>(sample.received - first.received) / usable;
    m_pressures[static_cast<std::size_t>(HostMeasure::LinkOut)] = static_cast<double>(sample.sent - first.sent) / usable;
}

bool HostLoad::attributesTimeout(Instant now)
{
    // Earlier time-outs are no evidence for later ones.
    const bool loaded = m_measuredDelay >= 1 || linkBusy();
    const bool congested = loaded && m_reachability.mostUnreachable(now);
    m_congestedAt = congested ? now : m_congestedAt;
    return congested;
}

double HostLoad::pressure() const
{
    return std::ranges::max(m_pressures);
}

double HostLoad::requestPressure() const
{
    double highest = 0;
    for (std::size_t index = 0; index < s_hostMeasures; ++index) {
        const bool relieved = static_cast<HostMeasure>(index) != HostMeasure::LinkIn;
        highest = std::max(highest, relieved ? m_pressures.at(index) : 0);
    }
    return highest;
}

HostMeasure HostLoad::decisiveMeasure() const
{
    return static_cast<HostMeasure>(std::ranges::max_element(m_pressures) - m_pressures.begin());
}

bool HostLoad::refusesAsFull(Duration objective, Instant now) const
{
    const bool full = m_fullSince && now - *m_fullSince >= s_fullTime;
    return full && objective > Duration::zero() && expectedTime() > objective;
}

Duration HostLoad::expectedTime() const
{
    const double delay = s_turnsPerRequest * m_measuredDelay * seconds(m_options.targetDelay);
    const double transfer = linkLimited() ? m_unsentBytes / bytesPerSecond() : 0;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(delay + transfer));
}

}
