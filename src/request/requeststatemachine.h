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

/// The engine's status line and content type.
struct AnswerHead {
    unsigned status = 0;
    std::string contentType;
};

/// The engine counted the prompt: the worst case can be lowered.
struct AnswerPromptCounted {
    Tokens tokens = 0;
};

/// Bytes of an answer's body.
struct AnswerData {
    std::string bytes;
};

/// The run ended.
struct AnswerEnd {
    RunEnd end = RunEnd::Unknown;
    /// The engine's final count; empty when it gave none that can be trusted.
    std::optional<TokenUsage> usage;
    Tokens charged = 0;
    std::uint64_t dataBytes = 0;
};

/// The sidecar declined: not run.
struct AnswerRefused {
    RunRefusal reason = RunRefusal::Full;
};

/// One piece of an answer as it comes from a sidecar.
struct AnswerFrame {
    using Head = AnswerHead;
    using PromptCounted = AnswerPromptCounted;
    using Data = AnswerData;
    using End = AnswerEnd;
    using Refused = AnswerRefused;

    std::uint32_t attempt = 0;
    /// Counts from 0 within an attempt.
    std::uint64_t sequence = 0;
    std::variant<Head, PromptCounted, Data, End, Refused> content;
};

/// What the driver of a request should do next.
enum class RequestAction {
    /// A late, doubled or foreign frame: drop it and count it.
    Ignore,
    /// Pass the frame on to the caller.
    Deliver,
    /// Lower the reservation to prompt tokens plus the output limit.
    LowerReservation,
    /// The attempt certainly did not run: try another target.
    RetryElsewhere,
    /// The request has its outcome; send it.
    Finish,
};

/// The course of one request over its attempts, from admission to its outcome. It alone decides what may be told to the caller: "not run"
/// only when every attempt was declined before its engine had it, "answered" only when all frames came in order and the byte count agrees.
///
/// Pure: the router's request coroutine feeds it frames and losses and carries out its steps.
class RequestStateMachine
{
public:
    struct Options {
        unsigned maxAttempts = 3;
    };

    explicit RequestStateMachine(Options options);

    /// Opens the next attempt and returns its number, counted from 1.
    std::uint32_t beginAttempt(std::string_view target);

    /// A frame arrived.
    RequestAction onFrame(const AnswerFrame &frame);

    /// The target or the link to it is gone, or the deadline passed, while an attempt was open.
    RequestAction onLost(FailureKind why);

    /// No target could be asked.
    RequestAction onNoTarget(const Failure &failure);

    /// An earlier request under the same idempotency key stands in the way; whatever became of it, this one is not run.
    RequestAction onExistingClaim(Failure failure);

    /// The outcome; valid after Finish.
    Outcome outcome() const
    {
        return m_outcome;
    }

    /// The failure to tell the caller; meaningful for every outcome but Answered.
    const Failure &failure() const
    {
        return m_failure;
    }

    /// Tokens the request costs; empty when the worst case must be charged.
    const std::optional<Tokens> &charged() const
    {
        return m_charged;
    }

    /// The engine's own count, when it gave one.
    const std::optional<TokenUsage> &usage() const
    {
        return m_usage;
    }

    /// Target of the newest attempt.
    const std::string &target() const
    {
        return m_target;
    }

    /// Number of the newest attempt.
    std::uint32_t attempt() const
    {
        return m_attempt;
    }

    /// True once a frame was delivered to the caller.
    bool hasDelivered() const
    {
        return m_delivered;
    }

    /// Targets that declined this request.
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
