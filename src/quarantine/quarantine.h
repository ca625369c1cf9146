#pragma once

#include "clock/instant.h"
#include "quarantine/answermemory.h"
#include "quarantine/partverdicts.h"
#include "quarantine/requestfingerprint.h"
#include "quarantine/suspects.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bamboohold {

/// Identifies requests, and parts of prompts, that crash the targets that process them, and quarantines them.
///
/// Pure decision code without I/O; every router runs it with the same reports, since it is told of each crash that any router detects. A
/// request that was in flight on one crashing target may have been there by coincidence, and so may one that was there twice, since callers
/// retry. A request that was in flight at several crashes, and received no complete response in between, is quarantined as their most
/// likely cause. A complete response acquits a request, because a request that crashes its targets never receives one.
///
/// If all targets crash within a second, every request in flight is quarantined together with the cause. Therefore one copy of each
/// quarantined request is soon let through as a trial: a harmless request receives a response and is acquitted, while the cause crashes one
/// more target and stays quarantined.
///
/// Requests that share a part of their prompt may crash targets although no two of them are alike. Parts are therefore suspected,
/// quarantined and tried like requests, with three differences. When to decide on which part is up to PartVerdicts. An answer clears a part
/// only of the crashes before it began, since the part may crash targets only since then. A part gets few trials in all, because requests
/// with it may keep arriving for ever.
class Quarantine
{
public:
    /// Longest time until the next trial. A quarantined request is forgotten if no copy of it arrives for this long after that.
    static constexpr Duration s_maxTrialInterval = std::chrono::hours(24);
    /// A trial that has no result after this time will not get one: its caller disconnected or its response was lost.
    static constexpr Duration s_trialTimeout = std::chrono::seconds(3);

    struct Options {
        /// Number of crashes without a response in between after which a request is quarantined.
        std::size_t crashThreshold = 3;
        /// Time until the first trial, by which all reports of the crashes have arrived. Each request waits up to two seconds longer,
        /// depending on its fingerprint.
        Duration firstTrialDelay = std::chrono::seconds(1);
        /// Maximum number of trials in quick succession while none has a result. It is small because each trial may crash a target.
        unsigned maxEarlyTrials = 2;
        /// Maximum number of additional trials for a request that received responses recently, one for each response. Such a request was
        /// most likely in flight by coincidence, even if the target of its trial crashes.
        unsigned maxExtraTrials = 3;
        /// Time from a trial that crashed a target until one of these additional trials.
        Duration extraTrialDelay = std::chrono::seconds(1);
        /// Time between later trials, and after the first trial that crashed a target: that crash may have had another cause.
        Duration shortTrialInterval = std::chrono::minutes(10);
        /// Time until the next trial after two or more trials crashed a target.
        Duration longTrialInterval = s_maxTrialInterval;
        PartVerdicts::Options partVerdicts;
        /// Number of trials of a part in quick succession, and the time between them.
        unsigned maxEarlyPartTrials = 2;
        Duration partTrialInterval = std::chrono::seconds(3);
        /// Maximum number of trials of a part while requests with it keep arriving.
        unsigned maxPartTrials = 3;
        /// Time from the quarantine of a part until a request with several suspected parts may be its trial. One that has no other
        /// suspected part is preferred, because its result tells more.
        Duration jointTrialDelay = std::chrono::seconds(3);
        /// The same if one of the other parts may crash targets as well.
        Duration doubtfulTrialDelay = std::chrono::seconds(15);
        /// The suspects. They take about 1 MB with 96 requests per target and 40 crashes within the retention time.
        Suspects::Options suspects;
        /// Maximum number of quarantined fingerprints, which is also the number of rows in the store. One read returns all of them.
        std::size_t maxEntries = 256;
    };

    /// A quarantined request or part.
    struct Entry {
        /// Time from which on a trial copy may be let through.
        Instant nextTrial{};
        /// 1 when the request is first quarantined, and one more for each trial that crashed a target.
        unsigned quarantineLevel = 0;
        /// Hashes of the incarnations of the targets that crashed while the request was in flight.
        std::vector<std::uint64_t> crashedTargets;
        Instant quarantinedSince{};
        /// True if the store has a row for this entry.
        bool stored = false;
        /// Number of recent responses to the request when it was first quarantined.
        unsigned answers = 0;
        /// Number of trials on all routers so far, and the start of the last one while it has no result, as far as this router knows.
        unsigned trials = 0;
        std::optional<Instant> trialBegan;
        /// Of a part: time of the last crash that counted against it at its verdict, and whether a request with other suspected parts was
        /// its trial.
        Instant lastCrash{};
        bool jointTrial = false;
        /// Of a part: when its last trial crashed a target; none if other targets ended at the same time.
        std::optional<Instant> trialCrash;
    };

