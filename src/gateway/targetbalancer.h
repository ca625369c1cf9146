#pragma once

#include "clock/instant.h"
#include "gateway/listcontinuity.h"
#include "gateway/targetstate.h"
#include "overload/targetcapacity.h"

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

/// What a request requires of a target.
struct PlacementRequest {
    std::string_view service;
    /// Only targets of this software version are considered; empty: of any.
    std::string_view version;
    /// The parts of the prompt in order; only the last one is never shared with other requests.
    std::span<const PromptPart> prompt;
    /// Incarnations that were tried already.
    std::span<const std::string> excluded;
    /// Where not empty, only these incarnations are considered.
    std::span<const std::string> shortlist;
    /// Leaves out targets that require an admission.
    bool skipAdmissionControlled = false;
    /// Selects the sample of targets that is considered and breaks ties between equal scores. Must differ between requests: if routers with
    /// the same view all took the first of equal targets, one target would be overloaded and the others idle.
    std::uint64_t seed = 0;
    /// Only targets that have this capacity are chosen; none: any target.
    std::optional<CapacityRequirement> capacity;
};

/// The target that was chosen for a request.
struct Placement {
    std::string incarnation;
    /// The name that a process at the address must have to run the request.
    std::string name;
    std::string address;
    /// The version of the target's software; empty when it is not known.
    std::string version;
    /// Prompt tokens that the target probably has to process.
    Tokens uncachedTokens = 0;
    /// Prompt tokens of all routers, as far as they are known, that the target has to process before those of the request.
    Tokens unreadAhead = 0;
    /// The target is cold, or presumed to be: it accepts only few requests per second from all routers together.
    bool cold = false;
    /// Requests per second that the target accepts from all routers together; none where it has no limit.
    std::optional<double> rateLimit;
    /// When the admission expires; none where none was needed.
    std::optional<Instant> sendBefore;
    /// Since when the list lacks the target, and what that means; none for a target that is listed.
    std::optional<Instant> missingSince;
    std::optional<MissingEntry> missingEntry;
};

/// Balances requests over the targets that a router may send to.
///
/// Pure: events and `now` in. The targets come from the platform's list, which lags behind. A target that fails is therefore backed off
/// before its entry vanishes. One whose entry vanished while the store was unreachable is kept for a grace period, unless it is known that
/// it has left, see ListContinuity; while nothing is known it gets requests only if no listed target does. The load of a target is what
/// this router has outstanding there, plus what the relay beside the target last reported for the other routers; the relays of a few
/// candidates are queried before one is chosen. Load that is not known counts as zero, so without relays the choice falls on the target
/// with the least load of this router.
class TargetBalancer
{
public:
    using Options = TargetOptions;

    explicit TargetBalancer(Options options);

    /// Replaces the whole list. `unusableNames` has the names of the entries that are present but invalid, `unchangedNames` those of
    /// entries that are present and change nothing.
    void replaceAll(std::vector<TargetListing> listings,
                    Instant now,
                    std::span<const std::string> unusableNames = {},
                    std::span<const std::string> unchangedNames = {});

    /// Takes the targets of exactly these failure domains out of service. Their outstanding requests continue.
    void setEvacuatedDomains(std::set<std::string> domains, Instant now);

    /// Adds or updates an entry. A new incarnation under a known name replaces the old one and inherits none of its state: not its cached
    /// parts, back-off, outstanding requests or announced shutdown.
    void updateListing(TargetListing listing, Instant now);

    /// Removes the entry of that name, unless its target may live; then it is only marked as missing.
    void removeListing(const std::string &name, Instant now);

    /// Takes the target of that name out of service until its record is valid again. Its outstanding requests continue, since the record
    /// says nothing about them.
    void markUnusable(const std::string &name);

    /// Sets whether the store answers.
    void setStoreReachable(bool reachable, Instant now);

    /// What is known of how the store has served the list.
    ListContinuity &continuity()
    {
        return m_continuity;
    }

    /// Whether there are targets that are kept although the list lacks them.
    bool hasMissing() const;

