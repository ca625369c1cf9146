#include "caller/requestdriver.h"

#include "clock/steadytime.h"
#include "link/framecodec.h"
#include "net/pause.h"
#include "operations/log.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bamboohold {

namespace {

constexpr Duration s_queuePollInterval = std::chrono::milliseconds(5);
constexpr Duration s_frameTimeout = std::chrono::milliseconds(500);
constexpr std::int64_t s_claimedRetryAfterMs = 2'000;
constexpr std::uint64_t s_initialCreditBytes = 256 * 1024;
constexpr std::size_t s_creditBatchBytes = 64 * 1024;

std::vector<HttpHeader> responseHeaders(const RoutedRequest &request)
{
    return {{.name = "X-Request-Id", .value = request.requestId}};
}

}

/// The state of one request that this router is processing.
struct RequestDriver::ActiveRequest {
    HttpExchange &exchange;
    RoutedRequest request;
    RequestStateMachine course;
    std::shared_ptr<AnswerMailbox> mailbox;
    TargetChoice choice;
    Instant startTime;
    std::optional<Instant> firstByte;
    unsigned status = 200;
    std::string contentType;
    std::string body;
    std::size_t uncreditedBytes = 0;
    std::uint64_t earliestFlush = 0;
    /// The peer whose grant pays for the request; empty if this router's own grant does.
    std::string payer;
    std::optional<Claim> claim;
    bool streaming = false;
    bool cancelSent = false;
    Instant cancelSentAt{};
    /// True once the caller has received its final response or has disconnected; only the settlement remains.
    bool callerFinished = false;
};

RequestDriver::RequestDriver(BudgetService &budgets,
                             Sponsorship &sponsors,
                             ClaimService &claims,
                             TargetTable &targets,
                             std::mutex &routingMutex,
                             Metrics &metrics,
                             Options options)
    : m_budgets(budgets)
    , m_sponsors(sponsors)
    , m_claims(claims)
    , m_targets(targets)
    , m_routingMutex(routingMutex)
    , m_metrics(metrics)
    , m_options(std::move(options))
{
}

void RequestDriver::setLink(LinkHub *link)
{
    m_link = link;
}

void RequestDriver::onFrame(wire::Frame &message)
{
    Mailboxes::const_accessor accessor;
    if (!m_mailboxes.find(accessor, message.request_id())) {
        ++m_strayFrames;
        return;
    }
    accessor->second->push(fromWire(message));
}

std::optional<Instant> RequestDriver::oldestStartTime() const
{
    const std::lock_guard lock(m_startTimesMutex);
    return m_startTimes.empty() ? std::nullopt : std::optional(*m_startTimes.begin());
}

asio::awaitable<void> RequestDriver::serve(HttpExchange &exchange, RoutedRequest request)
{
    ActiveRequest active{.exchange = exchange,
                         .request = std::move(request),
                         .course = RequestStateMachine({.maxAttempts = m_options.maxAttempts}),
                         .mailbox = std::make_shared<AnswerMailbox>(exchange.executor()),
                         .startTime = steadyNow()};
    exchange.onCallerDisconnect([mailbox = active.mailbox] {
        mailbox->markDisconnected();
    });
    if (active.request.nonIdempotent && !active.request.idempotencyKey.empty()) {
        const bool acquired = co_await claim(active);
        if (!acquired) {
            recordMetrics(active);
            co_return;
        }
    }
    if (!active.request.plainService()) {
        const absl::Status reserved = co_await reserve(active);
        if (!reserved.ok()) {
            active.course.onNoTarget(toFailure(reserved));
            co_await finishClaim(active);
            co_await sendResponse(active);
            recordMetrics(active);
            co_return;
        }
    }
    {
        const std::lock_guard lock(m_startTimesMutex);
        m_startTimes.insert(active.startTime);
    }
    m_mailboxes.emplace(active.request.requestId, active.mailbox);
    co_await attemptUntilFinished(active);
    m_mailboxes.erase(active.request.requestId);
    // Settle before the response ends, so that a caller who reads the budget after its response sees this request's charge.
    settle(active);
    {
        const std::lock_guard lock(m_startTimesMutex);
        m_startTimes.extract(active.startTime);
    }
    co_await finishClaim(active);
    co_await sendResponse(active);
    recordMetrics(active);
}

