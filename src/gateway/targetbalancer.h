#pragma once

#include "clock/instant.h"
#include "gateway/targetstate.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// What a request needs of a target.
struct PlacementRequest {
    std::string_view service;
    /// Parts of the prompt in order; the last one is the request's own.
    std::span<const PromptPart> prompt;
    /// Incarnations that were tried already.
    std::span<const std::string> excluded;
    /// Where given, only these come into question.
    std::span<const std::string> shortlist;
    /// Only targets that take a request without an admission come into question.
    bool skipAdmissionControlled = false;
    /// Decides between targets that are equally good, and which ones of many are looked at. Different for each request: routers with equal
    /// views that all took the first of equals would send much to one target and leave others idle.
    std::uint64_t seed = 0;
};

/// Where a request goes.
struct Placement {
    std::string incarnation;
    /// The name that the process at the address must have to run the request.
    std::string name;
    std::string address;
    /// Prompt tokens that the target probably has to read.
    Tokens uncachedTokens = 0;
    /// The target is cold, or may be: it takes few requests a second from all routers together.
    bool cold = false;
    /// Requests a second that the target takes from all routers together; none where it names no limit.
    std::optional<double> rateLimit;
    /// An admission ends then.
    std::optional<Instant> sendBefore;
};

/// All targets that a router may send to, and its choice among them.
///
/// Pure. Targets come from the platform's list, which lags: a target that fails is left out sooner, one that the list lost while the store
/// was in trouble stays for a grace time. A target's load is what this router sent there itself, and what the relay beside the target said
/// a moment ago that others have there: a few candidates are asked for it before one of them is chosen. What is not known counts as
/// nothing, so that without relays this is the least of own dispatches.
class TargetBalancer
{
public:
    using Options = TargetOptions;

    explicit TargetBalancer(Options options);

    /// Takes over the whole list. `unusable` names the entries that are there and name no target to use.
    void replaceAll(std::vector<TargetListing> listings, Instant now, std::span<const std::string> unusableNames = {});

    /// The targets of these failure domains, and of no others, take nothing new. Requests under way there go on.
    void setEvacuatedDomains(std::set<std::string> domains, Instant now);

    /// An entry was added or changed. A new life under a name that is known takes the old one's place and inherits nothing: what the old
    /// one had cached, was ejected for, had in progress or said of leaving is not the new one's.
    void updateListing(TargetListing listing, Instant now);

    /// The entry of that name vanished.
    void removeListing(const std::string &name, Instant now);

    /// The entry of that name has become one that cannot be used. The target gets no new work until a record can be used again; what it
    /// works on goes on, since the record says nothing of that.
    void markUnusable(const std::string &name);

    /// Whether the store answers. While it does not, and for the grace time afterwards, vanished entries are doubted.
    void setStoreReachable(bool reachable, Instant now);

    /// Removes entries whose grace time has passed. Call now and then.
    void removeExpired(Instant now);

    /// The targets that come into question for a request, best first as far as this router knows, at most this many. None where one of
    /// them is as good as chosen.
    std::vector<std::string> candidates(const PlacementRequest &request, std::size_t most, Instant now) const;

    /// Chooses a target; none when no usable one is left.
    std::optional<Placement> choose(const PlacementRequest &request, Instant now) const;

    /// What this router has at the target, and the relay there; none when it is not known, or has none.
    struct OwnLoad {
        std::string relay;
        TargetLoad load;
    };
    std::optional<OwnLoad> ownLoad(const std::string &incarnation) const;

    /// Targets at which this router has anything under way.
    std::vector<std::string> targetsInUse() const;

    /// The relay beside the target said what all other routers have there.
    void setRemoteLoad(const std::string &incarnation, const TargetLoad &remoteLoad, Instant now);

    /// The relay beside the target used to answer, and did not.
    void relayTimedOut(const std::string &incarnation, Instant now);

    /// A request went to the target.
    void requestSent(const std::string &incarnation, std::span<const PromptPart> prompt, Tokens uncachedTokens, Instant now);

