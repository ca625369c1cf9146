#include "quarantine/crashwatch.h"

#include "routing/stablehash.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bamboohold {

namespace {

/// A crashed target is remembered for this long after its last interrupted attempt. All attempts are interrupted within milliseconds of
/// each other; the margin is for an event loop that is short of processor time and handles the last of them late.
constexpr Duration s_crashRetention = std::chrono::seconds(10);
/// Maximum number of fingerprints of requests and of parts reported for one crash. An engine processes fewer requests at a time. Parts have
/// a limit of their own, so that a caller that makes many up does not displace requests.
constexpr std::size_t s_maxFingerprintsPerCrash = 1024;
/// A cancelled request is remembered for this long. Within this time a target notices that the caller has disconnected, and stops
/// processing the request.
constexpr Duration s_cancelledRetention = std::chrono::seconds(1);
/// Interrupted requests of a peer are remembered for this long. Within this time the peer has confirmed the crash, or reports none.
constexpr Duration s_unconfirmedRetention = std::chrono::seconds(2);
/// Maximum number of cancelled requests remembered for each target.
constexpr std::size_t s_maxCancelledRequests = 64;
/// Responses are recorded for this long after an interruption, because crashes of targets mostly come in series.
constexpr Duration s_recentInterruption = std::chrono::minutes(1);

/// Adds fingerprints up to the maximum number of requests and of parts. Parts that several requests share are added once.
void addFingerprints(std::vector<RequestFingerprint> &into, std::span<const RequestFingerprint> fingerprints)
{
    auto parts = std::ranges::count_if(into, &RequestFingerprint::isPart);
    auto requests = std::ssize(into) - parts;
    for (const RequestFingerprint &fingerprint : fingerprints) {
        const bool isPart = fingerprint.isPart();
        auto &count = isPart ? parts : requests;
        if (count >= static_cast<std::ptrdiff_t>(s_maxFingerprintsPerCrash)
            || (isPart && std::ranges::find(into, fingerprint) != into.end())) {
            continue;
        }
        into.push_back(fingerprint);
        ++count;
    }
}

}

CrashWatch::Action
CrashWatch::attemptInterrupted(const std::string &incarnation, std::span<const RequestFingerprint> fingerprints, Instant now)
{
    const auto [found, first] = m_targets.try_emplace(incarnation);
    InterruptedTarget &interrupted = found->second;
    interrupted.first = first ? now : interrupted.first;
    interrupted.last = now;
    m_lastInterruption = now;
    if (interrupted.crashed) {
        return Action::Report;
    }
    addFingerprints(interrupted.fingerprints, fingerprints);
    return first ? Action::Probe : Action::Wait;
}

void CrashWatch::callerDisconnected(const std::string &incarnation, std::span<const RequestFingerprint> fingerprints, Instant now)
{
    std::vector<CancelledRequest> &cancelled = m_cancelled[stableHash(incarnation)];
    if (cancelled.size() < s_maxCancelledRequests) {
        cancelled.push_back({.fingerprints = {fingerprints.begin(), fingerprints.end()}, .at = now});
    }
}

void CrashWatch::collectCancelled(std::vector<CancelledRequest> &cancelled, std::vector<RequestFingerprint> &into, Instant now)
{
    for (const CancelledRequest &request : std::exchange(cancelled, {})) {
        if (now - request.at <= s_cancelledRetention) {
            addFingerprints(into, request.fingerprints);
        }
    }
}

std::vector<RequestFingerprint> CrashWatch::connectionRefused(const std::string &incarnation, Instant now)
{
    InterruptedTarget &interrupted = m_targets[incarnation];
    interrupted.crashed = true;
    std::vector<RequestFingerprint> inFlight = std::exchange(interrupted.fingerprints, {});
    // Cancelled requests count up to the time of the crash, which is when the last attempt was interrupted.
    collectCancelled(m_cancelled[stableHash(incarnation)], inFlight, std::min(now, interrupted.last));
    return inFlight;
}

std::vector<RequestFingerprint> CrashWatch::takeCancelled(std::uint64_t target, Instant now)
{
    std::vector<RequestFingerprint> inFlight;
    if (const auto found = m_cancelled.find(target); found != m_cancelled.end()) {
        collectCancelled(found->second, inFlight, now);
    }
    return inFlight;
}

std::vector<RequestFingerprint> CrashWatch::takeUnannounced(const std::string &incarnation)
{
    const auto found = m_targets.find(incarnation);
    if (found == m_targets.end()) {
        return {};
    }
    const std::vector<RequestFingerprint> &all = found->second.fingerprints;
    const auto first = all.begin() + static_cast<std::ptrdiff_t>(std::exchange(found->second.announced, all.size()));
    return {first, all.end()};
}

std::vector<RequestFingerprint>
CrashWatch::peerAttemptsInterrupted(std::uint64_t target, std::vector<RequestFingerprint> fingerprints, Instant now)
{
    PeerRequests &interrupted = m_peerRequests[target];
    m_lastInterruption = now;
    if (interrupted.crashed) {
        return fingerprints;
    }
    if (now - interrupted.last > s_unconfirmedRetention) {
        interrupted.fingerprints.clear();
    }
    interrupted.last = now;
    addFingerprints(interrupted.fingerprints, fingerprints);
    return {};
}

std::vector<RequestFingerprint> CrashWatch::confirmCrash(std::uint64_t target, Instant now)
{
    PeerRequests &interrupted = m_peerRequests[target];
    m_lastInterruption = now;
    interrupted.crashed = true;
    const bool recent = now - std::exchange(interrupted.last, now) <= s_unconfirmedRetention;
    std::vector<RequestFingerprint> inFlight = std::exchange(interrupted.fingerprints, {});
    return recent ? inFlight : std::vector<RequestFingerprint>();
}

std::vector<CrashWatch::UnconfirmedCrash> CrashWatch::unconfirmedCrashes(Instant now) const
{
    std::vector<UnconfirmedCrash> all;
    for (const auto &[incarnation, interrupted] : m_targets) {
        if (!interrupted.crashed) {
            all.push_back({.target = stableHash(incarnation), .inFlight = interrupted.fingerprints, .since = interrupted.first});
        }
    }
    for (const auto &[target, interrupted] : m_peerRequests) {
        if (!interrupted.crashed && now - interrupted.last <= s_unconfirmedRetention) {
            all.push_back({.target = target, .inFlight = interrupted.fingerprints, .since = interrupted.last});
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
    return m_lastInterruption && now - *m_lastInterruption <= s_recentInterruption;
}

void CrashWatch::targetAlive(const std::string &incarnation)
{
    m_targets.erase(incarnation);
}

void CrashWatch::expire(Instant now)
{
    std::erase_if(m_targets, [&](const auto &target) {
        return target.second.crashed && now - target.second.last > s_crashRetention;
    });
    std::erase_if(m_peerRequests, [&](const auto &target) {
        return now - target.second.last > s_crashRetention;
    });
    std::erase_if(m_cancelled, [&](const auto &target) {
        return target.second.empty() || now - target.second.back().at > s_cancelledRetention;
    });
}

}