asio::awaitable<bool> RequestDriver::claim(ActiveRequest &active)
{
    Claim wanted{.key = claimKey(active.request.team, active.request.idempotencyKey),
                 .requestId = active.request.requestId,
                 .router = m_options.incarnation};
    const auto result = co_await m_claims.take(wanted);
    if (!result.ok()) {
        active.course.onNoTarget(toFailure(result.status()));
        co_await sendResponse(active);
        co_return false;
    }
    if (result->succeeded) {
        wanted.version = result->version;
        active.claim = std::move(wanted);
        co_return true;
    }
    Claim existing = result->existingClaim;
    co_await respondFromClaim(active, std::move(existing));
    co_return false;
}

asio::awaitable<void> RequestDriver::respondFromClaim(ActiveRequest &active, Claim existing)
{
    Failure failure{.kind = FailureKind::AlreadyRunning, .executed = Executed::Unknown, .retryAfterMs = s_claimedRetryAfterMs};
    failure.detail =
        absl::StrCat("request ", existing.requestId, " with this idempotency key is under way or was lost; it is not run again");
    if (existing.state == Claim::State::Done && existing.outcome == outcomeName(Outcome::Answered)) {
        const auto body = co_await m_claims.result(existing.resultObject);
        if (body.ok()) {
            std::vector<HttpHeader> headers = responseHeaders(active.request);
            headers.front().value = existing.requestId;
            headers.push_back({.name = "Idempotent-Replayed", .value = "true"});
            co_await active.exchange.respond(existing.status, existing.contentType, *body, std::move(headers));
            active.callerFinished = true;
        }
    } else if (existing.state == Claim::State::Done) {
        const bool ran = existing.outcome == outcomeName(Outcome::FailedAfterRunning);
        failure = Failure{.kind = FailureKind::EngineFailed, .executed = ran ? Executed::Yes : Executed::Unknown};
        failure.detail =
            absl::StrCat("request ", existing.requestId, " with this idempotency key ended as ", existing.outcome, "; it is not run again");
    }
    active.course.onExistingClaim(std::move(failure));
    if (!active.callerFinished) {
        co_await sendFailure(active, active.course.failure());
    }
}

asio::awaitable<void> RequestDriver::finishClaim(ActiveRequest &active)
{
    if (!active.claim) {
        co_return;
    }
    Claim claim = *active.claim;
    if (active.course.outcome() == Outcome::NotRun) {
        co_await m_claims.release(std::move(claim));
        co_return;
    }
    claim.state = Claim::State::Done;
    claim.outcome = outcomeName(active.course.outcome());
    if (active.course.outcome() == Outcome::Answered) {
        claim.resultObject = absl::StrCat("result/", active.request.requestId);
        claim.status = active.status;
        claim.contentType = active.contentType;
    }
    // If the table cannot be reached, the claim stays open and a retry is told that the request may have run.
    const absl::Status written = co_await m_claims.finish(std::move(claim), active.body);
    if (!written.ok()) {
        logLine(Severity::Warning, "cannot record the outcome of an idempotency claim", {{"request", active.request.requestId}});
    }
}