    /// The target produced its first byte for the request that was sent at that instant: its prompt has been read.
    void firstByteReceived(const std::string &incarnation, Tokens uncachedTokens, Instant sentAt);

    /// An attempt whose answer had begun is over.
    void attemptEnded(const std::string &incarnation, HealthSignal signal, Instant now);

    /// The target takes this many requests a second from all routers together, as its answers say.
    void setRateLimit(const std::string &incarnation, double requestsPerSecond, Instant now);

    /// An answer to a request that was sent at that instant names no limit. Returns whether that ends one: an answer to a request that was
    /// sent before the limit was heard of may be older than the limit.
    bool clearRateLimit(const std::string &incarnation, Instant sentAt);

    /// Requests a second that the target takes from all routers together; none where it names no limit.
    std::optional<double> rateLimit(const std::string &incarnation) const;

    /// Nothing goes to the target until then. An earlier time than one that is known changes nothing.
    void suspendUntil(const std::string &incarnation, Instant until);

    /// When the first of the service's targets takes something new; none where one does already, or none of them ever will.
    std::optional<Instant> nextResumption(std::string_view service, Instant now) const;

    /// The target has said that it leaves, or another process answers at its address. Final for this life of it, whatever the list shows.
    void markLeaving(const std::string &incarnation);

    /// True while no target is known at all.
    bool empty() const
    {
        return m_targets.empty();
    }

    /// True while the target is known, leaving and doubted ones included.
    bool isKnown(const std::string &incarnation) const
    {
        return m_targets.contains(incarnation);
    }

    /// Why the target takes no new work; none when it does, and for a target that is not known.
    std::optional<OutOfServiceReason> outOfServiceReason(const std::string &incarnation) const;

    /// True when the end of the target is expected: it is withdrawn, or the list does not show it any more. Requests that it
    /// cuts when it goes did not bring it down.
    bool expectedToEnd(const std::string &incarnation) const
    {
        const auto found = m_targets.find(incarnation);
        return found == m_targets.end() || found->second.leaving() || found->second.evacuated;
    }

    /// True when the target of that name has started again since this life of it.
    bool hasRestarted(const std::string &name, const std::string &incarnation) const
    {
        const auto newest = m_currentIncarnation.find(name);
        return newest != m_currentIncarnation.end() && newest->second != incarnation;
    }

private:
    /// A target in the order in which a service's targets are looked at.
    struct PoolEntry {
        /// Of its incarnation's name, so that no name is hashed for a request.
        std::uint64_t hash = 0;
        const TargetState *target = nullptr;
    };

    /// The targets of a service, those of the own failure domain first.
    struct Pool {
        std::vector<PoolEntry> entries;
        std::size_t localCount = 0;
    };

    struct RankedTarget {
        const TargetState *target = nullptr;
        Tokens uncachedTokens = 0;
        double score = 0;
    };

    std::map<std::string, TargetState>::iterator findByName(const std::string &name);
    void eraseTarget(std::map<std::string, TargetState>::iterator target);
    const Pool &pool(std::string_view service) const;
    std::vector<const TargetState *>
    sampleTargets(const Pool &pool, const PlacementRequest &request, std::span<const TargetState *const> preferredTargets) const;
    std::vector<RankedTarget> rankTargets(const PlacementRequest &request, bool backedOff, Instant now) const;
    std::vector<const TargetState *> preferredTargets(const Pool &pool, std::span<const PromptPart> prompt) const;
    bool listUnreliable(Instant now) const;

    Options m_options;
    /// By incarnation.
    std::map<std::string, TargetState> m_targets;
    /// What targets said that the list does not show any more, by incarnation.
    absl::flat_hash_map<std::string, TargetDirectives> m_retainedDirectives;
    /// The newest life under each name.
    absl::flat_hash_map<std::string, std::string> m_currentIncarnation;
    /// By service; made anew when the list has changed.
    mutable std::map<std::string, Pool, std::less<>> m_pools;
    mutable bool m_poolsValid = false;
    std::set<std::string> m_evacuated;
    bool m_storeReachable = true;
    std::optional<Instant> m_storeReachableSince;
};

}