    /// The store has come back from a copy. Entries that the list lacks are only marked as missing during the grace period; an entry that
    /// is removed after the return is gone at once.
    void setStoreReturned(Instant now);

    /// Removes missing entries whose targets have left, and returns their names. Call periodically, and when more is known of the list.
    std::vector<std::string> removeExpired(Instant now);

    /// The incarnations of the `most` best targets for a request, best first by what this router knows. Targets in back-off are left out.
    std::vector<std::string> candidates(const PlacementRequest &request, std::size_t most, Instant now) const;

    /// Chooses a target; none when no target in service is left.
    std::optional<Placement> choose(const PlacementRequest &request, Instant now) const;

    /// This router's load at a target, and the relay to report it to.
    struct OwnLoad {
        std::string relay;
        TargetLoad load;
    };
    /// This router's load at the target; none when the target is not known or has no relay.
    std::optional<OwnLoad> ownLoad(const std::string &incarnation) const;

    /// Incarnations at which this router has outstanding requests.
    std::vector<std::string> targetsInUse() const;

    /// Sets what all other routers have outstanding at the target, as the relay beside it reported.
    void setRemoteLoad(const std::string &incarnation, const TargetLoad &remoteLoad, Instant now);

    /// The relay beside the target answered before and did not answer in time now.
    void relayTimedOut(const std::string &incarnation, Instant now);

    /// A request was sent to the target.
    void requestSent(const std::string &incarnation, std::span<const PromptPart> prompt, Tokens uncachedTokens, Instant now);

    /// The first byte of the answer to the request that was sent at `sentAt` has arrived, so its prompt has been processed.
    void firstByteReceived(const std::string &incarnation, Tokens uncachedTokens, Instant sentAt);

    /// The first byte of a successful answer has arrived from the target of this placement, to the request that was sent at `sentAt`.
    /// `streamed` tells whether further events follow.
    void measureFirstByte(const Placement &placement, bool streamed, Instant sentAt, Instant now);

    /// A successful answer is complete.
    void measureCompletion(const std::string &incarnation, const ServiceSpeed::Completion &answer, Instant now);

    /// What this router tells others about the speed of the target; none when it has measured nothing in the last seconds.
    std::optional<SpeedReport> speedReport(const std::string &incarnation, Instant now) const;

    /// A report that was not used, and why. `first` is true for the first one about the target.
    struct IgnoredSpeedReport {
        std::string_view reason;
        bool first = false;
    };
    /// Stores what all other routers have measured at the target. Returns why the report is ignored; none when it is used.
    std::optional<IgnoredSpeedReport> setRemoteSpeed(const std::string &incarnation, const SpeedReport &report, Instant now);

    /// Prompt tokens that the target processes per millisecond; 0 when it is not known.
    double prefillRate(const std::string &incarnation) const
    {
        const auto found = m_targets.find(incarnation);
        return found == m_targets.end() ? 0 : found->second.prefillRate(m_options);
    }

    /// A target that has become slow compared with its service, or has recovered.
    struct SpeedChange {
        std::string incarnation;
        bool slow = false;
        /// Speed in percent of the median of the service.
        int percent = 0;
    };
    /// Speed in percent of the median of the service, of each target for which there are answers of the last seconds.
    std::map<std::string, int> speedPercents(Instant now) const;

    /// Lets speeds decay, and moves the reference of each service. Call every few hundred milliseconds.
    std::vector<SpeedChange> refreshSpeeds(Instant now);

    /// An attempt has ended, after firstByteReceived() was called for it.
    void attemptEnded(const std::string &incarnation, HealthSignal signal, Instant now);

    /// Whether the target could not be reached, or did not answer a request, since this time.
    bool unreachableSince(const std::string &incarnation, Instant since) const
    {
        const auto found = m_targets.find(incarnation);
        return found != m_targets.end() && found->second.unreachableAt && *found->second.unreachableAt > since;
    }

    /// Whether the target is in back-off.
    bool inBackoff(const std::string &incarnation, Instant now) const;

