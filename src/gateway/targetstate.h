#pragma once

#include "gateway/targetlisting.h"
#include "routing/loadaggregator.h"
#include "routing/targetspeed.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace bamboohold {

/// Parameters by which a router chooses among targets.
struct TargetOptions {
    std::string failureDomain;
    /// Back-off after the first connection failure; doubles with each further one.
    Duration initialBackoff = std::chrono::milliseconds(400);
    /// Upper bound of the back-off, so that a recovered target soon gets requests again.
    Duration maxBackoff = std::chrono::seconds(3);
    /// Consecutive error responses that start a back-off. Fewer are attributed to the requests.
    std::uint32_t consecutiveErrorLimit = 3;
    /// Back-off after a target declined a request.
    Duration declineBackoff = std::chrono::milliseconds(150);
    /// An entry that vanished while the store was unreachable is removed only after the store has been back for this long: live targets
    /// rewrite their entries within about two seconds.
    Duration listGracePeriod = std::chrono::milliseconds(2300);
    /// A prompt part is presumed cached for this long after its last use. Entries stay longer than that in the engines' caches.
    Duration cachedPartLifetime = std::chrono::seconds(20);
    /// Whether the speed of each target is learnt. The four times below then apply until enough answers were measured.
    bool learnsSpeeds = true;
    /// Prompt tokens that an engine processes per millisecond.
    double prefillTokensPerMs = 38.4;
    /// Weight of a token that is not cached, in multiples of its processing time. Its processing also delays the next requests at that
    /// target and evicts other parts from its cache. Without the weight, routers that share their loads abandon a busy preferred target
    /// too easily.
    double uncachedTokenWeight = 5;
    /// Milliseconds by which one of this router's own outstanding requests delays the first byte of another.
    double msPerOwnRequest = 4;
    /// The same for a request of another router. All of these are known, and each makes an engine's step only a little longer. An own
    /// request weighs more because it also stands for requests that this router does not see.
    double msPerRemoteRequest = 1;
    /// The same for a request that has to wait for a slot: a stream of some hundred tokens occupies one of 32 slots for a second.
    double msPerQueuedRequest = 40;
    /// How long a report of the other routers' load counts; a request lasts about as long.
    Duration remoteLoadLifetime = std::chrono::milliseconds(700);
    /// Penalty in milliseconds for a target whose relay has stopped answering, since its host is probably down or unreachable from here.
    /// Applies for `remoteLoadLifetime`.
    double msTimedOutRelay = 200;
    /// A request that has waited longer than this for its first byte counts against its target, by the time beyond it. A target that hangs
    /// shows no other sign.
    Duration firstByteAllowance = std::chrono::milliseconds(400);
    /// Whether requests that share a prompt part prefer the same target.
    bool prefixAffinity = true;
    /// Whether targets with connection failures or consecutive errors are backed off.
    bool outlierEjection = true;
    /// Penalty in milliseconds for a target in another failure domain: the round trip, and traffic between domains that costs money.
    double msOtherDomain = 4;
    /// Penalty in milliseconds for a target that reports that it is cold.
    double msCold = 60;
    /// Penalty in milliseconds for a target with a rate limit: an admission costs a round trip, and the target is under pressure.
    double msLimited = 60;
    /// A target that failed, or whose failure domain is in service again, is presumed cold for this long. It may have become cold before
    /// its record says so: the next record is written within about a second and takes some time to arrive.
    Duration presumedColdPeriod = std::chrono::milliseconds(2500);
};

/// The times that apply before any are learnt.
SpeedFigures priorSpeedFigures(const TargetOptions &options);

/// Instructions that a target, or the process that admits requests to it, has given in answers. They take precedence over the list and are
/// kept while the list does not show the target.
struct TargetDirectives {
    bool leaving = false;
    /// Requests per second that the target accepts from all routers together, and when it last reported that.
    std::optional<double> rateLimit;
    Instant rateLimitReportedAt{};
    /// No request is sent to the target before this time.
    Instant suspendedUntil{};
};