asio::awaitable<absl::Status> RequestDriver::reserve(ActiveRequest &active)
{
    const RoutedRequest &request = active.request;
    const Duration timeout = request.deadline - steadyNow();
    const absl::Status reserved = co_await m_budgets.reserve(request.budget, request.requestId, request.bound, timeout);
    active.earliestFlush = m_budgets.nextFlush();
    if (reserved.ok() || toFailure(reserved).kind != FailureKind::BudgetUnreachable) {
        co_return reserved;
    }
    Sponsorship::UnfundedRequest unfunded{.requestId = request.requestId,
                                          .budget = request.budget,
                                          .team = request.team,
                                          .bound = request.bound,
                                          .endsWithin = request.deadline - steadyNow() + m_options.targetTimeout};
    const auto sponsor = co_await m_sponsors.findSponsor(std::move(unfunded));
    if (!sponsor) {
        co_return reserved;
    }
    active.payer = sponsor->payer;
    active.earliestFlush = sponsor->earliestFlush;
    co_return absl::OkStatus();
}

asio::awaitable<void> RequestDriver::attemptUntilFinished(ActiveRequest &active)
{
    RequestAction step = RequestAction::RetryElsewhere;
    while (step == RequestAction::RetryElsewhere) {
        const bool sent = co_await dispatchAttempt(active);
        if (!sent) {
            co_return;
        }
        step = co_await processFrames(active);
    }
}

asio::awaitable<bool> RequestDriver::dispatchAttempt(ActiveRequest &active)
{
    const Instant queueDeadline = std::min(active.request.deadline, steadyNow() + m_options.queueTimeout);
    while (true) {
        std::optional<TargetChoice> choice;
        {
            const std::lock_guard lock(m_routingMutex);
            const TargetRequirements wish{.model = active.request.model, .service = active.request.service, .excluded = {}};
            choice = m_targets.choose(wish, steadyNow());
            if (choice) {
                m_targets.recordSent(choice->target);
            }
        }
        if (choice) {
            active.choice = *choice;
            const std::uint32_t attempt = active.course.beginAttempt(choice->target);
            sendDispatch(active, *choice, attempt);
            co_return true;
        }
        if (active.mailbox->isDisconnected()) {
            active.callerFinished = true;
            active.course.onNoTarget({.kind = FailureKind::Cancelled, .detail = "the caller hung up"});
            co_return false;
        }
        if (steadyNow() >= queueDeadline) {
            active.course.onNoTarget({.kind = FailureKind::NoTarget, .detail = "no target with room answers now", .retryAfterMs = 1000});
            co_return false;
        }
        co_await pause(s_queuePollInterval);
    }
}

void RequestDriver::sendDispatch(const ActiveRequest &active, const TargetChoice &choice, std::uint32_t attempt)
{
    const RoutedRequest &request = active.request;
    wire::Envelope envelope;
    wire::Dispatch &dispatch = *envelope.mutable_dispatch();
    dispatch.set_request_id(request.requestId);
    dispatch.set_attempt(attempt);
    dispatch.set_target_incarnation(choice.incarnation);
    dispatch.set_budget(request.budget);
    dispatch.set_team(request.team);
    dispatch.set_bound(request.bound);
    dispatch.set_method(request.method);
    dispatch.set_path(request.path);
    dispatch.set_content_type(request.contentType);
    dispatch.set_body(request.body);
    dispatch.set_plain_service(request.plainService());
    dispatch.set_credit_bytes(s_initialCreditBytes);
    dispatch.set_earliest_flush(active.earliestFlush);
    dispatch.set_payer(active.payer);
    dispatch.set_expires_in_ms(std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - steadyNow()).count());
    m_link->send(choice.target, envelope);
}

void RequestDriver::sendCancel(const ActiveRequest &active)
{
    wire::Envelope envelope;
    envelope.mutable_cancel()->set_request_id(active.request.requestId);
    envelope.mutable_cancel()->set_attempt(active.course.attempt());
    m_link->send(active.choice.target, envelope);
}

void RequestDriver::grantCredit(ActiveRequest &active, std::size_t bytes)
{
    active.uncreditedBytes += bytes;
    if (active.uncreditedBytes < s_creditBatchBytes) {
        return;
    }
    wire::Envelope envelope;
    envelope.mutable_credit()->set_request_id(active.request.requestId);
    envelope.mutable_credit()->set_attempt(active.course.attempt());
    envelope.mutable_credit()->set_bytes(std::exchange(active.uncreditedBytes, 0));
    m_link->send(active.choice.target, envelope);
}

