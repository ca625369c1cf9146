#include "gateway/targetstate.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// Doublings after which the back-off is at its maximum in any case.
constexpr std::uint32_t s_maxDoublings = 8;
/// Cached parts recorded per target before expired ones are erased; more than an engine's cache holds.
constexpr std::size_t s_maxCachedParts = 4096;
constexpr double s_msPerSecond = 1000;

}

SpeedFigures priorSpeedFigures(const TargetOptions &options)
{
    return {.prefillTokensPerMs = options.prefillTokensPerMs,
            .referenceTokensPerMs = options.prefillTokensPerMs,
            .msPerOwnRequest = options.msPerOwnRequest,
            .msPerRemoteRequest = options.msPerRemoteRequest,
            .msPerQueuedRequest = options.msPerQueuedRequest};
}

std::optional<OutOfServiceReason> TargetState::outOfServiceReason() const
{
    if (leaving()) {
        return OutOfServiceReason::Leaving;
    }
    if (evacuated) {
        return OutOfServiceReason::Evacuated;
    }
    return usable ? std::nullopt : std::optional(OutOfServiceReason::Unusable);
}

bool TargetState::mayBeCold(Instant now) const
{
    return now < coldUntil || now < presumedColdUntil;
}

Tokens TargetState::uncachedTokens(const TargetOptions &options, std::span<const PromptPart> prompt, bool preferred, Instant now) const
{
    Tokens missing = 0;
    bool prefixCached = true;
    for (std::size_t index = 0; index < prompt.size(); ++index) {
        const bool lastPart = index + 1 == prompt.size();
        const auto found = cachedParts.find(prompt[index].id);
        const bool cachedHere = found != cachedParts.end() && now - found->second < options.cachedPartLifetime;
        // Other routers send requests for a shared part to the preferred target as well, so the target probably has it cached even if this
        // router never sent it there.
        const bool cachedByOthers = !lastPart && preferred;
        prefixCached = prefixCached && (cachedHere || cachedByOthers);
        if (!prefixCached) {
            missing += prompt[index].tokens;
        }
    }
    return missing;
}

double TargetState::prefillRate(const TargetOptions &options) const
{
    return speedFigures ? speedFigures->prefillTokensPerMs : options.prefillTokensPerMs;
}

TargetLoad TargetState::totalLoad(const TargetOptions &options, Instant now) const
{
    TargetLoad total{.outstanding = outstanding, .unread = unread};
    if (remoteLoadAt && now - *remoteLoadAt < options.remoteLoadLifetime) {
        total.outstanding += remoteLoad.outstanding;
        total.unread += remoteLoad.unread;
    }
    return total;
}

double TargetState::score(const TargetOptions &options, Tokens uncachedTokens, Instant now) const
{
    const Duration waited = awaitingFirstByte.empty() ? Duration::zero() : now - *awaitingFirstByte.begin() - options.firstByteAllowance;
    const double overdue = std::max(0.0, seconds(waited) * s_msPerSecond);
    const TargetLoad total = totalLoad(options, now);
    const SpeedFigures speeds = speedFigures.value_or(priorSpeedFigures(options));
    const double tokens = options.uncachedTokenWeight * static_cast<double>(uncachedTokens) + static_cast<double>(total.unread);
    // The weight of uncached tokens beyond their own processing is the same at all targets; at the target's own speed it would leave slower
    // targets idle while requests queue at the others.
    const double extraWeight = (options.uncachedTokenWeight - 1) * static_cast<double>(uncachedTokens);
    const double slowness = 1 / speeds.prefillTokensPerMs - 1 / speeds.referenceTokensPerMs;
    const double reading = tokens / speeds.prefillTokensPerMs - extraWeight * slowness;
    const double running = speeds.msPerOwnRequest * outstanding + speeds.msPerRemoteRequest * (total.outstanding - outstanding);
    const std::uint32_t queued = listing.slots > 0 && total.outstanding >= listing.slots ? total.outstanding - listing.slots + 1 : 0;
    const double queueing = speeds.msPerQueuedRequest * queued;
    const double distance = listing.failureDomain == options.failureDomain ? 0 : options.msOtherDomain;
    const double cold = now < coldUntil ? options.msCold : 0;
    const double limited = directives.rateLimit ? options.msLimited : 0;
    const bool timedOut = relayTimedOutAt && now - *relayTimedOutAt < options.remoteLoadLifetime;
    return reading + running + queueing + distance + cold + limited + overdue + (timedOut ? options.msTimedOutRelay : 0);
}

bool TargetState::inBackoff(Instant now) const
{
    const bool backingOff = backoffUntil && now < *backoffUntil;
    // A target that failed is probed by one request at a time.
    const bool probing = consecutiveBackoffs > 0 && outstanding > 0;
    return backingOff || probing;
}

void TargetState::requestSent(const TargetOptions &options, std::span<const PromptPart> prompt, Tokens uncachedTokens, Instant now)
{
    ++outstanding;
    unread += uncachedTokens;
    awaitingFirstByte.insert(now);
    if (cachedParts.size() > s_maxCachedParts) {
        absl::erase_if(cachedParts, [&](const auto &entry) {
            return now - entry.second >= options.cachedPartLifetime;
        });
    }
    for (const PromptPart &part : prompt) {
        cachedParts[part.id] = now;
    }
}

void TargetState::firstByteReceived(Tokens uncachedTokens, Instant sentAt)
{
    unread -= uncachedTokens;
    const auto since = awaitingFirstByte.find(sentAt);
    if (since != awaitingFirstByte.end()) {
        awaitingFirstByte.erase(since);
    }
}

void TargetState::attemptEnded(const TargetOptions &options, HealthSignal signal, Instant now)
{
    outstanding -= std::min<std::uint32_t>(outstanding, 1);
    switch (signal) {
    case HealthSignal::Success:
        consecutiveBackoffs = 0;
        consecutiveErrors = 0;
        backoffUntil.reset();
        break;
    case HealthSignal::Declined:
        backoffUntil = now + options.declineBackoff;
        break;
    case HealthSignal::ConnectionFailure:
        unreachableAt = now;
        startBackoff(options, now);
        break;
    case HealthSignal::ErrorResponse:
        if (++consecutiveErrors >= options.consecutiveErrorLimit) {
            startBackoff(options, now);
        }
        break;
    case HealthSignal::Neutral:
        break;
    }
}

void TargetState::undoBackoff()
{
    if (consecutiveBackoffs > 0 && backoffUntil) {
        consecutiveBackoffs = 0;
        backoffUntil.reset();
        presumedColdUntil = presumedColdBeforeBackoff;
    }
}

void TargetState::startBackoff(const TargetOptions &options, Instant now)
{
    if (!options.outlierEjection) {
        return;
    }
    const Duration backoff = options.initialBackoff * (std::int64_t{1} << std::min(consecutiveBackoffs, s_maxDoublings));
    backoffUntil = now + std::min(options.maxBackoff, backoff);
    presumedColdBeforeBackoff = consecutiveBackoffs == 0 ? presumedColdUntil : presumedColdBeforeBackoff;
    presumedColdUntil = *backoffUntil + options.presumedColdPeriod;
    ++consecutiveBackoffs;
    cachedParts.clear();
}

}
