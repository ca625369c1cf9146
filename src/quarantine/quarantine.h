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

/// Identifies requests that crash the targets that process them, and quarantines them.
///
/// Pure decision code without I/O; every router runs it with the same reports, since it is told of each crash that any router detects. A
/// request that was in flight on one crashing target may have been there by coincidence, and so may one that was there twice, since callers
/// retry. A request that was in flight at several crashes, and received no complete response in between, is quarantined as their most
/// likely cause. A complete response acquits a request, because a request that crashes its targets never receives one.
///
/// If all targets crash within a second, every request in flight is quarantined together with the cause. Therefore one copy of each
/// quarantined request is soon let through as a trial: a harmless request receives a response and is acquitted, while the cause crashes one
/// more target and stays quarantined.
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
        /// A crash is remembered for this long.
        Duration crashRetention = std::chrono::hours(1);
        /// Maximum number of fingerprints that were in flight at crashes. When it is exceeded, the oldest ones are forgotten. It is reached
        /// with 96 requests per target and 40 crashes within the retention time, and then takes about 1 MB.
        std::size_t maxSuspects = 8192;
        /// Maximum number of quarantined fingerprints, which is also the number of rows in the store. One read returns all of them.
        std::size_t maxEntries = 256;
    };

    /// A quarantined request.
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
    };

    using Entries = std::map<RequestFingerprint, Entry>;

    /// Converts milliseconds received from a peer or the store to a duration of at most a day in either direction, so that a corrupt number
    /// cannot quarantine a request for years.
    static Duration clampedDuration(std::int64_t milliseconds);

    Quarantine();
    explicit Quarantine(Options options);

    /// Records that a target crashed `ago` before `now` with these requests in flight; `target` is the hash of the target's incarnation.
    /// Returns the requests that are quarantined, or quarantined for longer, because of this crash.
    std::vector<RequestFingerprint>
    recordCrash(std::uint64_t target, std::span<const RequestFingerprint> inFlight, Instant now, Duration ago = Duration::zero());

    /// Records that this router delivered a complete response to the request, even if the request is not suspected: reports of crashes
    /// before the response may still arrive. Returns true if the request was suspected or quarantined; the peers must then be told.
    bool recordAnswer(const RequestFingerprint &fingerprint, Instant at);

    /// Records a peer's announcement that it delivered a complete response to the request. Returns true if the request was suspected or
    /// quarantined.
    bool recordPeerAnswer(const RequestFingerprint &fingerprint, Instant at);

    /// Returns the time of the last complete response to the request if that was after `crash`, else nullopt.
    std::optional<Instant> answeredSince(const RequestFingerprint &fingerprint, Instant crash) const;

    /// Returns the requests that received no response since `crash`, as far as this router knows. The crash counts against these.
    std::vector<RequestFingerprint> unansweredSince(std::span<const RequestFingerprint> inFlight, Instant crash) const;

    /// Returns a response that must be announced to the peers because they count that crash against the request; see AnswerMemory.
    std::optional<Instant> takeUnannouncedAnswer(const RequestFingerprint &fingerprint, Instant crash)
    {
        return m_answers.takeUnannounced(fingerprint, crash);
    }

    /// Clears the request of all suspicion. Returns true if it was suspected or quarantined.
    bool acquit(const RequestFingerprint &fingerprint);

    /// The state of a quarantined request that routers exchange and store; see Entry.
    struct EntryState {
        Instant nextTrial{};
        unsigned quarantineLevel = 1;
        unsigned trials = 0;
        unsigned answers = 0;
    };

    /// Merges what a peer or the store knows of a quarantined request. Returns true if the request was not quarantined here yet, or is now
    /// quarantined for longer.
    bool mergeEntry(const RequestFingerprint &fingerprint, const EntryState &state, Instant now);

    /// Returns true if a trial of the request may begin. Returns false for a request that is not quarantined, and while another request is
    /// on trial: on the same target, the cause would take the other request down with it.
    bool mayBeginTrial(const RequestFingerprint &fingerprint, Instant now) const;

    /// Records that a copy of the request is let through as a trial.
    void beginTrial(const RequestFingerprint &fingerprint, Instant now);

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

    /// A crash and the requests that it counts against.
    struct KnownCrash {
        /// Hash of the target's incarnation.
        std::uint64_t target = 0;
        std::vector<RequestFingerprint> inFlight;
        /// Time of the last crash at which any of these requests was in flight.
        Instant at{};
    };

    /// Returns the crashes that count against requests which are not quarantined. A router that has just started asks for them.
    std::vector<KnownCrash> knownCrashes() const;

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
        return m_suspects.size();
    }

    const Options &options() const
    {
        return m_options;
    }

private:
    struct Suspect {
        std::vector<std::uint64_t> crashedTargets;
        Instant last{};
    };

    bool isExplained(std::uint64_t target, Instant now) const;
    bool isLikelyCause(const Suspect &suspect, Instant now) const;
    unsigned extraTrials(const Entry &entry) const;
    Duration trialInterval(const Entry &entry) const;
    void endTrial(const RequestFingerprint &fingerprint);
    void limitSuspects();
    void limitEntries();

    Options m_options;
    std::map<RequestFingerprint, Suspect> m_suspects;
    Entries m_entries;
    AnswerMemory m_answers;
    /// The request that is on trial on any router, and the time from which on that trial is taken to have no result.
    std::optional<RequestFingerprint> m_requestOnTrial;
    Instant m_trialEnds{};
};

}
