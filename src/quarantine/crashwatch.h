#pragma once

#include "clock/instant.h"
#include "quarantine/requestfingerprint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bamboohold {

/// Detects crashes of targets and keeps the requests that this router and its peers had in flight on them.
///
/// Pure decision code without I/O. A connection that closes early does not prove a crash: responses get lost, connections are reset and
/// hosts lose power. Only a target that refuses new connections shortly afterwards has terminated, so the caller probes it a few times. A
/// target that keeps accepting connections, or does not respond at all, was not crashed by a request.
class CrashWatch
{
public:
    /// What the caller must do about an interrupted attempt.
    enum class Action {
        /// Nothing: the target is already being probed.
        Wait,
        /// Start probing the target with new connections, and report the result to `connectionRefused` or `targetAlive`.
        Probe,
        /// The target is known to have crashed: report this request too.
        Report,
    };

    /// Records that the connection of an attempt closed before the response was complete. `fingerprints` are those of the request and of
    /// the parts of its prompt that may have crashed the target.
    Action attemptInterrupted(const std::string &incarnation, std::span<const RequestFingerprint> fingerprints, Instant now);

    /// Records that a caller disconnected, so that this router cancelled the request. The target may keep processing it for a moment and
    /// crash.
    void callerDisconnected(const std::string &incarnation, std::span<const RequestFingerprint> fingerprints, Instant now);

    /// Records that the target refuses connections, so it has crashed. Returns the requests of this router that were in flight there.
    std::vector<RequestFingerprint> connectionRefused(const std::string &incarnation, Instant now);

    /// Takes the requests that this router cancelled on a target shortly before a peer detected its crash; `target` is the hash of the
    /// target's incarnation.
    std::vector<RequestFingerprint> takeCancelled(std::uint64_t target, Instant now);

    /// Returns the requests that were interrupted on the target since the last call. They are announced to the peers at once, because this
    /// router may terminate before it knows whether the target crashed.
    std::vector<RequestFingerprint> takeUnannounced(const std::string &incarnation);

    /// Records that requests of a peer were interrupted on a target, which may have crashed; `target` is the hash of the target's
    /// incarnation. If the target is already known to have crashed, returns these requests, otherwise none.
    std::vector<RequestFingerprint>
    peerAttemptsInterrupted(std::uint64_t target, std::vector<RequestFingerprint> fingerprints, Instant now);

    /// Records that the target has crashed, as detected by this router or a peer; `target` is the hash of the target's incarnation. Returns
    /// the requests that peers had in flight there.
    std::vector<RequestFingerprint> confirmCrash(std::uint64_t target, Instant now);

    /// The requests that were interrupted on a target which may have crashed.
    struct UnconfirmedCrash {
        /// Hash of the target's incarnation.
        std::uint64_t target = 0;
        std::vector<RequestFingerprint> inFlight;
        Instant since{};
    };

    /// Returns the interrupted requests of this router and its peers on targets for which a crash is neither confirmed nor ruled out. A
    /// router that has just started asks for them.
    std::vector<UnconfirmedCrash> unconfirmedCrashes(Instant now) const;

    /// Returns the time of the first interrupted attempt on a target that is being probed or has crashed, which is taken as the time of the
    /// crash. Returns `now` for any other target.
    Instant interruptedSince(const std::string &incarnation, Instant now) const;

    /// Returns true if requests of this router or a peer were interrupted recently on any target, so that a target may have crashed.
    bool recentlyInterrupted(Instant now) const;

    /// Records that the target accepts connections, or that probing it gave no clear result.
    void targetAlive(const std::string &incarnation);

    /// Forgets targets that crashed a while ago. Call this periodically.
    void expire(Instant now);

private:
    struct InterruptedTarget {
        std::vector<RequestFingerprint> fingerprints;
        /// Number of fingerprints, from the first one, that were announced to the peers.
        std::size_t announced = 0;
        bool crashed = false;
        Instant first{};
        Instant last{};
    };

    /// A request that this router cancelled because its caller disconnected.
    struct CancelledRequest {
        std::vector<RequestFingerprint> fingerprints;
        Instant at{};
    };

    /// The requests that peers had in flight on a target.
    struct PeerRequests {
        std::vector<RequestFingerprint> fingerprints;
        bool crashed = false;
        Instant last{};
    };

    static void collectCancelled(std::vector<CancelledRequest> &cancelled, std::vector<RequestFingerprint> &into, Instant now);

    std::map<std::string, InterruptedTarget> m_targets;
    /// Keyed by the hash of the target's incarnation, as is the next map.
    std::map<std::uint64_t, std::vector<CancelledRequest>> m_cancelled;
    std::map<std::uint64_t, PeerRequests> m_peerRequests;
    std::optional<Instant> m_lastInterruption;
};

}
