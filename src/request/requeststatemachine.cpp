#include "request/requeststatemachine.h"

#include <utility>

namespace bamboohold {

namespace {

constexpr std::int64_t s_overloadedRetryAfterMs = 500;
constexpr std::int64_t s_lostRetryAfterMs = 1'000;

Failure declinedEverywhere(RunRefusal lastReason)
{
    const FailureKind kind = lastReason == RunRefusal::Full ? FailureKind::Overloaded : FailureKind::NoTarget;
    return {.kind = kind,
            .detail = "every target that was asked declined the request",
            .executed = Executed::No,
            .retryAfterMs = s_overloadedRetryAfterMs};
}

}

RequestStateMachine::RequestStateMachine(Options options)
    : m_options(std::move(options))
{
}

std::uint32_t RequestStateMachine::beginAttempt(std::string_view target)
{
    m_target = target;
    m_nextSequence = 0;
    m_receivedBytes = 0;
    m_attemptOpen = true;
    return ++m_attempt;
}

RequestAction RequestStateMachine::finish(Outcome outcome, Failure failure)
{
    m_finished = true;
    m_attemptOpen = false;
    m_outcome = outcome;
    m_failure = std::move(failure);
    if (outcome == Outcome::NotRun) {
        m_charged = 0;
    }
    return RequestAction::Finish;
}

RequestAction RequestStateMachine::onFrame(const AnswerFrame &frame)
{
    // Frames of an abandoned attempt can arrive after the next one has started. The attempt number keeps them out of its answer.
    if (m_finished || !m_attemptOpen || frame.attempt != m_attempt || frame.sequence < m_nextSequence) {
        return RequestAction::Ignore;
    }
    // A gap means that a frame was lost. Delivering the rest would present an incomplete answer as a complete one.
    if (frame.sequence > m_nextSequence) {
        if (const auto *end = std::get_if<AnswerFrame::End>(&frame.content)) {
            // The answer is incomplete, but the cost of the run is known.
            m_usage = end->usage;
            m_charged = end->charged;
        }
        return onLost(FailureKind::AnswerIncomplete);
    }
    ++m_nextSequence;
    if (const auto *refused = std::get_if<AnswerFrame::Refused>(&frame.content)) {
        return onRefused(refused->reason);
    }
    if (const auto *end = std::get_if<AnswerFrame::End>(&frame.content)) {
        return onEnd(*end);
    }
    if (std::holds_alternative<AnswerFrame::PromptCounted>(frame.content)) {
        return RequestAction::LowerReservation;
    }
    if (const auto *data = std::get_if<AnswerFrame::Data>(&frame.content)) {
        m_receivedBytes += data->bytes.size();
    }
    m_delivered = true;
    return RequestAction::Deliver;
}

RequestAction RequestStateMachine::onRefused(RunRefusal reason)
{
    m_attemptOpen = false;
    m_declinedTargets.push_back(m_target);
    if (reason == RunRefusal::Sealed) {
        return finish(
            Outcome::NotRun,
            {.kind = FailureKind::Fenced, .detail = "this router was declared dead and restarts", .retryAfterMs = s_lostRetryAfterMs});
    }
    if (reason == RunRefusal::Duplicate) {
        return finish(
            Outcome::Unknown,
            {.kind = FailureKind::AlreadyRunning, .detail = "a run of this request is known at the target", .executed = Executed::Unknown});
    }
    if (m_attempt >= m_options.maxAttempts) {
        return finish(Outcome::NotRun, declinedEverywhere(reason));
    }
    return RequestAction::RetryElsewhere;
}

RequestAction RequestStateMachine::onEnd(const AnswerFrame::End &end)
{
    m_usage = end.usage;
    m_charged = end.charged;
    if (end.end == RunEnd::NotRun) {
        return onRefused(RunRefusal::EngineUnreachable);
    }
    if (end.end == RunEnd::Complete && end.dataBytes == m_receivedBytes) {
        return finish(Outcome::Answered, {});
    }
    if (end.end == RunEnd::Complete) {
        return finish(
            Outcome::FailedAfterRunning,
            {.kind = FailureKind::AnswerIncomplete, .detail = "bytes of the answer were lost on the way", .executed = Executed::Yes});
    }
    if (end.end == RunEnd::Unknown) {
        return finish(Outcome::Unknown,
                      {.kind = FailureKind::TargetLost, .detail = "the engine was lost before it answered", .executed = Executed::Unknown});
    }
    return finish(Outcome::FailedAfterRunning,
                  {.kind = FailureKind::EngineFailed, .detail = "the engine cut the answer", .executed = Executed::Yes});
}

RequestAction RequestStateMachine::onLost(FailureKind why)
{
    const Executed ran = m_delivered ? Executed::Yes : Executed::Unknown;
    const Outcome outcome = m_delivered ? Outcome::FailedAfterRunning : Outcome::Unknown;
    return finish(outcome,
                  {.kind = why,
                   .detail = "contact with the target was lost while it had the request",
                   .executed = ran,
                   .retryAfterMs = s_lostRetryAfterMs});
}

RequestAction RequestStateMachine::onExistingClaim(Failure failure)
{
    return finish(Outcome::Unknown, std::move(failure));
}

RequestAction RequestStateMachine::onNoTarget(const Failure &failure)
{
    return finish(Outcome::NotRun, failure);
}

}
