#pragma once

#include "clock/instant.h"
#include "quarantine/answermemory.h"
#include "quarantine/crashevidence.h"
#include "quarantine/requestfingerprint.h"
#include "quarantine/suspects.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bamboohold {

/// Weighs the crashes that count against parts of prompts, and decides when there is enough evidence to quarantine a part, and which one.
///
/// Pure decision code without I/O. A part that many requests share is in flight at each crash, whichever part is the cause. So a verdict
/// waits for answers that begin after the crash which completes the evidence. Of several parts, those without recent answers are taken for
/// the cause first, and then those that were at the most crashes; they explain these crashes for the others.
class PartVerdicts
{
public:
    struct Options {
        /// Number of crashes after which the evidence against a part is complete.
        std::size_t crashThreshold = 3;
        /// Time from the crash that completes the evidence until the verdict. Answers that begin meanwhile clear the part.
        Duration delay = std::chrono::milliseconds(800);
        /// Additional delay for a part that was in recent answers, so that another part may explain the crashes first.
        Duration answeredPartDelay = std::chrono::milliseconds(500);
        /// Shortest time from when this router knows the evidence until the verdict. Its peers tell it of answers meanwhile.
        Duration peerAnswerTime = std::chrono::milliseconds(300);
        /// A router that has not seen answers for this long does not know which parts have recent ones, and takes all for such.
        Duration answerMemoryNeeded = std::chrono::seconds(10);
        /// Delay of this router's verdicts, different for each router, so that most routers learn of them from a peer.
        Duration stagger = Duration::zero();
    };

    /// What the verdicts depend on besides the crashes.
    struct Knowledge {
        const Suspects &suspects;
        /// Answers to requests with a part, by when they began.
        const AnswerMemory &answers;
        /// Returns true if a quarantined part was in flight when this target crashed.
        std::function<bool(std::uint64_t target)> isExplained;
    };

    explicit PartVerdicts(Options options);

    /// Records that a target crashed, whatever it had in flight.
    void recordCrash(const SeenCrash &crash)
    {
        m_crashes.recordCrash(crash);
    }

    /// Returns true if several targets ended together at this time.
    bool severalAtOnce(Instant at) const
    {
        return m_crashes.severalAtOnce(at);
    }

    /// Records that this router answered a request with a part at this time, whichever part it was.
    void recordAnswer(Instant at)
    {
        m_knowsAnswersSince = m_knowsAnswersSince.value_or(at);
    }

    /// Weighs the crashes that count against a part anew. Call when there are more of them, or a crash is no longer explained.
    void update(const RequestFingerprint &part, const Knowledge &knowledge, Instant now);

    /// Forgets the evidence against a part, because some of it is gone or the part is quarantined.
    void forget(const RequestFingerprint &part)
    {
        m_complete.erase(part);
    }

    /// Returns true if the evidence against the part is complete.
    bool isComplete(const RequestFingerprint &part) const
    {
        return m_complete.contains(part);
    }

    /// Returns the parts against which the evidence has become complete since the last call, each with the first crash that counts.
    std::vector<Suspects::KnownCrash> takeNewlyComplete(const Suspects &suspects);

    /// Returns the time of the next verdict, or nullopt if none is to come.
    std::optional<Instant> next(const Knowledge &knowledge, Instant now) const;

    /// Returns the parts to quarantine next, none if no verdict is due. They must be quarantined before the next call, since they explain
    /// crashes for the others.
    std::vector<RequestFingerprint> likeliest(const Knowledge &knowledge, Instant now) const;

    /// Removes outdated crashes and parts whose crashes are explained now. Call this periodically and after verdicts.
    void expire(const Knowledge &knowledge, Instant now);

private:
    using Suspect = Suspects::Suspect;

    /// When the evidence against a part became complete, by the crashes, and when this router knew of it.
    struct CompleteEvidence {
        Instant completed{};
        Instant known{};
    };

    static std::vector<SeenCrash> unexplainedCrashes(const Suspect &suspect, const Knowledge &knowledge);
    /// Returns the time of the crash that completes the evidence, or nullopt while it is not complete.
    std::optional<Instant> completedAt(const Suspect &suspect, const Knowledge &knowledge) const;
    std::optional<Instant> verdictTime(const RequestFingerprint &part, const Knowledge &knowledge, Instant now) const;
    /// Returns true if a request with the part was answered recently, as far as this router knows.
    bool recentlyAnswered(const RequestFingerprint &part, const Knowledge &knowledge, Instant now) const;
    std::vector<RequestFingerprint> likeliestOf(bool answered, const Knowledge &knowledge, Instant now) const;

    Options m_options;
    CrashEvidence m_crashes;
    /// The parts against which the evidence is complete, and those of them that were not returned yet.
    std::map<RequestFingerprint, CompleteEvidence> m_complete;
    std::set<RequestFingerprint> m_newlyComplete;
    /// When this router first answered a request with a part.
    std::optional<Instant> m_knowsAnswersSince;
};

}
