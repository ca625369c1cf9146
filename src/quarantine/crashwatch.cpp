#include "quarantine/crashwatch.h"

#include "routing/stablehash.h"

#include <algorithm>
#include <utility>

namespace bamboohold {

namespace {

/// All attempts on a crashed target are interrupted within milliseconds of each other. The margin is for an event loop that is short of
/// processor time and handles the last of them late.
constexpr Duration s_memory = std::chrono::seconds(10);
/// Maximum number of fingerprints reported for one crash. An engine processes fewer requests at a time.
constexpr std::size_t s_mostUnderWay = 1024;
/// A target notices within this time that the caller of a request has disconnected, and cancels the request.
constexpr Duration s_leftMemory = std::chrono::seconds(1);
/// Within this time a router has either confirmed that a target with interrupted requests crashed, or reports no crash.
constexpr Duration s_peersMemory = std::chrono::seconds(2);
/// Maximum number of cancelled requests remembered for each target.
constexpr std::size_t s_mostLeft = 64;
/// Responses are recorded for this long after an interruption, because crashes of targets mostly come in series.
constexpr Duration s_alertTime = std::chrono::minutes(1);

}

CrashWatch::Action CrashWatch::attemptInterrupted(const std::string &incarnation, const FingerprintPair &fingerprints, Instant now)
{
    const auto [found, first] = m_targets.try_emplace(incarnation);
    Broken &broken = found->second;
    broken.first = first ? now : broken.first;
    broken.last = now;
    m_lastBroken = now;
    if (broken.crashed) {
        return Action::Report;
    }
    if (broken.fingerprints.size() < s_mostUnderWay) {
        broken.fingerprints.insert(broken.fingerprints.end(), fingerprints.begin(), fingerprints.end());
    }
    return first ? Action::Probe : Action::Wait;
}

void CrashWatch::callerDisconnected(const std::string &incarnation, const FingerprintPair &fingerprints, Instant now)
{
    std::vector<Left> &left = m_left[stableHash(incarnation)];
    if (left.size() < s_mostLeft) {
        left.push_back({.fingerprints = fingerprints, .at = now});
    }
}

void CrashWatch::takeLeft(std::vector<Left> &left, std::vector<RequestFingerprint> &into, Instant now)
{
    for (const Left &request : std::exchange(left, {})) {
        if (now - request.at <= s_leftMemory) {
            into.insert(into.end(), request.fingerprints.begin(), request.fingerprints.end());
        }
    }
}

std::vector<RequestFingerprint> CrashWatch::connectionRefused(const std::string &incarnation, Instant now)
{
    Broken &broken = m_targets[incarnation];
    broken.crashed = true;
    std::vector<RequestFingerprint> underWay = std::exchange(broken.fingerprints, {});
    // Cancelled requests count up to the time of the crash, which is when the last attempt was interrupted.
    takeLeft(m_left[stableHash(incarnation)], underWay, std::min(now, broken.last));
    return underWay;
}

std::vector<RequestFingerprint> CrashWatch::takeCancelled(std::uint64_t target, Instant now)
{
    std::vector<RequestFingerprint> underWay;
    if (const auto found = m_left.find(target); found != m_left.end()) {
        takeLeft(found->second, underWay, now);
    }
    return underWay;
}

std::vector<RequestFingerprint> CrashWatch::takeUnannounced(const std::string &incarnation)
{
    const auto found = m_targets.find(incarnation);
    if (found == m_targets.end()) {
        return {};
    }
    const std::vector<RequestFingerprint> &all = found->second.fingerprints;
    const auto first = all.begin() + static_cast<std::ptrdiff_t>(std::exchange(found->second.told, all.size()));
    return {first, all.end()};
}

std::vector<RequestFingerprint>
CrashWatch::peerAttemptsInterrupted(std::uint64_t target, std::vector<RequestFingerprint> fingerprints, Instant now)
{
    PeersBroken &broken = m_peers[target];
    m_lastBroken = now;
    if (broken.crashed) {
        return fingerprints;
    }
    if (now - broken.last > s_peersMemory) {
        broken.fingerprints.clear();
    }
    broken.last = now;
    if (broken.fingerprints.size() + fingerprints.size() <= s_mostUnderWay) {
        broken.fingerprints.insert(broken.fingerprints.end(), fingerprints.begin(), fingerprints.end());
    }
    return {};
}

std::vector<RequestFingerprint> CrashWatch::confirmCrash(std::uint64_t target, Instant now)
{
    PeersBroken &broken = m_peers[target];
    m_lastBroken = now;
    broken.crashed = true;
    const bool recent = now - std::exchange(broken.last, now) <= s_peersMemory;
    std::vector<RequestFingerprint> underWay = std::exchange(broken.fingerprints, {});
    return recent ? underWay : std::vector<RequestFingerprint>();
}

std::vector<CrashWatch::UnconfirmedCrash> CrashWatch::unconfirmedCrashes(Instant now) const
{
    std::vector<UnconfirmedCrash> all;
    for (const auto &[incarnation, broken] : m_targets) {
        if (!broken.crashed) {
            all.push_back({.target = stableHash(incarnation), .underWay = broken.fingerprints, .since = broken.first});
        }
    }
    for (const auto &[target, broken] : m_peers) {
        if (!broken.crashed && now - broken.last <= s_peersMemory) {
            all.push_back({.target = target, .underWay = broken.fingerprints, .since = broken.last});
        }
    }
    return all;
}

Instant CrashWatch::interruptedSince(const std::string &incarnation, Instant now) const
{
    const auto found = m_targets.find(incarnation);
    return found != m_targets.end() ? found->second.first : now;
}

bool CrashWatch::recentlyInterrupted(Instant now) const
{
    return m_lastBroken && now - *m_lastBroken <= s_alertTime;
}

void CrashWatch::targetAlive(const std::string &incarnation)
{
    m_targets.erase(incarnation);
}

void CrashWatch::expire(Instant now)
{
    std::erase_if(m_targets, [&](const auto &target) {
        return target.second.crashed && now - target.second.last > s_memory;
    });
    std::erase_if(m_peers, [&](const auto &target) {
        return now - target.second.last > s_memory;
    });
    std::erase_if(m_left, [&](const auto &target) {
        return target.second.empty() || now - target.second.back().at > s_leftMemory;
    });
}

}
