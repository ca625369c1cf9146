#include "gateway/requesthandler.h"

#include "clock/steadytime.h"
#include "gateway/requesttimes.h"
#include "operations/log.h"
#include "routing/stablehash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace bamboohold {

namespace {

/// A response up to this size is buffered until it is complete, so that an incomplete one can be replaced. Buffering longer ones would
/// delay their callers.
constexpr std::size_t s_maxBufferedBytes = 256 * 1024;
/// The most that a response grows by at a time.
constexpr std::size_t s_pieceBytes = 16 * 1024;
constexpr unsigned s_minServerErrorStatus = 500;
/// Pauses of shorter streams, and of those whose caller took more than this part of the time to be written to, are not measured.
constexpr std::size_t s_minEventsMeasured = 8;
constexpr int s_minStreamingPerWriting = 10;
/// The first byte of an answer that is not a stream follows its last token. With more tokens than this, the time depends mostly on how many
/// were generated.
constexpr Tokens s_maxUnstreamedTokens = 16;
/// A target keeps streams waiting if it does so with this part of them.
constexpr std::size_t s_stallingPart = 4;

}

Duration RequestHandler::attemptFirstByteTimeout(Instant now) const
{
    const bool retryAllowed = m_route->repeatable() && m_possibleExecutions + 1 < m_route->maxAttempts;
    return firstByteTimeout(*m_route, m_deadline - now, retryAllowed);
}

TargetLife RequestHandler::targetLife(const std::string &incarnation, Instant since) const
{
    const bool answersOthers = std::ranges::any_of(m_gateway.m_activeRequests, [&](const RequestHandler *other) {
        return other != this && other->isAnsweredBy(incarnation) && other->m_lastReceivedAt > since;
    });
    if (answersOthers) {
        return TargetLife::Alive;
    }
    return m_gateway.m_board.unreachableSince(incarnation, since) ? TargetLife::Unreachable : TargetLife::Silent;
}

bool RequestHandler::isAnsweredBy(const std::string &incarnation) const
{
    return m_activeCall != nullptr && m_firstByteReceived && m_placement->incarnation == incarnation;
}

bool RequestHandler::stalls(const std::string &incarnation, Instant now) const
{
    std::size_t streams = 0;
    std::size_t stalled = 0;
    for (const RequestHandler *other : m_gateway.m_activeRequests) {
        if (other->m_streamStarted && other->isAnsweredBy(incarnation)) {
            ++streams;
            stalled += now - other->m_lastReceivedAt > streamStallTimeout(*other->m_route) / 2 ? 1 : 0;
        }
    }
    return stalled > 0 && stalled * s_stallingPart >= streams;
}

StalledAttempt RequestHandler::stalledAttempt(Instant now)
{
    StalledAttempt attempt{.silentSince = m_lastReceivedAt,
                           .deadline = m_deadline,
                           .answerStarted = m_streamStarted,
                           .repeatable = m_route->repeatable(),
                           .callerLeft = m_callerDisconnected,
                           .patience = callerPatience(*m_route),
                           .moveTime = m_route->latencyObjective,
                           .life = targetLife(m_placement->incarnation, m_lastReceivedAt)};
    const std::size_t attemptsUnderWay = m_possibleExecutions + 1;
    attempt.attemptLeft = attemptsUnderWay < m_route->maxAttempts && RequestRetries::worthTrying(m_triedTargets.size(), m_deadline - now);
    attempt.retryLeft = m_retries.canReserve(now);
    if (!attempt.repeatable || !attempt.attemptLeft || !attempt.retryLeft) {
        return attempt;
    }
    const PlacementRequest elsewhere{.service = m_serviceName,
                                     .version = m_binding.version(),
                                     .prompt = m_metadata.prompt,
                                     .excluded = m_triedTargets,
                                     .skipAdmissionControlled = true,
                                     .seed = stableHash(m_metadata.requestId) + m_triedTargets.size()};
    const std::optional<Placement> other = m_gateway.m_board.choose(elsewhere, now);
    attempt.otherTarget = other && !m_gateway.m_board.inBackoff(other->incarnation, now);
    if (attempt.otherTarget) {
        attempt.otherTargetStalls = stalls(other->incarnation, now);
        attempt.mayRunElsewhere = !m_screening.mayNotRunAgain() && streamMayGoOn();
    }
    return attempt;
}

bool RequestHandler::streamMayGoOn()
{
    return !m_streamStarted || (m_eventParser.canGoOn() && m_binding.mayGoOn(streamRequest()));
}