    /// Ends the latest back-off of the target, because the failure that started it was not the target's.
    void undoBackoff(const std::string &incarnation);

    /// Sets the requests per second that the target accepts from all routers together, as its answers state.
    void setRateLimit(const std::string &incarnation, double requestsPerSecond, Instant now);

    /// An answer to the request that was sent at `sentAt` states no rate limit. Returns whether that cleared one. A limit that was reported
    /// after `sentAt` stays, since the answer may be older than the limit.
    bool clearRateLimit(const std::string &incarnation, Instant sentAt);

    /// Requests per second that the target accepts from all routers together; none where it has no limit.
    std::optional<double> rateLimit(const std::string &incarnation) const;

    /// Sends the target no requests before `until`. A time before the one that is set has no effect.
    void suspendUntil(const std::string &incarnation, Instant until);

    /// When the first suspended target of the service accepts requests again; none where a target is not suspended, or none is in service.
    /// With a version, only its targets count.
    std::optional<Instant> nextResumption(std::string_view service, Instant now, std::string_view version = {}) const;

    /// Whether any target of the service, or of that version of it, is in service, and whether any states how many requests it processes
    /// concurrently.
    bool hasTargetInService(std::string_view service, std::string_view version = {}) const;
    bool statesSlots(std::string_view service) const;

    /// The software versions that a service had targets of.
    struct SeenVersions {
        /// Those within the period, sorted; an empty one stands for targets whose version is not known.
        std::vector<std::string> versions;
        /// For how long every version is known; none while the list is not followed.
        std::optional<Duration> followedFor;
    };
    /// The versions of the service that the list has had within the period until now.
    SeenVersions seenVersions(std::string_view service, Duration period, Instant now) const;

    /// The versions of each service that the list has now, and since when every change of it was seen.
    std::map<std::string, std::set<std::string>> listedVersions() const;
    std::optional<Instant> followedSince() const
    {
        return m_followedSince;
    }

    /// Others have seen every version of the service since `since`. Each is given with the time at which it was last there.
    void addFormerVersions(const std::string &service, const std::map<std::string, Instant> &versions, Instant since);

    /// The version of the target's software; empty when it is not known.
    std::string_view version(const std::string &incarnation) const
    {
        const auto found = m_targets.find(incarnation);
        return found == m_targets.end() ? std::string_view() : found->second.version();
    }

    /// The addresses of the relays beside the targets of the service, sorted.
    std::vector<std::string> relays(std::string_view service) const;

    /// The target has announced its shutdown, or another process answers at its address. Final for this incarnation, whatever the list
    /// shows.
    void markLeaving(const std::string &incarnation);

    /// True while no target is known at all.
    bool empty() const
    {
        return m_targets.empty();
    }

    /// True while a target of this name is known, even if it is leaving or missing from the list.
    bool hasName(const std::string &name) const
    {
        return m_currentIncarnation.contains(name);
    }

    /// True while the target is known, even if it is leaving or missing from the list.
    bool isKnown(const std::string &incarnation) const
    {
        return m_targets.contains(incarnation);
    }

    /// Why the target accepts no new requests; none when it accepts them, or is not known.
    std::optional<OutOfServiceReason> outOfServiceReason(const std::string &incarnation) const;

    /// True when the target is leaving, evacuated or not known any more. Requests that break off when such a target ends are not suspected
    /// of having crashed it.
    bool expectedToEnd(const std::string &incarnation) const
    {
        const auto found = m_targets.find(incarnation);
        return found == m_targets.end() || found->second.leaving() || found->second.evacuated;
    }

    /// True when the target of that name has a newer incarnation than this one.
    bool hasRestarted(const std::string &name, const std::string &incarnation) const
    {
        const auto newest = m_currentIncarnation.find(name);
        return newest != m_currentIncarnation.end() && newest->second != incarnation;
    }

private:
    /// A target in the pool of its service.
    struct PoolEntry {
        /// Hash of the incarnation, stored so that no name is hashed per request.
        std::uint64_t hash = 0;
        const TargetState *target = nullptr;
    };