asio::awaitable<void> RequestDriver::cancelIfDue(ActiveRequest &active)
{
    const bool deadlinePassed = steadyNow() >= active.request.deadline;
    const bool hungUp = active.mailbox->isDisconnected();
    if (active.cancelSent || (!deadlinePassed && !hungUp)) {
        co_return;
    }
    // The charge is known only when the engine has confirmed the cancellation, so the run stays open until then. The caller gets its
    // failure at once.
    active.cancelSent = true;
    active.cancelSentAt = steadyNow();
    sendCancel(active);
    if (!hungUp) {
        const Executed ran = active.course.hasDelivered() ? Executed::Yes : Executed::Unknown;
        Failure failure{.kind = FailureKind::DeadlineExceeded, .detail = "the deadline passed", .executed = ran};
        co_await sendFailure(active, std::move(failure));
    }
    active.callerFinished = true;
}

RequestAction RequestDriver::onFrameTimeout(ActiveRequest &active)
{
    // The link does not resend frames that were lost with a broken connection. Without this timeout, a request whose last frame was lost
    // would wait forever and block a drain.
    if (active.cancelSent && steadyNow() - active.cancelSentAt >= m_options.cancelTimeout) {
        return active.course.onLost(FailureKind::TargetLost);
    }
    std::string currentIncarnation;
    {
        const std::lock_guard lock(m_routingMutex);
        currentIncarnation = m_targets.liveIncarnation(active.choice.target, steadyNow(), m_options.targetTimeout);
    }
    return currentIncarnation == active.choice.incarnation ? RequestAction::Ignore : active.course.onLost(FailureKind::TargetLost);
}

void RequestDriver::releaseTarget(ActiveRequest &active, RequestAction step, const AnswerFrame &frame)
{
    const std::lock_guard lock(m_routingMutex);
    m_targets.recordDone(active.choice.target);
    if (step == RequestAction::RetryElsewhere) {
        const auto *refused = std::get_if<AnswerFrame::Refused>(&frame.content);
        m_targets.recordRefusal(active.choice.target, refused != nullptr && refused->reason == RunRefusal::Leaving, steadyNow());
    }
}

asio::awaitable<RequestAction> RequestDriver::processFrames(ActiveRequest &active)
{
    while (true) {
        auto frame = co_await active.mailbox->next(s_frameTimeout);
        co_await cancelIfDue(active);
        const RequestAction step = frame ? active.course.onFrame(*frame) : onFrameTimeout(active);
        if (!frame) {
            co_await pause(s_queuePollInterval);
            frame.emplace();
        }
        switch (step) {
        case RequestAction::Ignore:
            break;
        case RequestAction::LowerReservation:
            // The reservation of a sponsored request is held by its payer. It is unknown here, and lowering it has no effect.
            m_budgets.lowerReservation(active.request.budget,
                                       active.request.requestId,
                                       std::get<AnswerFrame::PromptCounted>(frame->content).tokens + active.request.outputLimit);
            break;
        case RequestAction::Deliver:
            co_await deliver(active, *frame);
            break;
        case RequestAction::RetryElsewhere:
        case RequestAction::Finish:
            releaseTarget(active, step, *frame);
            co_return step;
        }
    }
}

