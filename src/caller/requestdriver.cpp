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

constexpr Duration s_queuePoll = std::chrono::milliseconds(5);
constexpr Duration s_silenceCheck = std::chrono::milliseconds(500);
constexpr std::int64_t s_retryClaimedMs = 2'000;
constexpr std::uint64_t s_initialCredit = 256 * 1024;
constexpr std::size_t s_creditBatch = 64 * 1024;

std::vector<HttpHeader> answerHeaders(const RoutedRequest &request)
{
    return {{.name = "X-Request-Id", .value = request.requestId}};
}

}

/// One request's state while it is in this router.
struct RequestDriver::Journey {
    HttpExchange &exchange;
    RoutedRequest request;
    RequestCourse course;
    std::shared_ptr<AnswerMailbox> mailbox;
    TargetChoice choice;
    Instant begin;
    std::optional<Instant> firstByte;
    unsigned status = 200;
    std::string contentType;
    std::string body;
    std::size_t uncredited = 0;
    std::uint64_t earliestFlush = 0;
    /// The peer whose grant pays; empty for this router's own.
    std::string payer;
    std::optional<Claim> claim;
    bool streaming = false;
    bool cancelSent = false;
    Instant cancelSentAt{};
    /// The caller has its final answer, or hung up; only the settlement is still to come.
    bool callerDone = false;
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

std::optional<Instant> RequestDriver::oldestBegin() const
{
    const std::lock_guard lock(m_beginsMutex);
    return m_begins.empty() ? std::nullopt : std::optional(*m_begins.begin());
}

asio::awaitable<void> RequestDriver::serve(HttpExchange &exchange, RoutedRequest request)
{
    Journey journey{.exchange = exchange,
                    .request = std::move(request),
                    .course = RequestCourse({.maxAttempts = m_options.maxAttempts}),
                    .mailbox = std::make_shared<AnswerMailbox>(exchange.executor()),
                    .begin = steadyNow()};
    exchange.onCallerDisconnect([mailbox = journey.mailbox] {
        mailbox->hangUp();
    });
    if (journey.request.nonIdempotent && !journey.request.idempotencyKey.empty()) {
        const bool mine = co_await claim(journey);
        if (!mine) {
            observe(journey);
            co_return;
        }
    }
    if (!journey.request.plainService()) {
        const absl::Status reserved = co_await reserve(journey);
        if (!reserved.ok()) {
            journey.course.onNoTarget(toFailure(reserved));
            co_await closeClaim(journey);
            co_await answer(journey);
            observe(journey);
            co_return;
        }
    }
    {
        const std::lock_guard lock(m_beginsMutex);
        m_begins.insert(journey.begin);
    }
    m_mailboxes.emplace(journey.request.requestId, journey.mailbox);
    co_await travel(journey);
    m_mailboxes.erase(journey.request.requestId);
    // Settled before the caller has its answer's end: whoever asks for the budget next sees this request in it.
    settle(journey);
    {
        const std::lock_guard lock(m_beginsMutex);
        m_begins.extract(journey.begin);
    }
    co_await closeClaim(journey);
    co_await answer(journey);
    observe(journey);
}

asio::awaitable<bool> RequestDriver::claim(Journey &journey)
{
    Claim wanted{.key = claimKey(journey.request.team, journey.request.idempotencyKey),
                 .requestId = journey.request.requestId,
                 .router = m_options.incarnation};
    const auto result = co_await m_claims.take(wanted);
    if (!result.ok()) {
        journey.course.onNoTarget(toFailure(result.status()));
        co_await answer(journey);
        co_return false;
    }
    if (result->taken) {
        wanted.version = result->version;
        journey.claim = std::move(wanted);
        co_return true;
    }
    Claim standing = result->standing;
    co_await answerFromClaim(journey, std::move(standing));
    co_return false;
}

asio::awaitable<void> RequestDriver::answerFromClaim(Journey &journey, Claim standing)
{
    Failure failure{.kind = FailureKind::AlreadyRunning, .executed = Executed::Unknown, .retryAfterMs = s_retryClaimedMs};
    failure.detail =
        absl::StrCat("request ", standing.requestId, " with this idempotency key is under way or was lost; it is not run again");
    if (standing.state == Claim::State::Done && standing.outcome == outcomeName(Outcome::Answered)) {
        const auto body = co_await m_claims.result(standing.resultObject);
        if (body.ok()) {
            std::vector<HttpHeader> headers = answerHeaders(journey.request);
            headers.front().value = standing.requestId;
            headers.push_back({.name = "Idempotent-Replayed", .value = "true"});
            co_await journey.exchange.respond(standing.status, standing.contentType, *body, std::move(headers));
            journey.callerDone = true;
        }
    } else if (standing.state == Claim::State::Done) {
        const bool ran = standing.outcome == outcomeName(Outcome::FailedAfterRunning);
        failure = Failure{.kind = FailureKind::EngineFailed, .executed = ran ? Executed::Yes : Executed::Unknown};
        failure.detail =
            absl::StrCat("request ", standing.requestId, " with this idempotency key ended as ", standing.outcome, "; it is not run again");
    }
    journey.course.onStanding(std::move(failure));
    if (!journey.callerDone) {
        co_await answerFailure(journey, journey.course.failure());
    }
}

asio::awaitable<void> RequestDriver::closeClaim(Journey &journey)
{
    if (!journey.claim) {
        co_return;
    }
    Claim claim = *journey.claim;
    if (journey.course.outcome() == Outcome::NotRun) {
        co_await m_claims.release(std::move(claim));
        co_return;
    }
    claim.state = Claim::State::Done;
    claim.outcome = outcomeName(journey.course.outcome());
    if (journey.course.outcome() == Outcome::Answered) {
        claim.resultObject = absl::StrCat("result/", journey.request.requestId);
        claim.status = journey.status;
        claim.contentType = journey.contentType;
    }
    // Without an answer from the table the claim stays as it is, and a retry is told that the request may have run.
    const absl::Status written = co_await m_claims.finish(std::move(claim), journey.body);
    if (!written.ok()) {
        logLine(Severity::Warning, "a claim's end could not be written", {{"request", journey.request.requestId}});
    }
}

asio::awaitable<absl::Status> RequestDriver::reserve(Journey &journey)
{
    const RoutedRequest &request = journey.request;
    const Duration patience = request.deadline - steadyNow();
    const absl::Status reserved = co_await m_budgets.reserve(request.budget, request.requestId, request.bound, patience);
    journey.earliestFlush = m_budgets.nextFlush();
    if (reserved.ok() || toFailure(reserved).kind != FailureKind::BudgetUnreachable) {
        co_return reserved;
    }
    Sponsorship::UnfundedRequest need{.requestId = request.requestId,
                                      .budget = request.budget,
                                      .team = request.team,
                                      .bound = request.bound,
                                      .endsWithin = request.deadline - steadyNow() + m_options.targetSilence};
    const auto sponsor = co_await m_sponsors.findSponsor(std::move(need));
    if (!sponsor) {
        co_return reserved;
    }
    journey.payer = sponsor->payer;
    journey.earliestFlush = sponsor->earliestFlush;
    co_return absl::OkStatus();
}

asio::awaitable<void> RequestDriver::travel(Journey &journey)
{
    CourseStep step = CourseStep::TryElsewhere;
    while (step == CourseStep::TryElsewhere) {
        const bool sent = co_await openAttempt(journey);
        if (!sent) {
            co_return;
        }
        step = co_await takeFrames(journey);
    }
}

asio::awaitable<bool> RequestDriver::openAttempt(Journey &journey)
{
    const Instant patienceEnds = std::min(journey.request.deadline, steadyNow() + m_options.queuePatience);
    while (true) {
        std::optional<TargetChoice> choice;
        {
            const std::lock_guard lock(m_routingMutex);
            const TargetWish wish{.model = journey.request.model, .service = journey.request.service, .except = {}};
            choice = m_targets.choose(wish, steadyNow());
            if (choice) {
                m_targets.sent(choice->target);
            }
        }
        if (choice) {
            journey.choice = *choice;
            const std::uint32_t attempt = journey.course.beginAttempt(choice->target);
            sendDispatch(journey, *choice, attempt);
            co_return true;
        }
        if (journey.mailbox->hungUp()) {
            journey.callerDone = true;
            journey.course.onNoTarget({.kind = FailureKind::Cancelled, .detail = "the caller hung up"});
            co_return false;
        }
        if (steadyNow() >= patienceEnds) {
            journey.course.onNoTarget({.kind = FailureKind::NoTarget, .detail = "no target with room answers now", .retryAfterMs = 1000});
            co_return false;
        }
        co_await pause(s_queuePoll);
    }
}

void RequestDriver::sendDispatch(const Journey &journey, const TargetChoice &choice, std::uint32_t attempt)
{
    const RoutedRequest &request = journey.request;
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
    dispatch.set_credit_bytes(s_initialCredit);
    dispatch.set_earliest_flush(journey.earliestFlush);
    dispatch.set_payer(journey.payer);
    dispatch.set_expires_in_ms(std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - steadyNow()).count());
    m_link->send(choice.target, envelope);
}