    /// The targets of a service, those of the router's own failure domain first.
    struct Pool {
        std::vector<PoolEntry> entries;
        /// Entries in the router's own failure domain.
        std::size_t localCount = 0;
        bool statesSlots = false;
    };

    struct RankedTarget {
        const TargetState *target = nullptr;
        Tokens uncachedTokens = 0;
        double score = 0;
        /// The list lacks the target, and it is not known why.
        bool lastChoice = false;
    };

    /// The current incarnation under the name, or the end of `m_targets`.
    std::map<std::string, TargetState>::iterator findByName(const std::string &name);
    /// Erases the target and keeps its directives.
    void eraseTarget(std::map<std::string, TargetState>::iterator target, Instant now);
    /// The list had a target of this version until now.
    void recordVersion(const TargetListing &listing, Instant now);
    /// Compares the version that a record states with the one that earlier records of the incarnation stated.
    void checkVersion(TargetState &target, TargetListing &listing, Instant now);
    /// Whether a stream of the version may go on at the target.
    bool hasVersion(const TargetState &target, std::string_view version) const;
    /// Erases the target, whose entry is gone from the list, if that means that it has left; otherwise it is only marked as missing.
    void removeTarget(std::map<std::string, TargetState>::iterator target, MissingEntry meaning, Instant now);
    const Pool &pool(std::string_view service, std::string_view version = {}) const;
    /// Adds the target to the pool.
    static void addToPool(Pool &pool, const PoolEntry &entry, bool local);
    /// The preferred targets and a random sample of the others.
    std::vector<const TargetState *>
    sampleTargets(const Pool &pool, const PlacementRequest &request, std::span<const TargetState *const> preferredTargets) const;
    /// Whether the target has the capacity that the request requires.
    bool fits(const RankedTarget &ranked, const PlacementRequest &request, Instant now) const;
    /// Keeps the targets that may take the request; none if no target has the capacity that it requires.
    void keepWithCapacity(std::vector<RankedTarget> &ranked, PlacementRequest request, Instant now) const;
    /// Whether the target was found without that capacity a moment ago.
    bool justFoundFull(const RankedTarget &ranked, const PlacementRequest &request, Instant now) const;
    /// The targets that accept the request, best first: either those in back-off or those not in it. Last choices only if there are no
    /// others.
    std::vector<RankedTarget> rankTargets(const PlacementRequest &request, bool backedOff, Instant now) const;
    /// The targets that requests with the same shared prompt parts prefer, by rendezvous hashing.
    std::vector<const TargetState *> preferredTargets(const Pool &pool, std::span<const PromptPart> prompt) const;
    /// Recalculates the times by which the target is compared, so that no choice has to.
    void updateFigures(TargetState &target, Instant now);

    Options m_options;
    /// By incarnation.
    std::map<std::string, TargetState> m_targets;
    /// Directives of targets that were erased, by incarnation.
    absl::flat_hash_map<std::string, TargetDirectives> m_retainedDirectives;
    /// The newest incarnation under each name.
    absl::flat_hash_map<std::string, std::string> m_currentIncarnation;
    /// The targets of a service, and of one version of it.
    struct ServicePools {
        Pool all;
        std::map<std::string, Pool, std::less<>> byVersion;
    };
    /// By service; rebuilt when the list has changed.
    mutable std::map<std::string, ServicePools, std::less<>> m_pools;
    mutable bool m_poolsValid = false;
    /// By service.
    std::map<std::string, ServiceSpeed, std::less<>> m_serviceSpeeds;
    std::set<std::string> m_evacuated;
    /// By service: the versions of targets that the list has no longer, and when it last had one.
    std::map<std::string, std::map<std::string, Instant>, std::less<>> m_formerVersions;
    /// Since when every change of the list has been seen.
    std::optional<Instant> m_followedSince;
    /// By service: since when every version is known from others, who have seen what this router has missed.
    std::map<std::string, Instant, std::less<>> m_versionsKnownSince;
    ListContinuity m_continuity;
};

}
