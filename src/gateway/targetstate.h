#pragma once

#include "gateway/targetlisting.h"
#include "routing/loadbook.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace bamboohold {

/// What a router goes by when it chooses among targets.
struct TargetOptions {
    std::string failureDomain;
    /// A target that could not be reached is tried again after this, then after twice as long, and so on.
    Duration initialBackoff = std::chrono::milliseconds(400);
    /// The longest of these pauses: a target that comes back should not wait longer for work.
    Duration maxBackoff = std::chrono::seconds(3);
    /// After this many failing answers in a row a target is paused like a broken one; single ones are the requests' own.
    std::uint32_t consecutiveErrorLimit = 3;
    /// After it declined, a target is left alone for this long.
    Duration declineBackoff = std::chrono::milliseconds(150);
    /// An entry that vanished while the store was in trouble is believed gone only this long after its return: targets that live write
    /// theirs again within about two seconds.
    Duration listGracePeriod = std::chrono::milliseconds(2300);
    /// A cached part is reckoned with for this long after its last use; the engines' memory turns over more slowly than that.
    Duration cachedPartLifetime = std::chrono::seconds(20);
    /// Prompt tokens that an engine reads in a millisecond.
    double prefillTokensPerMs = 38.4;
    /// A token that has to be read counts this many times its own time: it also holds up whoever comes to that target next, and pushes
    /// something else out of its memory. Routers that know each other's loads leave busy favourites too easily otherwise.
    double uncachedTokenWeight = 5;
    /// Milliseconds that one more running request adds to another's first token.
    double msPerOwnRequest = 4;
    /// The same for one that another router has there: of these all are known, and each makes an engine's step only a little longer,
    /// where one of few routers' own stands for those that it does not see.
    double msPerRemoteRequest = 1;
    /// And one that has to wait for a slot: a stream of some hundred tokens keeps one of 32 slots for a second.
    double msPerQueuedRequest = 40;
    /// What others have at a target is believed for this long; a request is there for about as long.
    Duration remoteLoadLifetime = std::chrono::milliseconds(700);
    /// A target whose relay used to answer and now does not is most likely without power, or cut off from here: counted against it for
    /// `loadMemory`.
    double msTimedOutRelay = 200;
    /// A request that waits longer than this for its first byte speaks against its target, by as much as it waits longer. A target that
    /// has gone silent says nothing else.
    Duration firstByteAllowance = std::chrono::milliseconds(400);
    /// Whether requests with the same part of a prompt prefer one target, and whether targets that fail rest.
    bool prefixAffinity = true;
    bool outlierEjection = true;
    /// Milliseconds counted against a target in another failure domain: the way there and back, and traffic that is paid for.
    double msOtherDomain = 4;
    /// Milliseconds counted against a target that says that it is cold.
    double msCold = 60;
    /// Milliseconds counted against a target that limits what it takes: an admission costs a round trip, and it is in need.
    double msLimited = 60;
    /// A target that broke off, or whose failure domain is taken back, may have become cold before its record says so: its next
    /// record comes within about a second, and takes some time to arrive.
    Duration presumedColdPeriod = std::chrono::milliseconds(2500);
};

/// What a target, or who admits requests to it, has said in answers. It holds whatever the list shows, and outlasts a gap in the list.
struct TargetDirectives {
    bool leaving = false;
    /// Requests a second that it takes from all routers together, and when that was heard last.
    std::optional<double> rateLimit;
    Instant rateLimitReportedAt{};
    /// Nothing goes there until then.
    Instant suspendedUntil{};
};

/// What a router knows of one life of a target. Pure.
struct TargetState {
    TargetListing listing;
    /// False while its record cannot be used.
    bool usable = true;
    /// True while its failure domain is evacuated.
    bool evacuated = false;
    /// By its last record it is cold until then.
    Instant coldUntil{};
    /// It may have become cold, and its record would say so by then.
    Instant presumedColdUntil{};
    std::uint32_t outstanding = 0;
    /// Prompt tokens sent and not yet read.
    Tokens unread = 0;
    /// When the requests were sent that have no first byte yet.
    std::multiset<Instant> awaitingFirstByte;
    std::uint32_t consecutiveBackoffs = 0;
    /// Failing answers without a sound one between.
    std::uint32_t consecutiveErrors = 0;
    std::optional<Instant> backoffUntil;
    /// Set while the list does not show it, but may have lost it by mistake.
    std::optional<Instant> missingSince;
    absl::flat_hash_map<std::uint64_t, Instant> cachedParts;
    /// What other routers have there, and since when that is known.
    TargetLoad remoteLoad;
    std::optional<Instant> remoteLoadAt;
    std::optional<Instant> relayTimedOutAt;
    TargetDirectives directives;

    /// True when this life of it has said that it leaves, in its record or in an answer.
    bool leaving() const
    {
        return listing.leaving || directives.leaving;
    }

    /// Why it takes no new work; none when it does.
    std::optional<OutOfServiceReason> outOfServiceReason() const;

    bool inService() const
    {
        return !outOfServiceReason();
    }

    bool mayBeCold(Instant now) const;

    /// Prompt tokens that it probably has to read. A favourite has got the shared parts from other routers, most likely.
    Tokens uncachedTokens(const TargetOptions &options, std::span<const PromptPart> prompt, bool preferred, Instant now) const;

    /// What all routers together have there, as far as that is known.
    TargetLoad totalLoad(const TargetOptions &options, Instant now) const;

    /// Milliseconds until a request with so many tokens to read would have its first byte from it, about; the lower, the better.
    double score(const TargetOptions &options, Tokens uncachedTokens, Instant now) const;

    /// True while it is left out because it failed or declined.
    bool inBackoff(Instant now) const;

    /// A request went to it.
    void requestSent(const TargetOptions &options, std::span<const PromptPart> prompt, Tokens uncachedTokens, Instant now);

    /// It produced its first byte for the request that was sent at that instant.
    void firstByteReceived(Tokens uncachedTokens, Instant sentAt);

    /// An attempt whose answer had begun is over.
    void attemptEnded(const TargetOptions &options, HealthSignal signal, Instant now);

private:
    void startBackoff(const TargetOptions &options, Instant now);
};

}