void RequestDriver::sendCancel(const Journey &journey)
{
    wire::Envelope envelope;
    envelope.mutable_cancel()->set_request_id(journey.request.requestId);
    envelope.mutable_cancel()->set_attempt(journey.course.attempt());
    m_link->send(journey.choice.target, envelope);
}

void RequestDriver::giveCredit(Journey &journey, std::size_t bytes)
{
    journey.uncredited += bytes;
    if (journey.uncredited < s_creditBatch) {
        return;
    }
    wire::Envelope envelope;
    envelope.mutable_credit()->set_request_id(journey.request.requestId);
    envelope.mutable_credit()->set_attempt(journey.course.attempt());
    envelope.mutable_credit()->set_bytes(std::exchange(journey.uncredited, 0));
    m_link->send(journey.choice.target, envelope);
}

asio::awaitable<void> RequestDriver::giveUpIfDue(Journey &journey)
{
    const bool late = steadyNow() >= journey.request.deadline;
    const bool hungUp = journey.mailbox->hungUp();
    if (journey.cancelSent || (!late && !hungUp)) {
        co_return;
    }
    // The run goes on until the engine confirms the cancellation: only then is it known what to charge. The caller need not wait for that.
    journey.cancelSent = true;
    journey.cancelSentAt = steadyNow();
    sendCancel(journey);
    if (!hungUp) {
        const Executed ran = journey.course.begun() ? Executed::Yes : Executed::Unknown;
        Failure failure{.kind = FailureKind::DeadlineExceeded, .detail = "the deadline passed", .executed = ran};
        co_await answerFailure(journey, std::move(failure));
    }
    journey.callerDone = true;
}

