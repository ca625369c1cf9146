#pragma once

#include "clock/instant.h"
#include "routing/loadbook.h"

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

/// A part of a prompt that several requests may share. The engine skips a part that it has cached, if it has all parts before it too.
struct PromptPart {
    std::uint64_t id = 0;
    Tokens tokens = 0;
};

/// A target as the platform's list shows it.
struct TargetListing {
    /// One life of a process; its address may later belong to another.
    std::string incarnation;
    std::string service;
    std::string address;
    std::string failureDomain;
    bool leaving = false;
    Duration warmup{};
    /// Where a relay to the store listens beside it, if one does; empty when none can.
    std::string relay;
    /// Requests that it works on at one time; 0 when that is not known.
    std::uint32_t slots = 0;
    /// The name that a process keeps when it starts again; empty when each life has a name of its own.
    std::string identity;
    /// What the process is called in the list, and by whoever sends to it.
    const std::string &name() const
    {
        return identity.empty() ? incarnation : identity;
    }
};

/// What a request needs of a target.
struct PlacementWish {
    std::string_view service;
    /// Parts of the prompt in order; the last one is the request's own.
    std::span<const PromptPart> prompt;
    /// Incarnations that were tried already.
    std::span<const std::string> except;
    /// Where given, only these come into question.
    std::span<const std::string> among;
    /// Only targets that take a request without an admission come into question.
    bool withoutAdmission = false;
    /// Decides between targets that are equally good, and which ones of many are looked at. Different for each request: routers with equal
    /// views that all took the first of equals would send much to one target and leave others idle.
    std::uint64_t draw = 0;
};

/// Why a target takes no new work, although the list shows it.
enum class Withdrawal {
    /// Its record cannot be used.
    Unusable,
    /// It has said that it leaves; this life of it does not come back.
    Leaving,
    /// Its failure domain is evacuated, until the order is taken back.
    Evacuated,
};

/// Where a request goes.
struct Placement {
    std::string incarnation;
    /// The name that the process at the address must have to run the request.
    std::string name;
    std::string address;
    /// Prompt tokens that the target probably has to read.
    Tokens uncached = 0;
    /// The target is cold, or may be: it takes few requests a second from all routers together.
    bool cold = false;
    /// Requests a second that the target takes from all routers together; none where it names no limit.
    std::optional<double> limit;
    /// An admission ends then.
    std::optional<Instant> sendBefore;
};

/// How an attempt at a target ended, as far as it tells something about the target.
enum class TargetSign {
    /// Answered in good order.
    Sound,
    /// Declined without running the request.
    Declined,
    /// Answered with a failure of its own.
    Failing,
    /// Could not be connected to, went silent, or broke off.
    Broken,
    /// Says nothing about the target: the caller left, or time ran out elsewhere.
    Neutral,
};

/// All targets that a router may send to, and its choice among them.
///
/// Pure. Targets come from the platform's list, which lags: a target that fails is left out sooner, one that the list lost while the store
/// was in trouble stays for a grace time. A target's load is what this router sent there itself, and what the relay beside the target said
/// a moment ago that others have there: a few candidates are asked for it before one of them is chosen. What is not known counts as
/// nothing, so that without relays this is the least of own dispatches.
class TargetBoard
{
public:
    struct Options {
        std::string failureDomain;
        /// A target that could not be reached is tried again after this, then after twice as long, and so on.
        Duration firstPause = std::chrono::milliseconds(400);
        /// The longest of these pauses: a target that comes back should not wait longer for work.
        Duration longestPause = std::chrono::seconds(3);
        /// After this many failing answers in a row a target is paused like a broken one; single ones are the requests' own.
        std::uint32_t failingLimit = 3;
        /// After it declined, a target is left alone for this long.
        Duration declinePause = std::chrono::milliseconds(150);
        /// An entry that vanished while the store was in trouble is believed gone only this long after its return: targets that live write
        /// theirs again within about two seconds.
        Duration listGrace = std::chrono::milliseconds(2300);
        /// A cached part is reckoned with for this long after its last use; the engines' memory turns over more slowly than that.
        Duration cacheMemory = std::chrono::seconds(20);
        /// Prompt tokens that an engine reads in a millisecond.
        double prefillTokensPerMs = 38.4;
        /// A token that has to be read counts this many times its own time: it also holds up whoever comes to that target next, and pushes
        /// something else out of its memory. Routers that know each other's loads leave busy favourites too easily otherwise.
        double rereadWeight = 5;
        /// Milliseconds that one more running request adds to another's first token.
        double msPerOutstanding = 4;
        /// The same for one that another router has there: of these all are known, and each makes an engine's step only a little longer,
        /// where one of few routers' own stands for those that it does not see.
        double msPerKnown = 1;
        /// And one that has to wait for a slot: a stream of some hundred tokens keeps one of 32 slots for a second.
        double msPerQueued = 40;
        /// What others have at a target is believed for this long; a request is there for about as long.
        Duration loadMemory = std::chrono::milliseconds(700);
        /// A target whose relay used to answer and now does not is most likely without power, or cut off from here: counted against it for
        /// `loadMemory`.
        double msSilentRelay = 200;
        /// A request that waits longer than this for its first byte speaks against its target, by as much as it waits longer. A target that
        /// has gone silent says nothing else.
        Duration patience = std::chrono::milliseconds(400);
        /// Whether requests with the same part of a prompt prefer one target, and whether targets that fail rest.
        bool favourites = true;
        bool ejects = true;
        /// Milliseconds counted against a target in another failure domain: the way there and back, and traffic that is paid for.
        double msOtherDomain = 4;
        /// Milliseconds counted against a target that says that it is cold.
        double msCold = 60;
        /// Milliseconds counted against a target that limits what it takes: an admission costs a round trip, and it is in need.
        double msLimited = 60;
        /// A target that broke off, or whose failure domain is taken back, may have become cold before its record says so: its next
        /// record comes within about a second, and takes some time to arrive.
        Duration coldSuspicion = std::chrono::milliseconds(2500);
    };

