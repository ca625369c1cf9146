#pragma once

#include "budget/charge.h"
#include "engine/runtable.h"
#include "failure/failure.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bamboohold {

/// Status code and content type of the engine's answer.
struct AnswerHead {
    unsigned status = 0;
    std::string contentType;
};

/// The engine has counted the prompt tokens, so that the reservation for the worst case can be lowered.
struct AnswerPromptCounted {
    Tokens tokens = 0;
};

/// A part of the answer's body.
struct AnswerData {
    std::string bytes;
};

/// The run has ended.
struct AnswerEnd {
    RunEnd end = RunEnd::Unknown;
    /// The engine's final token count; empty when it gave none that is reliable.
    std::optional<TokenUsage> usage;
    /// Tokens to charge for the run.
    Tokens charged = 0;
    /// Total size of the answer's body as the sidecar sent it.
    std::uint64_t dataBytes = 0;
};

/// The sidecar declined the request, which was not run.
struct AnswerRefused {
    RunRefusal reason = RunRefusal::Full;
};

/// One frame of an answer, as received from a sidecar.
struct AnswerFrame {
    using Head = AnswerHead;
    using PromptCounted = AnswerPromptCounted;
    using Data = AnswerData;
    using End = AnswerEnd;
    using Refused = AnswerRefused;

    std::uint32_t attempt = 0;
    /// Sequence number within the attempt, counted from 0.
    std::uint64_t sequence = 0;
    std::variant<Head, PromptCounted, Data, End, Refused> content;
};

/// What the driver of a request must do next.
enum class RequestAction {
    /// Drop the frame and count it: it is late, duplicated or of another attempt.
    Ignore,
    /// Forward the frame to the caller.
    Deliver,
    /// Lower the reservation to the counted prompt tokens plus the output limit.
    LowerReservation,
    /// Try another target: the attempt is known not to have run.
    RetryElsewhere,
    /// Answer the caller: the request has its outcome.
    Finish,
};

/// Tracks one request over its attempts, from admission to the outcome, and is the only place that decides the outcome. "Not run" requires
/// that every attempt was declined before its engine received it. "Answered" requires that all frames arrived in order and the byte count
/// matches.
///
/// Has no I/O: the router's request coroutine passes in frames and connection losses, and performs the returned actions.
class RequestStateMachine
{
public:
    struct Options {
        unsigned maxAttempts = 3;
    };

    explicit RequestStateMachine(Options options);

    /// Starts the next attempt, and returns its number, counted from 1.
    std::uint32_t beginAttempt(std::string_view target);

    /// Processes a frame from a sidecar.
    RequestAction onFrame(const AnswerFrame &frame);

    /// Ends the request because, during an attempt, the target or the link to it was lost or the deadline passed. The outcome is unknown,
    /// or failed after running if a frame was delivered.
    RequestAction onLost(FailureKind why);

    /// Ends the request as not run: no attempt could be started.
    RequestAction onNoTarget(const Failure &failure);

    /// Ends the request because an earlier one has claimed the same idempotency key. This one is not run, but the outcome is unknown: it
    /// depends on the earlier one.
    RequestAction onExistingClaim(Failure failure);

    /// The outcome; valid after `RequestAction::Finish`.
    Outcome outcome() const
    {
        return m_outcome;
    }

    /// The failure to report to the caller; valid for every outcome except `Outcome::Answered`.
    const Failure &failure() const
    {
        return m_failure;
    }

    /// Tokens to charge for the request; empty when the worst case must be charged.
    const std::optional<Tokens> &charged() const
    {
        return m_charged;
    }

    /// The engine's token count; empty when it gave none.
    const std::optional<TokenUsage> &usage() const
    {
        return m_usage;
    }

    /// Target of the latest attempt.
    const std::string &target() const
    {
        return m_target;
    }

    /// Number of the latest attempt; 0 before the first.
    std::uint32_t attempt() const
    {
        return m_attempt;
    }

    /// True once a frame was returned to the driver with `RequestAction::Deliver`.
    bool hasDelivered() const
    {
        return m_delivered;
    }

    /// Targets that have declined this request.
    const std::vector<std::string> &declinedTargets() const
    {
        return m_declinedTargets;
    }

private:
    RequestAction finish(Outcome outcome, Failure failure);
    RequestAction onRefused(RunRefusal reason);
    RequestAction onEnd(const AnswerFrame::End &end);

    Options m_options;
    std::string m_target;
    std::vector<std::string> m_declinedTargets;
    std::uint32_t m_attempt = 0;
    std::uint64_t m_nextSequence = 0;
    std::uint64_t m_receivedBytes = 0;
    bool m_attemptOpen = false;
    bool m_delivered = false;
    bool m_finished = false;
    Outcome m_outcome = Outcome::Unknown;
    Failure m_failure;
    std::optional<Tokens> m_charged;
    std::optional<TokenUsage> m_usage;
};

}