/// What a router knows about one incarnation of a target. Pure: events and `now` in.
struct TargetState {
    TargetListing listing;
    /// False while its record is invalid.
    bool usable = true;
    /// True while its failure domain is evacuated.
    bool evacuated = false;
    /// The target is cold until then, according to its last record.
    Instant coldUntil{};
    /// The target may have become cold; by then its record would say so.
    Instant presumedColdUntil{};
    /// This router's requests that have not ended.
    std::uint32_t outstanding = 0;
    /// Prompt tokens that this router has sent and the target has not processed yet.
    Tokens unread = 0;
    /// Send times of the requests that have not received a first byte.
    std::multiset<Instant> awaitingFirstByte;
    /// Back-offs for failures since the last success.
    std::uint32_t consecutiveBackoffs = 0;
    /// Error responses since the last success.
    std::uint32_t consecutiveErrors = 0;
    std::optional<Instant> backoffUntil;
    /// When an attempt last failed because the target could not be reached or did not answer.
    std::optional<Instant> unreachableAt;
    /// The value of `presumedColdUntil` before the latest back-off.
    Instant presumedColdBeforeBackoff{};
    /// The records of this incarnation state two versions, so neither is relied on.
    bool versionContradictory = false;
    /// Set while the entry is missing from a list that may be incomplete.
    std::optional<Instant> missingSince;
    /// When this router last sent each prompt part to the target, by the part's id.
    absl::flat_hash_map<std::uint64_t, Instant> cachedParts;
    /// What the other routers have outstanding there, and when that was reported.
    TargetLoad remoteLoad;
    std::optional<Instant> remoteLoadAt;
    std::optional<Instant> relayTimedOutAt;
    TargetDirectives directives;
    /// How fast this incarnation is, and the times that follow from it; empty while nothing was learnt for its service.
    TargetSpeed speed;
    std::optional<SpeedFigures> speedFigures;

    /// True when this incarnation has announced its shutdown, in its record or in an answer.
    bool leaving() const
    {
        return listing.leaving || directives.leaving;
    }

    /// The version of the target's software; empty when it is not known.
    std::string_view version() const
    {
        return versionContradictory ? std::string_view() : std::string_view(listing.version);
    }

    /// Why the target accepts no new requests; none when it accepts them.
    std::optional<OutOfServiceReason> outOfServiceReason() const;

    bool inService() const
    {
        return !outOfServiceReason();
    }

    /// True when the target is cold by its record, or presumed to be.
    bool mayBeCold(Instant now) const;

    /// Prompt tokens that the target probably has to process. The shared parts are presumed cached at the preferred target, since other
    /// routers send them there as well.
    Tokens uncachedTokens(const TargetOptions &options, std::span<const PromptPart> prompt, bool preferred, Instant now) const;

    /// Prompt tokens that the target processes per millisecond.
    double prefillRate(const TargetOptions &options) const;

    /// The load of all routers together, as far as it is known.
    TargetLoad totalLoad(const TargetOptions &options, Instant now) const;

    /// Estimated milliseconds to the first byte of a request with this many uncached tokens, penalties included; lower is better.
    double score(const TargetOptions &options, Tokens uncachedTokens, Instant now) const;

    /// True while the target gets no requests because it failed or declined, except a single probe after a failure.
    bool inBackoff(Instant now) const;

    /// A request was sent to the target.
    void requestSent(const TargetOptions &options, std::span<const PromptPart> prompt, Tokens uncachedTokens, Instant now);

    /// The first byte of the answer to the request that was sent at `sentAt` has arrived.
    void firstByteReceived(Tokens uncachedTokens, Instant sentAt);

    /// An attempt has ended, after firstByteReceived() was called for it.
    void attemptEnded(const TargetOptions &options, HealthSignal signal, Instant now);

    /// Ends the latest back-off, because the failure that started it was not the target's.
    void undoBackoff();

private:
    void startBackoff(const TargetOptions &options, Instant now);
};

}