Duration RequestHandler::renewWait()
{
    const Instant now = steadyNow();
    const StalledAttempt attempt = stalledAttempt(now);
    const StallDecision decision = decideStall(attempt, now);
    if (decision.action == StallAction::Wait) {
        m_stallReason = decision.reason;
        return clampedTimeout(decision.wait);
    }
    if (decision.action == StallAction::Move) {
        m_retries.reserve(now);
    }
    logLine(Severity::Info,
            "attempt.given_up",
            {{"request", m_metadata.requestId},
             {"target", m_placement->incarnation},
             {"moves", static_cast<std::int64_t>(decision.action == StallAction::Move)},
             {"reason", decision.reason},
             {"waited_because", m_stallReason},
             {"silent_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - attempt.silentSince).count()}});
    m_stallReason = {};
    return Duration::zero();
}

AttemptOutcome RequestHandler::handleInterruptedResponse(const absl::Status &status)
{
    m_lastError = std::string(status.message());
    m_targetSign = m_callerDisconnected ? HealthSignal::Neutral : HealthSignal::ErrorResponse;
    m_connectionLost = !m_activeCall->cancelled();
    return outcomeOf(status);
}

AttemptOutcome RequestHandler::endOverlongAnswer(std::string_view problem)
{
    m_lastError = std::string(problem);
    m_targetSign = HealthSignal::ErrorResponse;
    m_activeCall->cancel();
    return steadyNow() >= m_deadline ? AttemptOutcome::TimedOut : AttemptOutcome::Incomplete;
}

void RequestHandler::recordFirstByte()
{
    m_lastReceivedAt = steadyNow();
    if (!m_firstByteReceived) {
        m_firstByteReceived = true;
        m_gateway.m_board.firstByteReceived(m_placement->incarnation, m_placement->uncachedTokens, m_attemptSentAt);
        m_gateway.m_chooser.reportLoad(m_placement->incarnation);
        // Only an answer of the target shows how fast it is.
        if (m_activeCall != nullptr && m_hasSuccessStatus) {
            m_gateway.m_dispatcher.firstByteReceived(
                m_serviceName, m_metadata.worstCaseTokens(), *m_placement, m_lastReceivedAt - m_attemptSentAt);
        }
        m_gateway.m_dispatcher.capacityMayHaveGrown(m_serviceName);
    }
}

void RequestHandler::measureFirstByte()
{
    if (m_firstByteReceived || !m_hasSuccessStatus) {
        return;
    }
    m_attemptFirstByteAt = steadyNow();
    const bool streamed = m_route->repeatability == Repeatability::Stream;
    if (streamed || m_metadata.maxOutputTokens <= s_maxUnstreamedTokens) {
        m_gateway.m_board.measureFirstByte(*m_placement, streamed, m_attemptSentAt, m_attemptFirstByteAt);
    }
}

void RequestHandler::measureCompletion()
{
    ServiceSpeed::Completion answer{.occupied = m_lastReceivedAt - m_attemptSentAt};
    const std::size_t events = m_eventParser.eventCount() - m_eventsBeforeAttempt;
    const Duration streaming = m_lastReceivedAt - m_attemptFirstByteAt;
    // While a slow caller is written to, nothing is read from the target.
    if (events >= s_minEventsMeasured && m_writingTime < streaming / s_minStreamingPerWriting) {
        answer.streaming = streaming;
        answer.pauses = events - 1;
    }
    m_gateway.m_board.measureCompletion(m_placement->incarnation, answer, steadyNow());
}

asio::awaitable<bool> RequestHandler::growResponse(std::string &body)
{
    const std::size_t needed = body.size() + s_pieceBytes;
    if (body.capacity() >= needed) {
        co_return true;
    }
    const std::size_t most = s_maxBufferedBytes + s_pieceBytes;
    const std::size_t capacity = std::min(most, std::max(needed, 2 * body.capacity()));
    const bool granted = co_await m_exchange.growAnswer(capacity, most, m_deadline);
    if (granted) {
        body.reserve(capacity);
    }
    co_return granted;
}

asio::awaitable<AttemptOutcome> RequestHandler::receiveBufferedResponse(HttpStreamCall &call)
{
    BufferedResponse response{.status = call.status(), .headers = endToEndHeaders(call.headers())};
    HeldBytes held(m_gateway.m_traffic);
    bool more = true;
    while (more) {
        const bool room = co_await growResponse(response.body);
        if (!room) {
            const AttemptOutcome outcome = endOverlongAnswer("there was no room for the answer");
            m_targetSign = HealthSignal::Neutral;
            co_return outcome;
        }
        call.setTimeout(clampedTimeout(m_deadline - steadyNow()));
        absl::StatusOr<std::string> piece = co_await call.readSome();
        if (!piece.ok()) {
            const AttemptOutcome outcome = handleInterruptedResponse(piece.status());
            co_return outcome;
        }
        measureFirstByte();
        recordFirstByte();
        more = !piece->empty();
        if (more && m_bounds.timeOver(steadyNow())) {
            const AttemptOutcome outcome = endOverlongAnswer("the answer goes on after its time");
            co_return outcome;
        }
        if (more && m_hasSuccessStatus) {
            m_screening.answerContinued(steadyNow());
        }
        response.body.append(*piece);
        held.add(piece->size());
        if (response.body.size() > s_maxBufferedBytes && more) {
            const AttemptOutcome outcome = endOverlongAnswer("the answer is longer than may be held");
            // An answer with a length has an end.
            m_targetSign = m_framing == AnswerFraming::Length ? HealthSignal::Neutral : m_targetSign;
            co_return outcome;
        }
    }
    if (response.status >= s_minServerErrorStatus) {
        m_lastError = absl::StrCat("the target answered ", response.status);
        m_targetSign = HealthSignal::ErrorResponse;
        m_failureResponse = std::move(response);
        co_return AttemptOutcome::Failed;
    }
    m_targetSign = HealthSignal::Success;
    m_firstByteAt = steadyNow();
    // From here on the exchange counts the body.
    held.release();
    co_await m_exchange.respond(response.status, "", std::move(response.body), std::move(response.headers));
    co_return AttemptOutcome::Delivered;
}

asio::awaitable<bool> RequestHandler::forwardEvents(std::string_view events)
{
    m_firstByteAt = m_firstByteAt.value_or(steadyNow());
    const bool written = co_await m_exchange.writeChunk(events);
    m_callerDisconnected = m_callerDisconnected || !written;
    co_return written;
}

asio::awaitable<void> RequestHandler::startCallerStream(HttpStreamCall &call)
{
    if (m_streamStarted) {
        co_return;
    }
    m_streamStarted = true;
    m_binding.streamBegins(streamRequest(), *m_placement);
    std::vector<HttpHeader> headers = endToEndHeaders(call.headers());
    const bool headWritten = co_await m_exchange.beginStream(call.status(), "", std::move(headers));
    m_callerDisconnected = m_callerDisconnected || !headWritten;
}

asio::awaitable<AttemptOutcome> RequestHandler::forwardStream(HttpStreamCall &call)
{
    const Duration stallTimeout = streamStallTimeout(*m_route);
    HeldBytes held(m_gateway.m_traffic);
    bool more = true;
    bool first = true;
    while (more) {
        const Instant now = steadyNow();
        call.setTimeout(clampedTimeout(first ? attemptFirstByteTimeout(now) : std::min(m_deadline - now, stallTimeout)));
        const absl::StatusOr<std::string> piece = co_await call.readSome();
        if (!piece.ok()) {
            const AttemptOutcome outcome = handleInterruptedResponse(piece.status());
            co_return outcome;
        }
        measureFirstByte();
        recordFirstByte();
        first = false;
        more = !piece->empty();
        if (!more && brokenOff()) {
            const std::string_view where = m_eventParser.insideEvent() ? "inside an event" : "before its first event";
            const std::string detail = absl::StrCat("the stream ended ", std::string(where));
            ++m_closedInOrder;
            const AttemptOutcome outcome = handleInterruptedResponse(failed(FailureKind::AnswerIncomplete, detail, Executed::Yes));
            co_return outcome;
        }
        const std::string events = more ? m_eventParser.feed(*piece) : std::string(m_eventParser.incompleteEvent());
        std::optional<std::string_view> excess = m_bounds.received(piece->size(), m_eventParser.eventCount());
        if (!excess && more && m_bounds.timeOver(steadyNow())) {
            excess = "the stream goes on after its time";
        }
        if (excess) {
            const AttemptOutcome outcome = endOverlongAnswer(*excess);
            co_return outcome;
        }
        held.release();
        held.add(m_eventParser.incompleteEvent().size());
        if (events.empty()) {
            continue;
        }
        if (m_eventParser.eventCount() > m_eventsBeforeAttempt) {
            m_screening.answerContinued(steadyNow());
        }
        m_observed.received(m_eventParser.eventCount(), m_service != nullptr ? m_service->tokensPerEvent : 1, steadyNow());
        co_await startCallerStream(call);
        const Instant writingSince = steadyNow();
        const bool written = co_await forwardEvents(events);
        m_writingTime += steadyNow() - writingSince;
        if (!written || m_callerDisconnected) {
            call.cancel();
            co_return AttemptOutcome::CallerDisconnected;
        }
    }
    m_targetSign = HealthSignal::Success;
    co_await startCallerStream(call);
    co_await m_exchange.endStream();
    co_return AttemptOutcome::Delivered;
}

bool RequestHandler::brokenOff() const
{
    const bool nothingForwarded = !m_streamStarted && m_metadata.resumeAfter.empty();
    return m_eventParser.insideEvent() || (nothingForwarded && m_framing == AnswerFraming::Connection);
}

}
