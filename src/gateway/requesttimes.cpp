#include "gateway/requesttimes.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// What a stream takes, by its token counts, on an engine that is half as slow again as usual. Most streams end well before their output
/// limit.
constexpr double s_slowMsPerOutputToken = 7.5;
constexpr double s_slowMsPerPromptToken = 0.06;
constexpr Duration s_queueAllowance = std::chrono::milliseconds(300);
/// Once a router has been ending for a while there is no time left in which a slower stream could finish: twice the usual pace.
constexpr Duration s_lateInDrain = std::chrono::milliseconds(4000);
constexpr int s_lateFactor = 2;
/// Callers abandon a stream after a silence of two seconds or more; a stream that can go on elsewhere must do so well before.
constexpr Duration s_longestSilence = std::chrono::milliseconds(1200);
constexpr int s_pausesOfSilence = 4;
/// A stream that can only go on where it is is given up after this: no caller waits longer for the next event.
constexpr Duration s_deadSilence = std::chrono::milliseconds(4000);

}

Duration clampedWait(Duration wait)
{
    return std::max<Duration>(wait, std::chrono::milliseconds(1));
}

Duration longestRun(const Route &route, const RequestTerms &terms)
{
    if (route.repeatability != Repeatability::Stream) {
        return std::min(route.timeout, terms.patience);
    }
    const double reading = s_slowMsPerPromptToken * static_cast<double>(terms.promptTokens);
    const double writing = s_slowMsPerOutputToken * static_cast<double>(terms.outputLimit);
    const auto run = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(reading + writing)) + s_queueAllowance;
    return std::min({run, route.timeout, terms.patience});
}

Duration allowanceForEnd(const Route &route, const RequestTerms &terms, Duration untilEnd)
{
    const bool late = untilEnd < s_lateInDrain;
    return late ? s_lateFactor * longestRun(route, terms) : longestRun(route, terms);
}

Duration firstByteLimit(const Route &route, Duration left, bool mayTryElsewhere)
{
    if (!mayTryElsewhere) {
        return clampedWait(left);
    }
    return clampedWait(std::min(left, std::max(left / 2, route.latencyObjective * 13 / 10)));
}

Duration longestSilence(const Route &route)
{
    return route.resumable ? std::max(s_longestSilence, s_pausesOfSilence * route.eventGapObjective) : s_deadSilence;
}

}