CourseStep RequestDriver::onSilence(Journey &journey)
{
    // A frame lost on a broken connection is not sent again by itself; without this bound its request would wait for ever and keep a drain
    // from ending.
    if (journey.cancelSent && steadyNow() - journey.cancelSentAt >= m_options.cancelPatience) {
        return journey.course.onLost(FailureKind::TargetLost);
    }
    std::string heard;
    {
        const std::lock_guard lock(m_routingMutex);
        heard = m_targets.liveIncarnation(journey.choice.target, steadyNow(), m_options.targetSilence);
    }
    return heard == journey.choice.incarnation ? CourseStep::Ignore : journey.course.onLost(FailureKind::TargetLost);
}

void RequestDriver::closeAttempt(Journey &journey, CourseStep step, const AnswerFrame &frame)
{
    const std::lock_guard lock(m_routingMutex);
    m_targets.done(journey.choice.target);
    if (step == CourseStep::TryElsewhere) {
        const auto *refused = std::get_if<AnswerFrame::Refused>(&frame.content);
        m_targets.refused(journey.choice.target, refused != nullptr && refused->reason == RunRefusal::Leaving, steadyNow());
    }
}

asio::awaitable<CourseStep> RequestDriver::takeFrames(Journey &journey)
{
    while (true) {
        auto frame = co_await journey.mailbox->next(s_silenceCheck);
        co_await giveUpIfDue(journey);
        const CourseStep step = frame ? journey.course.onFrame(*frame) : onSilence(journey);
        if (!frame) {
            co_await pause(s_queuePoll);
            frame.emplace();
        }
        switch (step) {
        case CourseStep::Ignore:
            break;
        case CourseStep::Tighten:
            // A sponsored request's reservation is at its payer; nothing is known of it here, and lowering it is then without effect.
            m_budgets.lowerReservation(journey.request.budget,
                                       journey.request.requestId,
                                       std::get<AnswerFrame::PromptCounted>(frame->content).tokens + journey.request.outputLimit);
            break;
        case CourseStep::Deliver:
            co_await deliver(journey, *frame);
            break;
        case CourseStep::TryElsewhere:
        case CourseStep::Finish:
            closeAttempt(journey, step, *frame);
            co_return step;
        }
    }
}

