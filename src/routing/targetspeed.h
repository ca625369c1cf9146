#pragma once

#include "clock/instant.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace bamboohold {

/// How fast a target is, as routers tell each other through the relay beside it.
struct SpeedReport {
    /// Speed relative to the reference of the target's service.
    double ratio = 1;
    /// Answers within the last seconds that the ratio is based on.
    std::uint32_t answers = 0;

    bool operator==(const SpeedReport &) const = default;
};

/// Why a report from another process is ignored; empty when it is valid. The reason is a label of metrics.
std::string_view speedReportFault(const SpeedReport &report);

/// One comparison of the time that a target took with the time that its service's reference would have taken.
struct SpeedSample {
    double expectedMs = 0;
    double measuredMs = 0;
    Instant sentAt{};
    /// The pauses of a stream are a sample of their own, but not an answer of their own.
    bool isAnswer = true;
};

/// The speed of one incarnation of a target, relative to the reference of its service: what this router measures and what the others
/// report. Pure; no history is shared between incarnations.
///
/// Own samples are weighted by their expected time, since a short prompt waits longer for the engine's running batch than for its own
/// processing. Their weight halves every 3 s.
class TargetSpeed
{
public:
    static constexpr double s_minRatio = 0.1;
    static constexpr double s_maxRatio = 4;
    static constexpr Duration s_halfLife = std::chrono::seconds(3);
    /// Without answers for this long, the history is discarded: the target may have changed.
    static constexpr Duration s_retention = std::chrono::seconds(10);
    /// With fewer answers, the ratio is pulled towards the median of the service.
    static constexpr double s_trustedAnswers = 10;

    /// Adds a sample. `median` is the median ratio of the service, which a target without history is expected to have.
    void record(const SpeedSample &sample, double median, Instant now);

    /// Stores the average of all other routers. Counts for s_halfLife.
    void setRemote(const SpeedReport &report, Instant now);

    /// What this router tells others; none without an answer in the last seconds.
    std::optional<SpeedReport> report(Instant now) const;

    /// The ratio by all routers' answers, pulled towards the median while there are few.
    double ratio(double median, Instant now) const;

    /// The ratio by all routers' answers alone, and their number.
    struct Evidence {
        double ratio = 1;
        double answers = 0;
    };
    Evidence evidence(Instant now) const;

    /// Expected and measured milliseconds of this router's samples, decayed to `now`.
    struct OwnTimes {
        double expectedMs = 0;
        double measuredMs = 0;
        double answers = 0;
    };
    OwnTimes ownTimes(Instant now) const;

    /// The reference of the service was multiplied by `factor`.
    void rescale(double factor);

    /// True while neither this router nor others have reported an answer lately.
    bool empty(Instant now) const;

    /// Updates whether the target counts as slow, with hysteresis. Returns the new state when it has changed.
    std::optional<bool> updateSlow(double median, Instant now);

    /// When a report of the others was ignored for the first time; a target is logged once.
    bool markReportIgnored();

private:
    /// Consecutive answers at less than half of the speed that the target had before them.
    struct SlowRun {
        unsigned answers = 0;
        double baseline = 1;
        double expectedMs = 0;
        double measuredMs = 0;
        Instant firstSentAt{};
    };

    /// Applies the decay, so that the sums stand for `now`.
    void decayTo(Instant now);
    void trackSlowRun(const SpeedSample &sample, double measuredMs, double before);

    OwnTimes m_own;
    Instant m_decayedAt{};
    Instant m_lastSampleAt{};
    SlowRun m_run;
    SpeedReport m_remote;
    std::optional<Instant> m_remoteAt;
    bool m_slow = false;
    bool m_reportIgnored = false;
};

/// The times by which a router compares targets.
struct SpeedFigures {
    double prefillTokensPerMs = 0;
    /// The same of the reference of the service.
    double referenceTokensPerMs = 0;
    double msPerOwnRequest = 0;
    double msPerRemoteRequest = 0;
    double msPerQueuedRequest = 0;

    bool operator==(const SpeedFigures &) const = default;
};

/// What a router has learnt about the targets of one service together. Pure.
class ServiceSpeed
{
public:
    /// An answer that has begun.
    struct FirstByte {
        /// Prompt tokens that the target had to process first, those of the request included.
        Tokens tokens = 0;
        /// The first byte of a stream arrives with its first token, that of another answer when the answer is complete.
        bool streamed = false;
        Instant sentAt{};
    };

    /// An answer that is complete.
    struct Completion {
        /// Time from the first event to the last one, and the number of events after the first; 0 when it was not a stream or its pauses
        /// were not those of the target.
        Duration streaming{};
        std::size_t pauses = 0;
        /// Time for which the target kept a slot for the request.
        Duration occupied{};
    };

    /// `prior` has the figures that apply until enough answers were measured.
    explicit ServiceSpeed(const SpeedFigures &prior);

    /// A target has answered. Adds a sample to its speed.
    void recordFirstByte(TargetSpeed &target, const FirstByte &answer, Instant now);
    void recordCompletion(TargetSpeed &target, const Completion &answer, Instant now);

    /// Moves the reference to the speed of the fastest half of these targets of the service, and updates the median.
    void refresh(std::span<TargetSpeed *const> targets, Instant now);

    /// The figures of one target. `slots` is the number of requests that it processes concurrently; 0 when not known.
    SpeedFigures figures(const TargetSpeed &target, std::uint32_t slots, Instant now) const;

    double median() const
    {
        return m_median;
    }

    double referenceTokensPerMs() const
    {
        return m_reference;
    }

private:
    /// A running estimate of the median: single extreme values move it as little as others. Needs no memory of the values.
    struct RunningMedian {
        double value = 0;
        unsigned count = 0;

        void add(double sample);
    };

    /// Time to the first byte that the prompt does not explain.
    RunningMedian &overhead(bool streamed)
    {
        return m_overheadMs[streamed ? 1 : 0];
    }

    SpeedFigures m_prior;
    double m_reference;
    double m_median = 1;
    std::array<RunningMedian, 2> m_overheadMs;
    RunningMedian m_pauseMs;
    double m_occupiedMs = 0;
    unsigned m_completions = 0;
};

}