    explicit TargetBoard(Options options);

    /// Takes over the whole list. `unusable` names the entries that are there and name no target to use.
    void setAll(std::vector<TargetListing> listings, Instant now, std::span<const std::string> unusable = {});

    /// The targets of these failure domains, and of no others, take nothing new. Requests under way there go on.
    void setEvacuated(std::set<std::string> domains, Instant now);

    /// An entry was added or changed. A new life under a name that is known takes the old one's place and inherits nothing: what the old
    /// one had cached, was ejected for, had in progress or said of leaving is not the new one's.
    void listed(TargetListing listing, Instant now);

    /// The entry of that name vanished.
    void unlisted(const std::string &name, Instant now);

    /// The entry of that name has become one that cannot be used. The target gets no new work until a record can be used again; what it
    /// works on goes on, since the record says nothing of that.
    void unusable(const std::string &name);

    /// Whether the store answers. While it does not, and for the grace time afterwards, vanished entries are doubted.
    void storeReachable(bool reachable, Instant now);

    /// Removes entries whose grace time has passed. Call now and then.
    void expire(Instant now);

    /// The targets that come into question for a request, best first as far as this router knows, at most this many. None where one of
    /// them is as good as chosen.
    std::vector<std::string> candidates(const PlacementWish &wish, std::size_t most, Instant now) const;

    /// Chooses a target; none when no usable one is left.
    std::optional<Placement> choose(const PlacementWish &wish, Instant now) const;

    /// What this router has at the target, and the relay there; none when it is not known, or has none.
    struct OwnLoad {
        std::string relay;
        TargetLoad load;
    };
    std::optional<OwnLoad> ownLoad(const std::string &incarnation) const;

    /// Targets at which this router has anything under way.
    std::vector<std::string> inUse() const;

    /// The relay beside the target said what all other routers have there.
    void heard(const std::string &incarnation, const TargetLoad &others, Instant now);

    /// The relay beside the target used to answer, and did not.
    void relaySilent(const std::string &incarnation, Instant now);

    /// A request went to the target.
    void sent(const std::string &incarnation, std::span<const PromptPart> prompt, Tokens uncached, Instant now);

    /// The target produced its first byte for the request that was sent at that instant: its prompt has been read.
    void begun(const std::string &incarnation, Tokens uncached, Instant sentAt);

    /// An attempt whose answer had begun is over.
    void done(const std::string &incarnation, TargetSign sign, Instant now);

    /// The target takes this many requests a second from all routers together, as its answers say.
    void limited(const std::string &incarnation, double requestsPerSecond, Instant now);

    /// An answer to a request that was sent at that instant names no limit. Returns whether that ends one: an answer to a request that was
    /// sent before the limit was heard of may be older than the limit.
    bool unlimited(const std::string &incarnation, Instant sentAt);

    /// Requests a second that the target takes from all routers together; none where it names no limit.
    std::optional<double> limit(const std::string &incarnation) const;

    /// Nothing goes to the target until then. An earlier time than one that is known changes nothing.
    void closeUntil(const std::string &incarnation, Instant until);

    /// When the first of the service's targets takes something new; none where one does already, or none of them ever will.
    std::optional<Instant> opensAt(std::string_view service, Instant now) const;

    /// The target has said that it leaves, or another process answers at its address. Final for this life of it, whatever the list shows.
    void leaves(const std::string &incarnation);

