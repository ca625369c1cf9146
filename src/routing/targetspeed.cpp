#include "routing/targetspeed.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>
#include <vector>

namespace bamboohold {

namespace {

constexpr double s_msPerSecond = 1000;
/// Range of a ratio that another process reports; wider than what routers send, so that a change of their bounds needs no agreement.
constexpr double s_minReportedRatio = 0.05;
constexpr double s_maxReportedRatio = 20;
/// One answer changes the ratio by at most this share.
constexpr double s_maxChangePerAnswer = 0.25;
/// An answer with a shorter expected time counts in proportion. Engines run batches in steps of some 5 ms, so the first byte of a shorter
/// prompt depends mostly on where in a step the prompt arrives.
constexpr double s_fullWeightMs = 20;
/// Most weight of the pauses of one stream; a long stream must not outweigh the first bytes, on which callers wait.
constexpr double s_maxPauseWeightMs = 50;
/// Consecutive slow answers that take effect at once, and the share of the speed before them below which they count as slow.
constexpr unsigned s_slowAnswers = 3;
constexpr double s_slowAnswerShare = 0.5;
/// A delay up to this is not attributed to the target.
constexpr double s_slowAnswerToleranceMs = 25;
/// Requests that were sent within this time of each other can all have met the same stall.
constexpr Duration s_stallDuration = std::chrono::milliseconds(500);
/// Shares of the median below which a target counts as slow, and above which it has recovered.
constexpr double s_slowShare = 0.5;
constexpr double s_recoveredShare = 0.7;
/// Differences from the median below this share are treated as noise. Without it, all routers would prefer the same one of equal targets.
constexpr double s_noiseShare = 0.1;

/// Weight of a new value in a running median after many values, relative to the median.
constexpr double s_medianStep = 0.02;
/// Time to the first byte beyond the processing of the prompt, before any is measured: a step of an engine.
constexpr double s_initialOverheadMs = 5;
/// Bounds of the reference; no engine is known near either.
constexpr double s_minReference = 1;
constexpr double s_maxReference = 4000;
/// Share of the difference by which one refresh moves the reference, and bounds of the difference.
constexpr double s_referenceGain = 0.5;
constexpr double s_maxReferenceChange = 2;
/// Learnt times of a step and of a slot stay within this factor of the prior ones.
constexpr double s_maxTimeFactor = 4;
/// Completions before the time of a slot is used, and the number that its average spans.
constexpr unsigned s_minCompletions = 10;
constexpr unsigned s_averagedCompletions = 64;

double ms(Duration duration)
{
    return seconds(duration) * s_msPerSecond;
}

}

std::string_view speedReportFault(const SpeedReport &report)
{
    if (!std::isfinite(report.ratio)) {
        return "not_finite";
    }
    return report.ratio < s_minReportedRatio || report.ratio > s_maxReportedRatio ? "out_of_range" : "";
}

TargetSpeed::OwnTimes TargetSpeed::ownTimes(Instant now) const
{
    if (m_own.measuredMs <= 0 || now - m_lastSampleAt >= s_retention) {
        return {};
    }
    const double factor = std::exp2(-std::max(0.0, seconds(now - m_decayedAt) / seconds(s_halfLife)));
    return {.expectedMs = m_own.expectedMs * factor, .measuredMs = m_own.measuredMs * factor, .answers = m_own.answers * factor};
}

void TargetSpeed::decayTo(Instant now)
{
    m_own = ownTimes(now);
    m_decayedAt = std::max(m_decayedAt, now);
    if (m_own.measuredMs <= 0) {
        m_run = {};
    }
}

void TargetSpeed::record(const SpeedSample &sample, double median, Instant now)
{
    if (!std::isfinite(sample.expectedMs) || !std::isfinite(sample.measuredMs) || sample.expectedMs <= 0) {
        return;
    }
    decayTo(now);
    const bool known = m_own.measuredMs > 0;
    const double before = known ? m_own.expectedMs / m_own.measuredMs : median;
    const double measured = std::clamp(sample.measuredMs, sample.expectedMs / s_maxRatio, sample.expectedMs / s_minRatio);
    const double expected = m_own.expectedMs + sample.expectedMs;
    double after = expected / (m_own.measuredMs + measured);
    if (known) {
        after = std::clamp(after, before * (1 - s_maxChangePerAnswer), before * (1 + s_maxChangePerAnswer));
    }
    m_own.expectedMs = expected;
    m_own.measuredMs = expected / std::clamp(after, s_minRatio, s_maxRatio);
    m_lastSampleAt = now;
    if (sample.isAnswer) {
        m_own.answers += std::min(1.0, sample.expectedMs / s_fullWeightMs);
        trackSlowRun(sample, measured, before);
    }
}

void TargetSpeed::trackSlowRun(const SpeedSample &sample, double measuredMs, double before)
{
    const double baseline = m_run.answers > 0 ? m_run.baseline : before;
    if (sample.expectedMs >= s_slowAnswerShare * baseline * measuredMs) {
        m_run = {};
        return;
    }
    if (sample.measuredMs - sample.expectedMs < s_slowAnswerToleranceMs) {
        return;
    }
    if (m_run.answers == 0) {
        m_run = {.baseline = before, .firstSentAt = sample.sentAt};
    }
    ++m_run.answers;
    m_run.expectedMs += sample.expectedMs;
    m_run.measuredMs += measuredMs;
    if (m_run.answers >= s_slowAnswers && sample.sentAt - m_run.firstSentAt >= s_stallDuration) {
        m_own = {.expectedMs = m_run.expectedMs, .measuredMs = m_run.measuredMs, .answers = std::max(m_own.answers, s_trustedAnswers)};
        m_run = {};
    }
}

void TargetSpeed::setRemote(const SpeedReport &report, Instant now)
{
    m_remote = report;
    m_remote.ratio = std::clamp(report.ratio, s_minRatio, s_maxRatio);
    m_remoteAt = now;
}

std::optional<SpeedReport> TargetSpeed::report(Instant now) const
{
    const OwnTimes own = ownTimes(now);
    const auto answers = static_cast<std::uint32_t>(std::lround(own.answers));
    if (answers == 0) {
        return std::nullopt;
    }
    return SpeedReport{.ratio = std::clamp(own.expectedMs / own.measuredMs, s_minRatio, s_maxRatio), .answers = answers};
}

TargetSpeed::Evidence TargetSpeed::evidence(Instant now) const
{
    const OwnTimes own = ownTimes(now);
    const double others = m_remoteAt && now - *m_remoteAt < s_halfLife ? m_remote.answers : 0.0;
    const double answers = own.answers + others;
    if (answers <= 0) {
        return {};
    }
    const double ownRatio = own.measuredMs > 0 ? own.expectedMs / own.measuredMs : 1;
    return {.ratio = (own.answers * ownRatio + others * m_remote.ratio) / answers, .answers = answers};
}

double TargetSpeed::ratio(double median, Instant now) const
{
    const Evidence known = evidence(now);
    const double trust = std::min(1.0, known.answers / s_trustedAnswers);
    return std::clamp(median + trust * (known.ratio - median), s_minRatio, s_maxRatio);
}

void TargetSpeed::rescale(double factor)
{
    m_own.expectedMs /= factor;
    m_run.expectedMs /= factor;
    m_run.baseline /= factor;
}

bool TargetSpeed::empty(Instant now) const
{
    return evidence(now).answers <= 0;
}

std::optional<bool> TargetSpeed::updateSlow(double median, Instant now)
{
    const double share = ratio(median, now) / median;
    const bool slow = m_slow ? share <= s_recoveredShare : share < s_slowShare;
    if (slow == m_slow) {
        return std::nullopt;
    }
    m_slow = slow;
    return slow;
}

bool TargetSpeed::markReportIgnored()
{
    return !std::exchange(m_reportIgnored, true);
}

void ServiceSpeed::RunningMedian::add(double sample)
{
    ++count;
    if (count == 1) {
        value = sample;
        return;
    }
    const double step = value * std::max(s_medianStep, 1.0 / count);
    value += std::clamp(sample - value, -step, step);
}

ServiceSpeed::ServiceSpeed(const SpeedFigures &prior)
    : m_prior(prior)
    , m_reference(prior.referenceTokensPerMs)
    , m_overheadMs{{{.value = s_initialOverheadMs}, {.value = s_initialOverheadMs}}}
{
}

void ServiceSpeed::recordFirstByte(TargetSpeed &target, const FirstByte &answer, Instant now)
{
    if (answer.tokens <= 0) {
        return;
    }
    const double reading = static_cast<double>(answer.tokens) / m_reference;
    const double measured = ms(now - answer.sentAt);
    RunningMedian &unexplained = overhead(answer.streamed);
    target.record({.expectedMs = unexplained.value + reading, .measuredMs = measured, .sentAt = answer.sentAt}, m_median, now);
    if (reading < s_fullWeightMs) {
        unexplained.add(std::max(0.1, measured - reading / target.ratio(m_median, now)));
    }
}

void ServiceSpeed::recordCompletion(TargetSpeed &target, const Completion &answer, Instant now)
{
    ++m_completions;
    m_occupiedMs += (ms(answer.occupied) - m_occupiedMs) / std::min(m_completions, s_averagedCompletions);
    if (answer.pauses == 0) {
        return;
    }
    const double pause = ms(answer.streaming) / static_cast<double>(answer.pauses);
    if (m_pauseMs.count > 0) {
        // The median target is slower than the reference, and so are its pauses.
        const double expected = m_pauseMs.value * m_median;
        const double weight = std::min(1.0, s_maxPauseWeightMs / (expected * static_cast<double>(answer.pauses)));
        const double scale = weight * static_cast<double>(answer.pauses);
        target.record({.expectedMs = expected * scale, .measuredMs = pause * scale, .sentAt = now, .isAnswer = false}, m_median, now);
    }
    m_pauseMs.add(std::max(0.1, pause));
}

void ServiceSpeed::refresh(std::span<TargetSpeed *const> targets, Instant now)
{
    struct Ranked {
        double ratio = 1;
        const TargetSpeed *target = nullptr;
    };
    std::vector<Ranked> ranked;
    for (const TargetSpeed *target : targets) {
        if (const TargetSpeed::Evidence known = target->evidence(now); known.answers > 0) {
            ranked.push_back({.ratio = known.ratio, .target = target});
        }
    }
    if (ranked.empty()) {
        m_median = 1;
        return;
    }
    std::ranges::sort(ranked, std::greater(), &Ranked::ratio);
    TargetSpeed::OwnTimes fastest;
    for (const Ranked &entry : std::span(ranked).first((ranked.size() + 1) / 2)) {
        const TargetSpeed::OwnTimes own = entry.target->ownTimes(now);
        fastest.expectedMs += own.expectedMs;
        fastest.measuredMs += own.measuredMs;
        fastest.answers += own.answers;
    }
    double factor = 1;
    if (fastest.measuredMs > 0) {
        const double difference = std::clamp(fastest.expectedMs / fastest.measuredMs, 1 / s_maxReferenceChange, s_maxReferenceChange);
        const double trust = std::min(1.0, fastest.answers / TargetSpeed::s_trustedAnswers);
        const double wanted = m_reference * (1 + s_referenceGain * trust * (difference - 1));
        const double reference = std::clamp(wanted, s_minReference, s_maxReference);
        factor = reference / m_reference;
        m_reference = reference;
    }
    for (TargetSpeed *target : targets) {
        target->rescale(factor);
    }
    m_median = std::clamp(ranked[(ranked.size() - 1) / 2].ratio / factor, TargetSpeed::s_minRatio, TargetSpeed::s_maxRatio);
}

SpeedFigures ServiceSpeed::figures(const TargetSpeed &target, std::uint32_t slots, Instant now) const
{
    const double share = target.ratio(m_median, now) / m_median;
    const double noise = std::clamp(share, 1 / (1 + s_noiseShare), 1 + s_noiseShare);
    const double relative = share / noise;
    const auto bounded = [](double value, double prior) {
        return std::clamp(value, prior / s_maxTimeFactor, prior * s_maxTimeFactor);
    };
    const double step = m_pauseMs.count > 0 ? bounded(m_pauseMs.value, m_prior.msPerOwnRequest) : m_prior.msPerOwnRequest;
    const bool slotKnown = slots > 0 && m_completions >= s_minCompletions;
    const double slot = slotKnown ? bounded(m_occupiedMs / slots, m_prior.msPerQueuedRequest) : m_prior.msPerQueuedRequest;
    return {.prefillTokensPerMs = m_reference * m_median * relative,
            .referenceTokensPerMs = m_reference * m_median,
            .msPerOwnRequest = step / relative,
            .msPerRemoteRequest = step / m_prior.msPerOwnRequest * m_prior.msPerRemoteRequest / relative,
            .msPerQueuedRequest = slot / relative};
}

}
