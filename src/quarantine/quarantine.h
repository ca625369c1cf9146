#pragma once

#include "clock/instant.h"
#include "quarantine/requestfingerprint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bamboohold {

/// Which requests crash the targets that run them, by what was under way each time a target crashed, and for how long they are held back.
///
/// Pure, and the same in every router: it is told of each crash that any router saw. A request that was under way when one target crashed
/// may have been there by chance; so may one that was there twice, since callers try again. One that was there at several crashes in a row
/// and was never answered in between is taken for their cause. A whole answer acquits it: a request that crashes targets gets none.
class Quarantine
{
public:
    /// No request is held back for longer at a time, and none is remembered for longer after its time.
    static constexpr Duration s_longestTerm = std::chrono::hours(24);

    struct Options {
        /// Crashes in a row after which a request is held back.
        std::size_t crashes = 3;
        /// How long it is held back at first, and again once it has crashed another target after that. The first term is short because
        /// chance can bring a request here: where many targets crash of something else, a caller that tries again and again may be cut
        /// three times. It is served then; a request that is the cause costs one target more.
        Duration firstTerm = std::chrono::minutes(10);
        Duration laterTerm = s_longestTerm;
        /// A crash is remembered for this long.
        Duration memory = std::chrono::hours(1);
        /// Fingerprints that were under way at crashes; beyond, the ones longest past are forgotten. 96 requests a target and 40 crashes
        /// within the memory fill it, with some 1 MB.
        std::size_t mostSuspects = 8192;
        /// Fingerprints that are held back, or were a while ago. Rows in the store, so that one read brings them all.
        std::size_t mostEntries = 256;
    };

    /// A request that is held back, or was.
    struct Entry {
        /// Afterwards one copy may show whether it still crashes targets.
        Instant until{};
        /// Times that it was put here.
        unsigned terms = 0;
        /// The targets that crashed under it.
        std::vector<std::uint64_t> targets;
        Instant since{};
        /// The store has it.
        bool stored = false;
    };

    using Entries = std::map<RequestFingerprint, Entry>;

    /// Milliseconds that a peer or the store gave, as a duration; a spoilt number must not hold a request back for years.
    static Duration boundedTerm(std::int64_t milliseconds);

    Quarantine();
    explicit Quarantine(Options options);

    /// A target crashed, named by a hash of its incarnation, with these under way among others. Returns those that are held back from now
    /// on because of it.
    std::vector<RequestFingerprint> crashed(std::uint64_t target, std::span<const RequestFingerprint> underWay, Instant now);

    /// Takes all back that speaks against a request: it was answered whole, or a peer knows that it was. True when there was anything.
    bool acquit(const RequestFingerprint &fingerprint);

    /// A peer or the store holds a request back until then. True when that is new.
    bool learn(const RequestFingerprint &fingerprint, Instant until, unsigned terms, Instant now);

    /// True when something may speak against a request of this address: only then need its fingerprint be made.
    bool mayKnow(std::uint64_t addressHash) const;

    /// How much longer the request is held back; none when it is not.
    std::optional<Duration> heldFor(const RequestFingerprint &fingerprint, Instant now) const;

    /// Forgets what is long past. Call now and then.
    void expire(Instant now);

    const Entries &entries() const
    {
        return m_entries;
    }

    /// The store has the entry, or has it no longer.
    void setStored(const RequestFingerprint &fingerprint);

    std::size_t suspects() const
    {
        return m_suspects.size();
    }

    const Options &options() const
    {
        return m_options;
    }

private:
    struct Suspect {
        std::vector<std::uint64_t> targets;
        Instant last{};
    };

    bool explained(std::uint64_t target, Instant now) const;
    bool suspected(const Suspect &suspect, Instant now) const;
    void boundSuspects();
    void boundEntries();

    Options m_options;
    std::map<RequestFingerprint, Suspect> m_suspects;
    Entries m_entries;
};

}
