#include "gateway/stalledattempt.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// What a move needs, and whether the target is alive, may change at any time.
constexpr Duration s_decisionInterval = std::chrono::milliseconds(100);

StallDecision waitOn(const StalledAttempt &attempt, std::string_view reason, Instant now)
{
    return {.action = StallAction::Wait, .wait = std::min(s_decisionInterval, attempt.deadline - now), .reason = reason};
}

}

StallDecision decideStall(const StalledAttempt &attempt, Instant now)
{
    if (now >= attempt.deadline || attempt.callerLeft) {
        return {.action = StallAction::End, .reason = "nobody waits for it any more"};
    }
    if (!attempt.movable()) {
        // The caller can repeat the request, or take the stream up elsewhere.
        const bool hopeless = attempt.repeatable && attempt.life == TargetLife::Unreachable;
        return hopeless ? StallDecision{.action = StallAction::End, .reason = "the target cannot be reached"}
                        : waitOn(attempt, "it cannot go on elsewhere", now);
    }
    if (!attempt.answerStarted) {
        return {.action = StallAction::Move, .reason = "no answer"};
    }
    if (attempt.life == TargetLife::Unreachable) {
        return {.action = StallAction::Move, .reason = "the target cannot be reached"};
    }
    if (attempt.life == TargetLife::Alive) {
        return waitOn(attempt, "the target serves others", now);
    }
    if (now - attempt.silentSince < attempt.patience - attempt.moveTime) {
        return waitOn(attempt, "the caller waits on", now);
    }
    if (attempt.otherTargetStalls) {
        return waitOn(attempt, "the other target stalls as well", now);
    }
    return {.action = StallAction::Move, .reason = "the target is silent"};
}

}
