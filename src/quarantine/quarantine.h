#pragma once

#include "clock/instant.h"
#include "quarantine/answermemory.h"
#include "quarantine/requestfingerprint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bamboohold {

/// Which requests crash the targets that run them, by what was under way each time a target crashed.
///
/// Pure, and the same in every router: it is told of each crash that any router saw. A request that was under way when one target crashed
/// may have been there by chance; so may one that was there twice, since callers try again. One that was there at several crashes in a row
/// and was never answered in between is held back, as their most likely cause. A whole answer acquits it: a request that crashes targets
/// gets none.
///
/// Where all targets crash within a second, whatever is under way everywhere is held back with the cause. So one copy is soon let through
/// on trial: a request that did nothing is answered and acquitted, the cause crashes one target more and is kept.
class Quarantine
{
public:
    /// No request waits longer for its next trial, and none is remembered for longer when nobody sends it any more.
    static constexpr Duration s_longestTerm = std::chrono::hours(24);
    /// A trial is decided by then, or came to nothing: its caller left, or its target lost the answer.
    static constexpr Duration s_trialTime = std::chrono::seconds(3);

    struct Options {
        /// Crashes in a row after which a request is held back.
        std::size_t crashes = 3;
        /// Until the first trial, besides a wait of each request's own of less than two seconds: the reports of the crashes are in by then.
        Duration firstTrial = std::chrono::seconds(1);
        /// Trials in quick succession, as long as none is decided. No more: each may cost a target.
        unsigned earlyTrials = 2;
        /// Further trials of a request that was answered lately, one for each answer: it is most likely there by chance, also when the
        /// target of its trial crashes.
        unsigned mostExtraTrials = 3;
        /// From a trial that crashed a target to such a further one.
        Duration extraTrialPause = std::chrono::seconds(1);
        /// Between later trials, and once a trial has crashed a target: it may have crashed of something else.
        Duration firstTerm = std::chrono::minutes(10);
        /// And once two have.
        Duration laterTerm = s_longestTerm;
        /// A crash is remembered for this long.
        Duration memory = std::chrono::hours(1);
        /// Fingerprints that were under way at crashes; beyond, the ones longest past are forgotten. 96 requests a target and 40 crashes
        /// within the memory fill it, with some 1 MB.
        std::size_t mostSuspects = 8192;
        /// Fingerprints that are held back. Rows in the store, so that one read brings them all.
        std::size_t mostEntries = 256;
    };

    /// A request that is held back.
    struct Entry {
        /// From then on one copy may show whether it still crashes targets.
        Instant nextTrial{};
        /// 1 until a trial has crashed a target, and one more each time that one does.
        unsigned terms = 0;
        /// The targets that crashed under it.
        std::vector<std::uint64_t> targets;
        Instant since{};
        /// The store has it.
        bool stored = false;
        /// Answers to it, lately, when it was first held back.
        unsigned answers = 0;
        /// Trials so far, on any router, and when the last one began, as far as is known here, that is not decided.
        unsigned trials = 0;
        std::optional<Instant> trialAt;
    };

    using Entries = std::map<RequestFingerprint, Entry>;

    /// Milliseconds that a peer or the store gave, as a duration; a spoilt number must not hold a request back for years.
    static Duration boundedTerm(std::int64_t milliseconds);

    Quarantine();
    explicit Quarantine(Options options);

    /// A target crashed `ago` before `now`, named by a hash of its incarnation, with these under way among others. Returns those that are
    /// held back, or held back for longer, from now on because of it.
    std::vector<RequestFingerprint>
    crashed(std::uint64_t target, std::span<const RequestFingerprint> underWay, Instant now, Duration ago = Duration::zero());

    /// A request was answered whole here, whether anything speaks against it or not: reports of crashes before that may still be on their
    /// way. True when anything spoke against it; the peers are to be told then.
    bool answered(const RequestFingerprint &fingerprint, Instant at);

    /// A peer tells all others that it answered a request whole. True when anything spoke against it.
    bool answeredElsewhere(const RequestFingerprint &fingerprint, Instant at);

    /// When the request was answered whole, if that was after `crash`.
    std::optional<Instant> answeredSince(const RequestFingerprint &fingerprint, Instant crash) const;

    /// Those that were not answered since `crash`, as far as is known here: the ones that it speaks against.
    std::vector<RequestFingerprint> unanswered(std::span<const RequestFingerprint> underWay, Instant crash) const;

    /// An answer that the peers are to be told, as they blame the request for that crash; see AnswerMemory.
    std::optional<Instant> takeUntoldAnswer(const RequestFingerprint &fingerprint, Instant crash)
    {
        return m_answers.takeUntold(fingerprint, crash);
    }

    /// Takes all back that speaks against a request. True when there was anything.
    bool acquit(const RequestFingerprint &fingerprint);

    /// What others know of a request that is held back; see Entry.
    struct Standing {
        Instant nextTrial{};
        unsigned terms = 1;
        unsigned trials = 0;
        unsigned answers = 0;
    };

    /// A peer or the store holds a request back. True when that is new, or the request is held back for longer.
    bool learn(const RequestFingerprint &fingerprint, const Standing &standing, Instant now);

    /// Whether a trial of the request may begin. False for one that is not held back, and while another one is on trial: on one target the
    /// cause would take it down with itself.
    bool mayTry(const RequestFingerprint &fingerprint, Instant now) const;

    /// A copy goes through on trial.
    void beginTrial(const RequestFingerprint &fingerprint, Instant now);

    /// The copy on trial reached no target.
    void trialNotRun(const RequestFingerprint &fingerprint, Instant now);

    /// True when something may speak against a request of this address: only then need its fingerprint be made.
    bool mayKnow(std::uint64_t addressHash) const;

    /// True when the request was there at a crash, and not answered since.
    bool knows(const RequestFingerprint &fingerprint) const
    {
        return m_entries.contains(fingerprint) || m_suspects.contains(fingerprint);
    }

    /// How long until the next trial of a request that is held back, a second at least; none when it is not held back.
    std::optional<Duration> heldFor(const RequestFingerprint &fingerprint, Instant now) const;

    /// A crash, and the requests that it speaks against.
    struct KnownCrash {
        /// A hash of the target's incarnation.
        std::uint64_t target = 0;
        std::vector<RequestFingerprint> underWay;
        /// The last crash at which any of them was under way.
        Instant at{};
    };

    /// The crashes that speak against requests which are not held back, for a router that has just started.
    std::vector<KnownCrash> knownCrashes() const;

    /// Forgets what is long past. Call now and then.
    void expire(Instant now);

    /// What is held back.
    const Entries &entries() const
    {
        return m_entries;
    }

    /// The store has the entry: if it has it no longer some day, the request is let pass.
    void setStored(const RequestFingerprint &fingerprint);

    /// Fingerprints that were under way at a crash and are not held back.
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
    unsigned extraTrials(const Entry &entry) const;
    Duration termOf(const Entry &entry) const;
    void trialDecided(const RequestFingerprint &fingerprint);
    void boundSuspects();
    void boundEntries();

    Options m_options;
    std::map<RequestFingerprint, Suspect> m_suspects;
    Entries m_entries;
    AnswerMemory m_answers;
    /// Whose trial is under way somewhere, and until when it counts as undecided.
    std::optional<RequestFingerprint> m_onTrial;
    Instant m_trialEnds{};
};

}
