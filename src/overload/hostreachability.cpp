#include "overload/hostreachability.h"

#include "routing/stablehash.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// Within a region connections open and relays answer within a few milliseconds. What takes longer than this does not show that the
/// network works: queues on a saturated link hold packets for about that long.
constexpr Duration s_promptResponse = std::chrono::milliseconds(60);
/// A single host that does not accept connections has crashed or is unreachable.
constexpr std::size_t s_minTimedOutHosts = 2;
/// Hosts that respond promptly outweigh this many that do not.
constexpr std::size_t s_missesPerResponse = 2;
/// Upper bound of the time reported as silence, so that the measures recover within about a second of the first answer.
constexpr Duration s_maxSilence = std::chrono::seconds(1);
/// Results are dropped once this many are held, which is more hosts than are tried within the window.
constexpr std::size_t s_maxProbes = 4096;

}

std::uint64_t hostKey(std::string_view address)
{
    return stableHash(address.substr(0, address.rfind(':')));
}

void HostReachability::recordConnected(std::uint64_t host, Duration took, Instant now)
{
    if (took <= s_promptResponse) {
        record(host, true, now);
        endSilence(now);
    }
}

void HostReachability::recordConnectTimeout(std::uint64_t host, Instant now)
{
    record(host, false, now);
    absl::erase_if(m_connectTimeouts, [now](const auto &entry) {
        return now - entry.second > s_window;
    });
    m_connectTimeouts[host] = now;
}

void HostReachability::recordAnswer(std::uint64_t host, Duration roundTrip, Instant now)
{
    // Even a late answer ends the silence: its round trip is measured.
    endSilence(now);
    if (roundTrip <= s_promptResponse) {
        record(host, true, now);
    }
}

void HostReachability::recordQueryTimeout(std::uint64_t host, Instant sentAt, Instant now)
{
    record(host, false, now);
    // Another relay answered after the query was sent, so the network worked.
    if (sentAt <= m_lastAnswerAt) {
        return;
    }
    if (now - m_lastQueryTimeout > s_window) {
        clearSilence();
    }
    m_silentRelays.insert(host);
    m_silentSince = std::min(m_silentSince.value_or(sentAt), sentAt);
    m_lastQueryTimeout = now;
}

void HostReachability::record(std::uint64_t host, bool reached, Instant now)
{
    if (m_probes.size() >= s_maxProbes) {
        m_probes.clear();
    }
    m_probes[host] = {.at = now, .reached = reached};
}

void HostReachability::endSilence(Instant now)
{
    m_lastAnswerAt = now;
    clearSilence();
}

void HostReachability::clearSilence()
{
    m_silentRelays.clear();
    m_silentSince.reset();
}

Duration HostReachability::silence(Instant now) const
{
    if (m_silentRelays.size() < 2 || now - m_lastQueryTimeout > s_window) {
        return Duration::zero();
    }
    return std::min(s_maxSilence, now - *m_silentSince);
}

bool HostReachability::mostUnreachable(Instant now) const
{
    const auto recent = [now](Instant at) {
        return now - at <= s_window;
    };
    const auto timedOut = static_cast<std::size_t>(std::ranges::count_if(m_connectTimeouts, [&](const auto &entry) {
        return recent(entry.second);
    }));
    std::size_t reached = 0;
    std::size_t missed = 0;
    for (const auto &[host, probe] : m_probes) {
        if (recent(probe.at)) {
            ++(probe.reached ? reached : missed);
        }
    }
    const bool mostMissed = s_missesPerResponse * reached <= missed;
    return timedOut >= s_minTimedOutHosts && mostMissed;
}

}
