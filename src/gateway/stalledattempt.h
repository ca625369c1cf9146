#pragma once

#include "clock/instant.h"

#include <string_view>

namespace bamboohold {

/// What other requests show about a target that has sent nothing for a while.
enum class TargetLife {
    /// Another request has received bytes from it meanwhile.
    Alive,
    /// Nothing is known.
    Silent,
    /// It could not be reached meanwhile, or did not answer another request.
    Unreachable,
};

/// What a router does with an attempt whose target has sent nothing for a while.
enum class StallAction {
    /// Goes on waiting for the target.
    Wait,
    /// Gives the attempt up and sends the request to another target.
    Move,
    /// Gives the request up.
    End,
};

/// What is known about such an attempt.
struct StalledAttempt {
    /// When its target sent something last; when the request was sent if there was nothing yet.
    Instant silentSince{};
    Instant deadline{};
    /// The caller has received a part of the answer.
    bool answerStarted = false;
    /// The route allows another attempt, and the caller is still there.
    bool repeatable = false;
    bool callerLeft = false;
    /// How long callers of the route wait for the next part of an answer, and how long another target may take to send one.
    Duration patience{};
    Duration moveTime{};
    TargetLife life = TargetLife::Silent;

    /// What a move needs besides. None of it is taken yet.
    bool attemptLeft = false;
    bool retryLeft = false;
    /// The version that began the answer is known, and the request is not quarantined.
    bool mayRunElsewhere = false;
    bool otherTarget = false;
    /// That target keeps answers waiting as well.
    bool otherTargetStalls = false;

    bool movable() const
    {
        return repeatable && attemptLeft && retryLeft && mayRunElsewhere && otherTarget;
    }
};

struct StallDecision {
    StallAction action = StallAction::Wait;
    /// The time after which to decide again, if the action is to wait.
    Duration wait{};
    /// A literal, for the log.
    std::string_view reason;
};

/// Decides what to do with an attempt that has been silent for the time that its route allows. Called again after each wait.
///
/// An engine that is short of memory preempts streams, which pause and go on. To move such a stream costs its prompt again, at a target
/// that may be short as well, and a stream that is given up without a move is lost to its caller. So a stream is moved only when everything
/// that the move needs is there: at once if its target cannot be reached, as late as the caller's patience allows if nothing is known of
/// the target, and not at all while the target serves others. An attempt that cannot be replaced goes on until its deadline, unless its
/// target cannot be reached: the caller may still repeat the request then.
StallDecision decideStall(const StalledAttempt &attempt, Instant now);

}