    using Entries = std::map<RequestFingerprint, Entry>;

    /// Converts milliseconds received from a peer or the store to a duration of at most a day in either direction, so that a corrupt number
    /// cannot quarantine a request for years.
    static Duration clampedDuration(std::int64_t milliseconds);

    Quarantine();
    explicit Quarantine(Options options);

    /// Records that a target crashed `ago` before `now` with these requests in flight; `target` is the hash of the target's incarnation.
    /// The parts of a request's prompt follow the request. Returns the requests that are quarantined, or quarantined for longer, because of
    /// this crash, and parts whose trial crashed a target.
    std::vector<RequestFingerprint>
    recordCrash(std::uint64_t target, std::span<const RequestFingerprint> inFlight, Instant now, Duration ago = Duration::zero());

    /// Returns the parts against which the evidence has become complete since the last call, each with the first crash that counts. The
    /// peers must be told of these crashes again, so that those that have seen answers since then announce them.
    std::vector<Suspects::KnownCrash> takeCompleteEvidence()
    {
        return m_verdicts.takeNewlyComplete(m_suspects);
    }

    /// Returns the time of the next verdict on a part, or nullopt if none is to come.
    std::optional<Instant> nextVerdict(Instant now) const
    {
        return m_verdicts.next(partKnowledge(), now);
    }

    /// Decides on the parts whose verdict is due. Returns those that are quarantined from now on.
    std::vector<RequestFingerprint> decideParts(Instant now);

    /// Records that this router delivered a complete response to the request, even if the request is not suspected: reports of crashes
    /// before the response may still arrive. For a part, `at` is when the answer began. Returns true if the peers must be told: a request
    /// was suspected or quarantined, or a part was quarantined or about to be.
    bool recordAnswer(const RequestFingerprint &fingerprint, Instant at);

    /// Records a peer's announcement that it delivered a complete response to the request. Returns true if the request was suspected or
    /// quarantined, see above.
    bool recordPeerAnswer(const RequestFingerprint &fingerprint, Instant at);

    /// Returns the time of the last complete response to the request if that was after `crash`, else nullopt.
    std::optional<Instant> answeredSince(const RequestFingerprint &fingerprint, Instant crash) const;

    /// Returns the requests that received no response since `crash`, as far as this router knows. The crash counts against these.
    std::vector<RequestFingerprint> unansweredSince(std::span<const RequestFingerprint> inFlight, Instant crash) const;

    /// Returns a response that must be announced to the peers because they count that crash against the request; see AnswerMemory.
    std::optional<Instant> takeUnannouncedAnswer(const RequestFingerprint &fingerprint, Instant crash)
    {
        return answersOf(fingerprint).takeUnannounced(fingerprint, crash);
    }

    /// Clears the request of all suspicion. Returns true if it was suspected or quarantined.
    bool acquit(const RequestFingerprint &fingerprint);

    /// The state of a quarantined request that routers exchange and store; see Entry.
    struct EntryState {
        Instant nextTrial{};
        unsigned quarantineLevel = 1;
        unsigned trials = 0;
        unsigned answers = 0;
        Instant lastCrash{};
        bool jointTrial = false;
        /// False for a row of the store, which does not tell when its last trial began.
        bool trialMayBeUnderWay = true;
        /// The trial begins now, by the word of the router that begins it. Two of them may begin before the routers hear of each other.
        bool trialBegins = false;
    };

    /// Merges what a peer or the store knows of a quarantined request or part. Returns true if it was not quarantined here yet, or is now
    /// quarantined for longer. A part that has been answered since the last crash that counts against it is not quarantined.
    bool mergeEntry(const RequestFingerprint &fingerprint, const EntryState &state, Instant now);

    /// Returns true if a trial of the request may begin. Returns false for a request that is not quarantined, and while another request is
    /// on trial: on the same target, the cause would take the other request down with it.
    bool mayBeginTrial(const RequestFingerprint &fingerprint, Instant now) const;

    /// Returns true if a request with these fingerprints may be let through as a trial of all that is quarantined of it.
    bool mayBeginTrial(std::span<const RequestFingerprint> request, Instant now) const;

    /// Records that a copy of the request is let through as a trial.
    void beginTrial(const RequestFingerprint &fingerprint, Instant now);

    /// Records that a request with these fingerprints is let through as a trial of all that is quarantined of it.
    void beginTrial(std::span<const RequestFingerprint> request, Instant now);

    /// Records that the trial copy reached no target.
    void trialNotRun(const RequestFingerprint &fingerprint, Instant now);

