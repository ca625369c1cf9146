#pragma once

#include "clock/instant.h"
#include "quarantine/requestfingerprint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboohold {

/// Tells crashes of targets from everything else that breaks an answer off, and knows what this router had under way there.
///
/// Pure. A connection that ends early says little: answers get lost, connections are reset, a host loses power. Only a target that refuses
/// new connections soon afterwards has ended, so it is asked a few times; one that goes on accepting, or does not answer at all, has not
/// crashed of a request.
class CrashWatch
{
public:
    /// What to do about an attempt that broke off.
    enum class Step {
        /// The target is being asked.
        Wait,
        /// Ask the target for connections from now on, and tell `refused` or `alive`.
        Ask,
        /// The target has crashed: report this request as well.
        Report,
    };

    /// An attempt at this life of a target broke off.
    Step brokeOff(const std::string &incarnation, const FingerprintPair &fingerprints, Instant now);

    /// A caller left, so its request was broken off from this side. The target may go on with it for a moment, and crash.
    void left(const std::string &incarnation, const FingerprintPair &fingerprints, Instant now);

    /// The target refuses connections. Returns what was under way there.
    std::vector<RequestFingerprint> refused(const std::string &incarnation, Instant now);

    /// A peer saw the target crash, named by the hash of its incarnation. Returns what this router had broken off there a moment ago.
    std::vector<RequestFingerprint> crashedElsewhere(std::uint64_t target, Instant now);

    /// What broke off at the target since this was asked last, for the peers: this router may end before it knows whether the target
    /// crashed.
    std::vector<RequestFingerprint> takeUntold(const std::string &incarnation);

    /// A peer's requests broke off at the target, named by the hash of its incarnation, and it may have crashed. Returns those that were
    /// under way at a crash that is known.
    std::vector<RequestFingerprint> peerBrokeOff(std::uint64_t target, std::vector<RequestFingerprint> fingerprints, Instant now);

    /// The target, named by the hash of its incarnation, has crashed, as this router or a peer saw. Returns what peers had under way there.
    std::vector<RequestFingerprint> takePeers(std::uint64_t target, Instant now);

    /// What broke off at a target that may have crashed.
    struct BrokenOff {
        /// A hash of the target's incarnation.
        std::uint64_t target = 0;
        std::vector<RequestFingerprint> underWay;
        Instant since{};
    };

    /// What broke off here and at peers, at targets of which it is not known yet whether they crashed, for a router that has just started.
    std::vector<BrokenOff> undecided(Instant now) const;

    /// When the first of the attempts broke off whose target is being asked or has crashed: the time of its crash. `now` for another
    /// target.
    Instant brokenSince(const std::string &incarnation, Instant now) const;

    /// True when requests broke off at any target lately, here or at a peer: their target may have crashed.
    bool alert(Instant now) const;

    /// The target accepts connections, or nothing can be said of it.
    void alive(const std::string &incarnation);

    /// Forgets targets that crashed a while ago. Call now and then.
    void expire(Instant now);

private:
    struct Broken {
        std::vector<RequestFingerprint> fingerprints;
        /// The first ones of these that peers know of.
        std::size_t told = 0;
        bool crashed = false;
        Instant first{};
        Instant last{};
    };

    /// A request that was broken off from this side.
    struct Left {
        FingerprintPair fingerprints;
        Instant at{};
    };

    /// What peers had under way at a target.
    struct PeersBroken {
        std::vector<RequestFingerprint> fingerprints;
        bool crashed = false;
        Instant last{};
    };

    static void takeLeft(std::vector<Left> &left, std::vector<RequestFingerprint> &into, Instant now);

    std::map<std::string, Broken> m_targets;
    /// By the hash of the target's incarnation.
    std::map<std::uint64_t, std::vector<Left>> m_left;
    std::map<std::uint64_t, PeersBroken> m_peers;
    std::optional<Instant> m_lastBroken;
};

}