asio::awaitable<void> RequestDriver::deliver(ActiveRequest &active, const AnswerFrame &frame)
{
    if (const auto *head = std::get_if<AnswerFrame::Head>(&frame.content)) {
        active.status = head->status;
        active.contentType = head->contentType;
        active.streaming = active.request.streamed && head->status == 200;
        if (active.streaming) {
            co_await active.exchange.beginStream(200, head->contentType, responseHeaders(active.request));
        }
        co_return;
    }
    const std::string &bytes = std::get<AnswerFrame::Data>(frame.content).bytes;
    if (!active.firstByte) {
        active.firstByte = steadyNow();
    }
    // Keep the whole response if it is not streamed, or if a claim stores it to answer retries of the request.
    if (!active.streaming || active.claim) {
        active.body += bytes;
    }
    if (!active.streaming) {
        grantCredit(active, bytes.size());
        co_return;
    }
    if (!active.callerFinished) {
        const bool taken = co_await active.exchange.writeChunk(bytes);
        if (!taken) {
            active.mailbox->markDisconnected();
        }
    }
    grantCredit(active, bytes.size());
}

void RequestDriver::settle(const ActiveRequest &active)
{
    const RequestStateMachine &course = active.course;
    const RoutedRequest &request = active.request;
    if (request.plainService() && course.outcome() == Outcome::NotRun) {
        return;
    }
    if (!active.payer.empty()) {
        m_sponsors.reportEnd(active.payer, request.requestId, course);
        return;
    }
    Charge charge{.requestId = request.requestId,
                  .team = request.team,
                  .budget = request.budget,
                  .target = course.target(),
                  .attempt = course.attempt(),
                  .outcome = course.outcome(),
                  .chargedAtMs = wallClockMs()};
    if (course.usage()) {
        charge.promptTokens = course.usage()->prompt;
        charge.outputTokens = course.usage()->output;
    }
    const bool ran = course.outcome() != Outcome::NotRun;
    charge.estimated = ran && !request.plainService() && !course.usage();
    m_budgets.settle(std::move(charge), course.charged().value_or(request.bound));
}

asio::awaitable<void> RequestDriver::sendResponse(ActiveRequest &active)
{
    if (active.callerFinished) {
        co_return;
    }
    if (active.course.outcome() != Outcome::Answered) {
        co_await sendFailure(active, active.course.failure());
        co_return;
    }
    if (active.streaming) {
        co_await active.exchange.endStream();
        co_return;
    }
    co_await active.exchange.respond(active.status, active.contentType, std::move(active.body), responseHeaders(active.request));
}

asio::awaitable<void> RequestDriver::sendFailure(ActiveRequest &active, Failure failure)
{
    const std::string body = errorBody(failure, active.request.requestId);
    if (active.streaming) {
        // Close the connection without the final chunk, so that no client mistakes the partial response for a complete one.
        co_await active.exchange.writeChunk(absl::StrCat("data: ", body, "\n\n"));
        active.exchange.abortConnection();
        co_return;
    }
    std::vector<HttpHeader> headers = responseHeaders(active.request);
    appendRetryAfter(headers, failure);
    co_await active.exchange.respond(httpStatus(failure.kind), "application/json", body, std::move(headers));
}

void RequestDriver::recordMetrics(const ActiveRequest &active)
{
    const RequestStateMachine &course = active.course;
    const std::string_view outcome = outcomeName(course.outcome());
    m_metrics.count("bamboohold_requests_total", {.name = "outcome", .value = outcome});
    m_metrics.observe(
        "bamboohold_request_seconds", {.name = "team", .value = active.request.team}, seconds(steadyNow() - active.startTime));
    const std::string_view requestClass = active.request.plainService() ? "service" : active.streaming ? "streamed" : "whole";
    if (active.firstByte) {
        m_metrics.observe(
            "bamboohold_first_byte_seconds", {.name = "class", .value = requestClass}, seconds(*active.firstByte - active.startTime));
    }
    if (course.outcome() != Outcome::Answered) {
        const std::string_view type = failureName(course.failure().kind);
        m_metrics.count("bamboohold_failures_total", {.name = "type", .value = type});
        logLine(Severity::Info,
                "request not answered",
                {{"request", active.request.requestId},
                 {"team", active.request.team},
                 {"outcome", outcome},
                 {"type", type},
                 {"detail", course.failure().detail}});
    }
}

}