    /// True while no target is known at all.
    bool empty() const
    {
        return m_targets.empty();
    }

    /// True while the target is known, leaving and doubted ones included.
    bool lists(const std::string &incarnation) const
    {
        return m_targets.contains(incarnation);
    }

    /// Why the target takes no new work; none when it does, and for a target that is not known.
    std::optional<Withdrawal> withdrawal(const std::string &incarnation) const;

    /// True when the end of the target is expected: it is withdrawn, or the list does not show it any more. Requests that it
    /// cuts when it goes did not bring it down.
    bool expectedToEnd(const std::string &incarnation) const
    {
        const auto found = m_targets.find(incarnation);
        return found == m_targets.end() || leaving(found->second) || found->second.evacuated;
    }

    /// True when the target of that name has started again since this life of it.
    bool reborn(const std::string &name, const std::string &incarnation) const
    {
        const auto newest = m_incarnations.find(name);
        return newest != m_incarnations.end() && newest->second != incarnation;
    }

private:
    /// What a target, or who admits requests to it, has said in answers. It holds whatever the list shows, and outlasts a gap in the list.
    struct Word {
        bool leaving = false;
        /// Requests a second that it takes from all routers together, and when that was heard last.
        std::optional<double> limit;
        Instant limitHeardAt{};
        /// Nothing goes there until then.
        Instant closedUntil{};
    };

    struct Target {
        TargetListing listing;
        /// False while its record cannot be used.
        bool usable = true;
        /// True while its failure domain is evacuated.
        bool evacuated = false;
        /// By its last record it is cold until then.
        Instant coldUntil{};
        /// It may have become cold, and its record would say so by then.
        Instant suspectedColdUntil{};
        std::uint32_t outstanding = 0;
        /// Prompt tokens sent and not yet read.
        Tokens unread = 0;
        /// When the requests were sent that have no first byte yet.
        std::multiset<Instant> waiting;
        std::uint32_t failures = 0;
        /// Failing answers without a sound one between.
        std::uint32_t failingInRow = 0;
        std::optional<Instant> pausedUntil;
        /// Set while the list does not show it, but may have lost it by mistake.
        std::optional<Instant> doubtedSince;
        absl::flat_hash_map<std::uint64_t, Instant> cached;
        /// What other routers have there, and since when that is known.
        TargetLoad others;
        std::optional<Instant> heardAt;
        std::optional<Instant> relaySilentAt;
        Word word;
    };

    /// A target in the order in which a service's targets are looked at.
    struct PoolEntry {
        /// Of its incarnation's name, so that no name is hashed for a request.
        std::uint64_t hash = 0;
        const Target *target = nullptr;
    };

    /// The targets of a service, those of the own failure domain first.
    struct Pool {
        std::vector<PoolEntry> entries;
        std::size_t own = 0;
    };

    struct Scored {
        const Target *target = nullptr;
        Tokens uncached = 0;
        double score = 0;
    };

    static bool leaving(const Target &target)
    {
        return target.listing.leaving || target.word.leaving;
    }

    static std::optional<Withdrawal> withdrawalOf(const Target &target);
    static bool takesWork(const Target &target);
    static bool mayBeCold(const Target &target, Instant now);
    std::map<std::string, Target>::iterator named(const std::string &name);
    void forget(std::map<std::string, Target>::iterator target);
    static bool resting(const Target &target, Instant now);
    const Pool &pool(std::string_view service) const;
    std::vector<const Target *> sampled(const Pool &pool, const PlacementWish &wish, std::span<const Target *const> favourites) const;
    std::vector<Scored> ranked(const PlacementWish &wish, bool rested, Instant now) const;
    void pauseBroken(Target &target, Instant now) const;
    Tokens uncachedAt(const Target &target, std::span<const PromptPart> prompt, bool favoured, Instant now) const;
    double score(const Target &target, Tokens uncached, Instant now) const;
    TargetLoad loadAt(const Target &target, Instant now) const;
    std::vector<const Target *> favourites(const Pool &pool, std::span<const PromptPart> prompt) const;
    bool storeTroubled(Instant now) const;

    Options m_options;
    /// By incarnation.
    std::map<std::string, Target> m_targets;
    /// What targets said that the list does not show any more, by incarnation.
    absl::flat_hash_map<std::string, Word> m_lastWords;
    /// The newest life under each name.
    absl::flat_hash_map<std::string, std::string> m_incarnations;
    /// By service; made anew when the list has changed.
    mutable std::map<std::string, Pool, std::less<>> m_pools;
    mutable bool m_poolsValid = false;
    std::set<std::string> m_evacuated;
    bool m_storeReachable = true;
    std::optional<Instant> m_storeBackAt;
};

}