    /// Returns true if a request with this address hash may be suspected or quarantined. Only then does the caller need to compute the
    /// fingerprint, which takes longer.
    bool mayContainAddress(std::uint64_t addressHash) const;

    /// Returns true if the request was in flight at a crash and has received no response since.
    bool isTracked(const RequestFingerprint &fingerprint) const
    {
        return m_entries.contains(fingerprint) || m_suspects.contains(fingerprint);
    }

    /// Returns the time until the next trial of a quarantined request, at least one second, or nullopt if the request is not quarantined.
    std::optional<Duration> timeToNextTrial(const RequestFingerprint &fingerprint, Instant now) const;

    /// Returns how long a request with these fingerprints remains quarantined, or nullopt if nothing of it is. A part that is quarantined
    /// under another service or model, and was not answered under this one recently, is quarantined, too: it may crash these targets as
    /// well. Its trial is due at once.
    std::optional<Duration> timeToNextTrial(std::span<const RequestFingerprint> request, Instant now) const;

    /// Records that a request with these fingerprints was refused. A part that has had all its trials gets none while requests with it
    /// keep arriving.
    void recordRefusal(std::span<const RequestFingerprint> request, Instant now);

    using KnownCrash = Suspects::KnownCrash;

    /// Returns the crashes that count against requests which are not quarantined. A router that has just started asks for them.
    std::vector<KnownCrash> knownCrashes() const
    {
        return m_suspects.knownCrashes();
    }

    /// Removes outdated entries. Call this periodically.
    void expire(Instant now);

    /// All quarantined requests.
    const Entries &entries() const
    {
        return m_entries;
    }

    /// Records that the store has a row for the entry. If that row disappears later, the request is released.
    void setStored(const RequestFingerprint &fingerprint);

    /// Records that the store may lack the row of any entry, because it has returned from an older copy.
    void clearStored();

    /// Returns the number of fingerprints that were in flight at a crash and are not quarantined.
    std::size_t suspects() const
    {
        return m_suspects.all().size();
    }

    const std::map<RequestFingerprint, Suspects::Suspect> &suspectsByFingerprint() const
    {
        return m_suspects.all();
    }

    const Options &options() const
    {
        return m_options;
    }

private:
    using Suspect = Suspects::Suspect;

    AnswerMemory &answersOf(const RequestFingerprint &fingerprint)
    {
        return fingerprint.isPart() ? m_partAnswers : m_answers;
    }
    const AnswerMemory &answersOf(const RequestFingerprint &fingerprint) const
    {
        return fingerprint.isPart() ? m_partAnswers : m_answers;
    }

    bool isExplained(std::uint64_t target, Instant now) const;
    bool isLikelyCause(const Suspect &suspect, Instant now) const;
    PartVerdicts::Knowledge partKnowledge() const;
    void quarantineSuspect(const RequestFingerprint &fingerprint, Instant now);
    /// Returns until when a part without an entry is quarantined because it is under another service or model; nullopt if it is not.
    std::optional<Instant> associatedUntil(const RequestFingerprint &fingerprint, Instant now) const;
    void quarantineAssociated(const RequestFingerprint &fingerprint, Instant now);
    bool isTrialUnderWay(Instant now) const
    {
        return m_requestOnTrial && now < m_trialEnds;
    }
    void recordTrialCrash(const RequestFingerprint &fingerprint, Entry &entry, Instant now, Instant crash);
    /// Lets another trial of a part follow soon if the target of the last one ended together with others, which proves nothing. Reports of
    /// these may come later than that of the trial.
    void repeatVoidTrials(Instant now);
    bool clear(const RequestFingerprint &fingerprint, Instant answered);
    /// Returns the time from which on a request with several suspected parts may be the trial of this part.
    Instant jointTrialTime(std::span<const RequestFingerprint> request, const Entry &entry) const;
    std::size_t suspectedParts(std::span<const RequestFingerprint> request) const;
    unsigned extraTrials(const Entry &entry) const;
    Duration trialInterval(const Entry &entry) const;
    Duration partTrialInterval(const Entry &entry) const;
    void endTrial(const RequestFingerprint &fingerprint);
    void limitEntries();

    Options m_options;
    Suspects m_suspects;
    PartVerdicts m_verdicts;
    Entries m_entries;
    /// Answers to requests, and answers to requests with a part, by when they began.
    AnswerMemory m_answers;
    AnswerMemory m_partAnswers;
    /// The request that is on trial on any router, and the time from which on that trial is taken to have no result.
    std::optional<RequestFingerprint> m_requestOnTrial;
    Instant m_trialEnds{};
    /// The latest time that this object was told.
    Instant m_latest{};
};

}