asio::awaitable<void> RequestDriver::deliver(Journey &journey, const AnswerFrame &frame)
{
    if (const auto *head = std::get_if<AnswerFrame::Head>(&frame.content)) {
        journey.status = head->status;
        journey.contentType = head->contentType;
        journey.streaming = journey.request.streamed && head->status == 200;
        if (journey.streaming) {
            co_await journey.exchange.beginStream(200, head->contentType, answerHeaders(journey.request));
        }
        co_return;
    }
    const std::string &bytes = std::get<AnswerFrame::Data>(frame.content).bytes;
    if (!journey.firstByte) {
        journey.firstByte = steadyNow();
    }
    // The whole answer is kept where a retry of the request has to get it again.
    if (!journey.streaming || journey.claim) {
        journey.body += bytes;
    }
    if (!journey.streaming) {
        giveCredit(journey, bytes.size());
        co_return;
    }
    if (!journey.callerDone) {
        const bool taken = co_await journey.exchange.writeChunk(bytes);
        if (!taken) {
            journey.mailbox->hangUp();
        }
    }
    giveCredit(journey, bytes.size());
}

void RequestDriver::settle(const Journey &journey)
{
    const RequestCourse &course = journey.course;
    const RoutedRequest &request = journey.request;
    if (request.plainService() && course.outcome() == Outcome::NotRun) {
        return;
    }
    if (!journey.payer.empty()) {
        m_sponsors.reportEnd(journey.payer, request.requestId, course);
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

asio::awaitable<void> RequestDriver::answer(Journey &journey)
{
    if (journey.callerDone) {
        co_return;
    }
    if (journey.course.outcome() != Outcome::Answered) {
        co_await answerFailure(journey, journey.course.failure());
        co_return;
    }
    if (journey.streaming) {
        co_await journey.exchange.endStream();
        co_return;
    }
    co_await journey.exchange.respond(journey.status, journey.contentType, std::move(journey.body), answerHeaders(journey.request));
}

asio::awaitable<void> RequestDriver::answerFailure(Journey &journey, Failure failure)
{
    const std::string body = errorBody(failure, journey.request.requestId);
    if (journey.streaming) {
        // The chunked body is left without its end, so that no client takes what it has for the whole answer.
        co_await journey.exchange.writeChunk(absl::StrCat("data: ", body, "\n\n"));
        journey.exchange.abortConnection();
        co_return;
    }
    std::vector<HttpHeader> headers = answerHeaders(journey.request);
    appendRetryAfter(headers, failure);
    co_await journey.exchange.respond(httpStatus(failure.kind), "application/json", body, std::move(headers));
}

void RequestDriver::observe(const Journey &journey)
{
    const RequestCourse &course = journey.course;
    const std::string_view outcome = outcomeName(course.outcome());
    m_metrics.count("bamboohold_requests_total", {.name = "outcome", .value = outcome});
    m_metrics.observe("bamboohold_request_seconds", {.name = "team", .value = journey.request.team}, seconds(steadyNow() - journey.begin));
    const std::string_view requestClass = journey.request.plainService() ? "service" : journey.streaming ? "streamed" : "whole";
    if (journey.firstByte) {
        m_metrics.observe(
            "bamboohold_first_byte_seconds", {.name = "class", .value = requestClass}, seconds(*journey.firstByte - journey.begin));
    }
    if (course.outcome() != Outcome::Answered) {
        const std::string_view type = failureName(course.failure().kind);
        m_metrics.count("bamboohold_failures_total", {.name = "type", .value = type});
        logLine(Severity::Info,
                "request not answered",
                {{"request", journey.request.requestId},
                 {"team", journey.request.team},
                 {"outcome", outcome},
                 {"type", type},
                 {"detail", course.failure().detail}});
    }
}

}
