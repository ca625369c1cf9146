#include "gateway/requesthandler.h"

#include "clock/steadytime.h"
#include "gateway/drainadmission.h"
#include "gateway/requestcost.h"
#include "gateway/requesttimes.h"
#include "operations/log.h"
#include "routing/stablehash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace bamboohold {

namespace {

/// Opening a connection takes a few milliseconds. A host that has not accepted by then has lost power or is unreachable, and another target
/// can still serve the caller within most objectives.
constexpr Duration s_connectTimeout = std::chrono::milliseconds(250);
/// A target that restarted after a request was sent to it knows nothing of that request. If its host lost power or is unreachable, no TCP
/// reset arrives, and the caller would wait for half of its timeout or more in vain. Data that still arrives from the former process is
/// forwarded. After this silence, which is no longer than the pause that callers accept in a stream, the request is sent to another target.
constexpr Duration s_restartedTargetSilence = std::chrono::milliseconds(400);
/// Sent to callers while this router has no routing plan yet.
constexpr std::int64_t s_retryAfterStartupMs = 700;
/// One in this many requests that were answered within their objective is logged, and all others.
constexpr std::uint64_t s_successLogInterval = 32;
constexpr unsigned s_minSuccessStatus = 200;
constexpr unsigned s_minRedirectStatus = 300;

std::int64_t inMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}

RequestHandler::RequestHandler(Gateway &gateway, HttpExchange &exchange, std::shared_ptr<const RoutingPlan> plan, Instant arrived)
    : m_gateway(gateway)
    , m_exchange(exchange)
    , m_plan(std::move(plan))
    , m_arrived(arrived)
    , m_binding(gateway.m_board, gateway.m_streamOrigins, gateway.m_metrics)
    , m_screening(gateway.m_guard, exchange)
    , m_share(gateway.m_shares, gateway.m_metrics)
    , m_retries(gateway.m_retryBudget, gateway.m_metrics, gateway.m_options.fleetPosition)
{
    m_gateway.m_activeRequests.insert(this);
}

RequestHandler::~RequestHandler()
{
    m_gateway.m_activeRequests.erase(this);
    m_gateway.m_streamsInFlight -= m_countedStream ? 1 : 0;
}

asio::awaitable<void> RequestHandler::serve()
{
    absl::Status admitted = findRoute();
    if (admitted.ok()) {
        admitted = co_await continueStream();
    }
    if (admitted.ok()) {
        admitted = admitToHost();
    }
    if (!m_refusedByHost) {
        const bool read = co_await m_exchange.readBody(admitted.ok() ? BodyUse::Keep : BodyUse::Discard);
        if (!read) {
            co_return;
        }
    }
    if (admitted.ok()) {
        admitted = admit();
    }
    if (!admitted.ok()) {
        co_await refuse(toFailure(admitted));
        co_return;
    }
    const absl::Status reserved = co_await reserve();
    if (!reserved.ok()) {
        m_screening.notRun();
        co_await refuse(toFailure(reserved));
        co_return;
    }
    m_exchange.onCallerDisconnect([this] {
        m_callerDisconnected = true;
        if (m_ticket) {
            m_gateway.m_dispatcher.callerLeft(*m_ticket);
        }
        // A request that must not run twice is left to finish at its target: if it were cancelled midway, nobody would know what it has
        // changed.
        if (m_activeCall != nullptr && m_route->repeatability != Repeatability::AtMostOnce) {
            m_activeCall->cancel();
        }
    });
    const AttemptOutcome outcome = co_await runAttempts();
    settle(outcome);
    m_observed.end(outcome == AttemptOutcome::TimedOut, steadyNow());
    if (m_possibleExecutions == 0) {
        m_screening.notRun();
    }
    co_await finish(outcome);
}

absl::StatusOr<RequestHandler::Access> RequestHandler::findAccess(const RoutingPlan &plan) const
{
    const Route *route = plan.findRoute(m_exchange.header("Host"), m_exchange.path());
    if (route == nullptr) {
        return failed(FailureKind::NotFound, absl::StrCat("no route for ", std::string(m_exchange.path())));
    }
    const TeamPlan *team = nullptr;
    if (plan.hasTeams() && !route->allowsAnonymous) {
        team = plan.findTeamByKey(m_metadata.apiKey);
        if (team == nullptr) {
            return failed(FailureKind::Unauthenticated, "no team has this key");
        }
    }
    return Access{.route = route, .team = team, .priority = team != nullptr ? team->priority.value_or(route->priority) : route->priority};
}

absl::StatusOr<Urgency> RequestHandler::reconsider(const RoutingPlan &plan)
{
    const absl::StatusOr<Access> access = findAccess(plan);
    if (!access.ok()) {
        return access.status();
    }
    m_priority = access->priority;
    m_urgency = plan.urgency(m_serviceName, m_priority);
    return m_urgency;
}

bool RequestHandler::endsBeforeShutdown(Instant now) const
{
    if (!m_gateway.m_drain) {
        return true;
    }
    const DrainAdmission::Request request{.stream = m_route->repeatability == Repeatability::Stream,
                                          .promptTokens = m_metadata.promptTokens,
                                          .maxOutputTokens = m_metadata.maxOutputTokens,
                                          .deadline = m_deadline};
    return DrainAdmission(m_gateway.m_drain->shutdownTime).admits(request, m_gateway.m_streamDurations[m_serviceName], now);
}

Failure RequestHandler::drainFailure(std::string detail, Instant now) const
{
    const DrainRetry retry = m_gateway.drainRetry(now);
    return {.kind = FailureKind::Draining,
            .detail = absl::StrCat(detail, "; routers that accept: ", retry.acceptingRouters),
            .retryAfterMs = inMs(retry.after)};
}

absl::Status RequestHandler::findRoute()
{
    absl::StatusOr<RequestMetadata> metadata = m_gateway.m_options.codec.readRequest(m_exchange.request());
    if (!metadata.ok()) {
        return metadata.status();
    }
    m_metadata = *std::move(metadata);
    if (!m_plan) {
        // Without a plan it is unknown whether the route or the key exists, so "no such route" could be wrong.
        return toStatus({.kind = FailureKind::Draining, .detail = "no configuration known yet", .retryAfterMs = s_retryAfterStartupMs});
    }
    const absl::StatusOr<Access> access = findAccess(*m_plan);
    if (!access.ok()) {
        return access.status();
    }
    m_route = access->route;
    m_team = access->team != nullptr ? access->team->name : std::string();
    m_priority = access->priority;
    m_serviceName = m_gateway.chooseService(*m_route);
    m_deadline = m_arrived + std::min(m_metadata.callerTimeout, m_route->timeout);
    m_bounds = AnswerBounds({.deadline = m_deadline, .maxTokens = m_metadata.maxOutputTokens});
    return absl::OkStatus();
}

asio::awaitable<absl::Status> RequestHandler::continueStream()
{
    if (m_route->repeatability != Repeatability::Stream || m_metadata.resumeAfter.empty()) {
        co_return absl::OkStatus();
    }
    StreamBinding::Request request = streamRequest();
    const Continuation continuation = co_await m_binding.takeUp(std::move(request));
    if (continuation.kind == Continuation::Kind::Nowhere) {
        const Instant now = steadyNow();
        const RetryAfterRequest refused{.service = m_serviceName,
                                        .urgency = m_plan->urgency(m_serviceName, m_priority),
                                        .requestHash = stableHash(m_metadata.requestId),
                                        .timeLeft = m_deadline - now};
        co_return toStatus({.kind = FailureKind::NoTarget,
                            .detail = absl::StrCat("the stream cannot go on: ", std::string(continuation.reason)),
                            .retryAfterMs = inMs(m_gateway.retryAfter(refused, now))});
    }
    if (!continuation.origin.service.empty()) {
        m_serviceName = continuation.origin.service;
    }
    co_return absl::OkStatus();
}

StreamBinding::Request RequestHandler::streamRequest() const
{
    return {.metadata = m_metadata, .route = *m_route, .team = m_team, .service = m_serviceName};
}

absl::Status RequestHandler::admitToHost()
{
    m_retries.begin(m_metadata.requestId, m_serviceName, m_arrived);
    m_share.arrive(shareRequest(), m_arrived);
    if (m_gateway.refusesAsFull(m_route->latencyObjective, m_arrived) && !m_share.isPromised()) {
        countHostRefusal("full");
        return toStatus({.kind = FailureKind::Overloaded,
                         .detail = "this router is full and would answer late",
                         .retryAfterMs = inMs(m_gateway.redirectDelay(m_arrived))});
    }
    m_service = m_plan->findService(m_serviceName);
    m_urgency = m_plan->urgency(m_serviceName, m_priority);
    if (m_gateway.shouldShed(m_metadata.requestId, m_serviceName, m_urgency, m_arrived) && !m_share.isPromised()) {
        countHostRefusal("share");
        return toStatus({.kind = FailureKind::Overloaded,
                         .detail = "this router is overloaded",
                         .retryAfterMs = inMs(m_gateway.redirectDelay(m_arrived))});
    }
    ++m_gateway.m_servedByHost;
    return absl::OkStatus();
}

absl::Status RequestHandler::admit()
{
    // It may have waited for the first configuration, for the keepers of a stream, or for its body.
    const Instant now = steadyNow();
    if (!endsBeforeShutdown(now)) {
        return toStatus(drainFailure("this router ends before the request would", now));
    }
    m_screening.identify({.team = m_team, .service = m_serviceName, .model = m_metadata.model, .prompt = m_metadata.prompt});
    if (const absl::Status held = m_screening.admit(); !held.ok()) {
        return held;
    }
    m_countedStream = m_route->repeatability == Repeatability::Stream;
    m_gateway.m_streamsInFlight += m_countedStream ? 1 : 0;
    return absl::OkStatus();
}

ServiceShares::Request RequestHandler::shareRequest() const
{
    return {.service = m_serviceName,
            .team = m_team,
            .route = m_route->name,
            .tokens = m_metadata.worstCaseTokens(),
            .hash = stableHash(m_metadata.requestId)};
}

asio::awaitable<absl::Status> RequestHandler::reserve()
{
    if (m_team.empty() || m_metadata.worstCaseTokens() == 0) {
        co_return absl::OkStatus();
    }
    const auto &teams = m_plan->teams();
    const auto team = std::ranges::find(teams, m_team, &TeamPlan::name);
    if (!team->prepaid) {
        co_return absl::OkStatus();
    }
    const absl::StatusOr<Reservation> made = co_await m_gateway.m_ledger.reserve(m_team, m_metadata.worstCaseTokens());
    if (made.ok()) {
        m_reservation = *made;
    }
    co_return made.status();
}

asio::awaitable<AttemptOutcome> RequestHandler::runAttempts()
{
    AttemptOutcome outcome = AttemptOutcome::NotRun;
    m_lastError = "no target";
    do {
        if (m_callerDisconnected || m_exchange.isCallerDisconnected()) {
            m_callerDisconnected = true;
            co_return m_possibleExecutions == 0 ? AttemptOutcome::NotRun : AttemptOutcome::CallerDisconnected;
        }
        const PlacementRequest wish{.service = m_serviceName,
                                    .version = m_binding.version(),
                                    .prompt = m_metadata.prompt,
                                    .excluded = m_triedTargets,
                                    .seed = stableHash(m_metadata.requestId) + m_triedTargets.size()};
        std::optional<Placement> placement;
        if (m_triedTargets.empty()) {
            placement = co_await placeFirst(wish);
        } else {
            // A request that a target declined has waited already.
            placement = co_await m_gateway.m_chooser.place(wish, m_service != nullptr ? m_service->coldRequestsPerSecond : 0);
        }
        if (m_callerDisconnected) {
            co_return m_possibleExecutions == 0 ? AttemptOutcome::NotRun : AttemptOutcome::CallerDisconnected;
        }
        if (!placement) {
            co_return outcome;
        }
        const Instant now = steadyNow();
        // It may have waited for tokens, a target or another target's refusal. One that may have run is not refused any more.
        if (m_possibleExecutions == 0 && !endsBeforeShutdown(now)) {
            m_refusal = drainFailure("this router ends before the request would", now);
            co_return AttemptOutcome::NotRun;
        }
        m_triedTargets.push_back(placement->incarnation);
        m_placement = placement;
        m_attemptSentAt = now;
        m_screening.attemptSent(now);
        m_firstByteReceived = false;
        m_eventsBeforeAttempt = m_eventParser.eventCount();
        m_bounds.beginAttempt(m_eventsBeforeAttempt);
        m_writingTime = Duration::zero();
        m_framing.reset();
        m_connectionLost = false;
        m_connectTimedOut = false;
        m_lastReceivedAt = now;
        m_targetSign = HealthSignal::Neutral;
        if (m_countedStream) {
            m_observed.begin(m_gateway.m_streamDurations[m_serviceName], m_metadata.promptTokens, m_arrived);
        }
        m_gateway.m_board.requestSent(placement->incarnation, m_metadata.prompt, placement->uncachedTokens, now);
        m_gateway.recordDispatch(m_serviceName, now);
        m_share.dispatched(now);
        m_gateway.m_chooser.countSent(*placement, m_metadata.requestId);
        m_gateway.m_chooser.reportLoad(placement->incarnation);
        outcome = co_await runAttempt(*placement);
        recordAttemptOutcome(outcome);
    } while (shouldRetry(outcome, steadyNow()));
    co_return outcome;
}

QueueDispatcher::Ticket RequestHandler::queueTicket()
{
    return {.service = m_serviceName,
            .version = m_binding.version(),
            .team = m_team,
            .route = m_route->name,
            .urgency = m_urgency,
            .tokens = m_metadata.worstCaseTokens(),
            .bytes = m_exchange.request().body().size(),
            .arrived = m_arrived,
            .deadline = m_deadline,
            .objective = m_route->latencyObjective,
            .strictestObjective = m_plan->strictestObjective(m_serviceName, m_urgency),
            .coldPerSecond = m_service != nullptr ? m_service->coldRequestsPerSecond : 0,
            .promised = m_share.isPromised(),
            .reconsider =
                [this](const RoutingPlan &plan) {
                    return reconsider(plan);
                },
            .endsBeforeShutdown =
                [this](Instant now) {
                    return endsBeforeShutdown(now);
                },
            .callerLeft =
                [this] {
                    return m_callerDisconnected;
                }};
}

asio::awaitable<std::optional<Placement>> RequestHandler::placeFirst(PlacementRequest wish)
{
    m_ticket = queueTicket();
    QueueDispatcher::Result result = co_await m_gateway.m_dispatcher.place(*m_ticket, wish);
    m_ticket.reset();
    m_queued = result.queued;
    if (result.refusal) {
        m_refusal = queueFailure(*result.refusal);
    } else if (!result.denied.ok()) {
        m_refusal = toFailure(result.denied);
    } else if (result.placement) {
        // Targets may have crashed under other requests like it while it waited for tokens or in the queue.
        const absl::Status held = m_screening.admit();
        m_refusal = held.ok() ? std::nullopt : std::optional(toFailure(held));
    }
    if (m_refusal) {
        result.placement.reset();
    }
    co_return std::move(result.placement);
}

Failure RequestHandler::queueFailure(QueueRefusal refusal)
{
    const std::string detail = absl::StrCat("not sent to a target: ", std::string(refusalDetail(refusal)));
    const Instant now = steadyNow();
    if (refusal == QueueRefusal::Draining) {
        return drainFailure(detail, now);
    }
    m_share.refused(refusalName(refusal), now);
    const RetryAfterRequest request{
        .service = m_serviceName, .urgency = m_urgency, .requestHash = stableHash(m_metadata.requestId), .timeLeft = m_deadline - now};
    return {.kind = FailureKind::Overloaded, .detail = detail, .retryAfterMs = inMs(m_gateway.retryAfter(request, now))};
}

void RequestHandler::abandonRestartedTarget(Instant now)
{
    const bool abandonable = m_activeCall != nullptr && m_route->repeatable() && now - m_lastReceivedAt >= s_restartedTargetSilence;
    if (abandonable && m_gateway.m_board.hasRestarted(m_placement->name, m_placement->incarnation)) {
        m_activeCall->cancel();
    }
}

void RequestHandler::recordAttemptOutcome(AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::Delivered && m_hasSuccessStatus) {
        measureCompletion();
    }
    recordFirstByte();
    m_retries.attemptEnded(outcome, m_streamStarted);
    m_gateway.m_board.attemptEnded(m_placement->incarnation, m_targetSign, steadyNow());
    m_gateway.m_chooser.reportLoad(m_placement->incarnation);
    m_gateway.m_dispatcher.capacityMayHaveGrown(m_serviceName);
    if (outcome != AttemptOutcome::NotRun) {
        ++m_possibleExecutions;
    } else {
        m_gateway.revokeDispatch(m_serviceName, m_attemptSentAt);
        m_share.refused("declined", steadyNow());
    }
    reportInterruption(outcome);
    // An error response proves nothing, because the target may have sent it before it began to run the request.
    if (outcome == AttemptOutcome::Delivered && m_hasSuccessStatus) {
        m_screening.answerCompleted();
    }
    if (outcome != AttemptOutcome::Delivered && outcome != AttemptOutcome::CallerDisconnected) {
        logLine(Severity::Info,
                "attempt.ended",
                {{"request", m_metadata.requestId},
                 {"fingerprint", m_screening.fingerprintText()},
                 {"parts", m_screening.partsText()},
                 {"target", m_placement->incarnation},
                 {"version", m_placement->version},
                 {"may_have_run", static_cast<std::int64_t>(outcome != AttemptOutcome::NotRun)},
                 {"problem", m_lastError},
                 {"framing", m_framing ? framingName(*m_framing) : std::string_view()},
                 {"events", static_cast<std::int64_t>(m_eventParser.eventCount())},
                 {"after_ms", inMs(steadyNow() - m_attemptSentAt)}});
    }
}

bool RequestHandler::shouldRetry(AttemptOutcome outcome, Instant now)
{
    const bool retryableOutcome =
        outcome == AttemptOutcome::NotRun || outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::Incomplete;
    if (!retryableOutcome || m_failedInside || m_callerDisconnected
        || !RequestRetries::worthTrying(m_triedTargets.size(), m_deadline - now)) {
        return false;
    }
    // On a congested link each further target would cost another connection timeout, and the caller can still be served through another
    // host. A request that may have run must not be refused as not run, so it is still tried.
    if (m_hostCongested && m_possibleExecutions == 0) {
        return false;
    }
    const bool mayHaveRun = outcome != AttemptOutcome::NotRun;
    if (mayHaveRun && (!m_route->repeatable() || m_possibleExecutions >= m_route->maxAttempts)) {
        return false;
    }
    if (m_bounds.tooManyEvents(m_eventParser.eventCount())) {
        return false;
    }
    if (!streamMayGoOn()) {
        m_lastError.append(m_eventParser.canGoOn() ? "; the version that began the stream is not known"
                                                   : "; its last id cannot be sent on");
        return false;
    }
    const bool quarantined = mayHaveRun ? m_screening.mayNotRunAgain() : !m_screening.recheck().ok();
    if (quarantined) {
        m_lastError.append("; targets crashed under this request, or under others with a part of its prompt");
        return false;
    }
    if (!m_retries.maySend(now)) {
        m_lastError.append("; retry budget used up");
        return false;
    }
    if (outcome == AttemptOutcome::Incomplete) {
        m_hasUncountedAttempt = m_possibleExecutions > m_closedInOrder;
        m_eventParser.discardIncompleteEvent();
    }
    return true;
}

HttpCallOptions RequestHandler::callOptions(const Placement &placement, Instant now)
{
    const HttpRequest &request = m_exchange.request();
    DispatchMetadata metadata{.incarnation = placement.name, .team = m_team, .timeLeft = m_deadline - now, .priority = m_priority};
    if (m_streamStarted) {
        metadata.resumeAfter = m_eventParser.lastEventId();
    }
    HttpCallOptions options{.method = std::string(request.method_string()),
                            .path = std::string(request.target()),
                            .contentType = "",
                            .body = request.body(),
                            .headers = m_gateway.m_options.codec.dispatchHeaders(request, metadata),
                            .host = std::string(m_exchange.header("Host")),
                            .timeout = attemptFirstByteTimeout(now),
                            .renewWait =
                                [this] {
                                    return renewWait();
                                },
                            .connectTimeout = s_connectTimeout,
                            .sendBefore = placement.sendBefore};
    options.onConnect = [this](bool opened, Duration took) {
        m_connectTimedOut = !opened;
        m_gateway.recordConnect(*m_placement, opened, took);
    };
    // A delayed event loop learns that a caller has disconnected long after the kernel, and a call that must not run twice is not cancelled
    // by the disconnect. So the connection is checked right before sending, and so is the quarantine.
    options.stillWanted = [this] {
        m_callerDisconnected = m_callerDisconnected || m_exchange.isCallerDisconnected();
        return !m_callerDisconnected && m_screening.recheck().ok() && m_retries.trySend(m_placement->incarnation, steadyNow());
    };
    options.matchesRequest = [this](const http::fields &fields) {
        const ResponseMetadata response = m_gateway.m_options.codec.readResponse(s_minSuccessStatus, fields);
        return response.requestId.empty() || response.requestId == m_metadata.requestId;
    };
    return options;
}

AttemptOutcome RequestHandler::outcomeOf(const absl::Status &status) const
{
    if (toFailure(status).executed == Executed::No) {
        return AttemptOutcome::NotRun;
    }
    if (m_callerDisconnected) {
        return AttemptOutcome::CallerDisconnected;
    }
    return steadyNow() >= m_deadline ? AttemptOutcome::TimedOut : AttemptOutcome::Incomplete;
}

asio::awaitable<AttemptOutcome> RequestHandler::runAttempt(const Placement &placement)
{
    try {
        const AttemptOutcome outcome = co_await callTarget(placement);
        co_return outcome;
    } catch (const std::exception &exception) {
        m_activeCall = nullptr;
        m_targetSign = HealthSignal::Neutral;
        m_lastError = absl::StrCat("exception: ", exception.what());
        m_failedInside = true;
    }
    logLine(Severity::Error, "attempt.exception", {{"request", m_metadata.requestId}, {"detail", m_lastError}});
    co_return AttemptOutcome::Incomplete;
}

asio::awaitable<AttemptOutcome> RequestHandler::callTarget(const Placement &placement)
{
    HttpCallOptions options = callOptions(placement, m_attemptSentAt);
    const std::shared_ptr<HttpClient> client = m_gateway.clientFor(placement);
    HttpStreamCall call(*client, std::move(options));
    m_activeCall = &call;
    const absl::Status started = co_await call.start();
    AttemptOutcome outcome = AttemptOutcome::Incomplete;
    if (started.ok()) {
        outcome = co_await receiveResponse(call);
    } else {
        outcome = outcomeOf(started);
        m_lastError = std::string(started.message());
        m_connectionLost = !call.cancelled();
        m_hostCongested = m_connectTimedOut && m_gateway.networkCongested();
        const bool cancelledHere = m_callerDisconnected || toFailure(started).kind != FailureKind::TargetLost;
        m_targetSign = cancelledHere || m_hostCongested ? HealthSignal::Neutral : HealthSignal::ConnectionFailure;
    }
    m_activeCall = nullptr;
    co_return outcome;
}

asio::awaitable<AttemptOutcome> RequestHandler::receiveResponse(HttpStreamCall &call)
{
    const ResponseMetadata response = m_gateway.m_options.codec.readResponse(call.status(), call.headers());
    const unsigned status = call.status();
    m_gateway.m_chooser.applyAnswerTerms(m_placement->incarnation, response, m_attemptSentAt);
    if (response.notRun) {
        m_lastError = absl::StrCat("declined with ", status);
        m_targetSign = response.misdirected ? HealthSignal::Neutral : HealthSignal::Declined;
        co_return AttemptOutcome::NotRun;
    }
    const bool success = status >= s_minSuccessStatus && status < s_minRedirectStatus;
    m_hasSuccessStatus = success;
    m_framing = call.framing();
    if (response.contentEncoded || (success && !response.sealed)) {
        m_lastError = response.contentEncoded ? "the body is encoded" : "no seal";
        m_targetSign = HealthSignal::ErrorResponse;
        co_return AttemptOutcome::Incomplete;
    }
    const bool stream = success && m_route->repeatability == Repeatability::Stream;
    AttemptOutcome outcome = AttemptOutcome::Incomplete;
    if (stream) {
        outcome = co_await forwardStream(call);
    } else {
        outcome = co_await receiveBufferedResponse(call);
    }
    co_return outcome;
}

void RequestHandler::settle(AttemptOutcome outcome)
{
    if (!m_reservation) {
        return;
    }
    const Tokens used = usedTokens(m_metadata,
                                   {.outcome = outcome,
                                    .possibleExecutions = m_possibleExecutions,
                                    .hasUncountedAttempt = m_hasUncountedAttempt,
                                    .closedInOrder = m_closedInOrder,
                                    .streamed = m_streamStarted,
                                    .events = m_eventParser.eventCount(),
                                    .tokensPerEvent = m_service != nullptr ? m_service->tokensPerEvent : 1});
    m_gateway.m_ledger.settle(m_team, *m_reservation, used);
    m_charged = used;
    m_reservation.reset();
}

asio::awaitable<void> RequestHandler::finish(AttemptOutcome outcome)
{
    const std::string summary = absl::StrCat(m_possibleExecutions, " of ", m_triedTargets.size(), " attempts may have run; ", m_lastError);
    if (outcome == AttemptOutcome::Delivered) {
        logRequestEnd("answered", "");
        co_return;
    }
    if (outcome == AttemptOutcome::CallerDisconnected || m_callerDisconnected) {
        logRequestEnd("caller_left", summary);
        m_exchange.abortConnection();
        co_return;
    }
    if (m_streamStarted || m_exchange.answered()) {
        // Closes the connection without the end of the answer, so that the caller does not take it for complete.
        logRequestEnd("stream_cut", summary);
        m_exchange.abortConnection();
        co_return;
    }
    if (m_failureResponse) {
        logRequestEnd("target_failed", summary);
        co_await m_exchange.respond(
            m_failureResponse->status, "", std::move(m_failureResponse->body), std::move(m_failureResponse->headers));
        co_return;
    }
    if (m_refusal) {
        co_await refuse(*m_refusal);
        co_return;
    }
    const bool notRun = m_possibleExecutions == 0;
    const absl::Status held = notRun ? m_screening.recheck() : absl::OkStatus();
    if (!held.ok()) {
        co_await refuse(toFailure(held));
        co_return;
    }
    Failure failure{.kind = FailureKind::TargetLost, .detail = summary, .executed = notRun ? Executed::No : Executed::Unknown};
    if (notRun && m_hostCongested) {
        countHostRefusal("congested");
        failure.kind = FailureKind::Overloaded;
        failure.retryAfterMs = inMs(m_gateway.redirectDelay(steadyNow()));
        failure.detail = absl::StrCat("this host's network is congested; ", summary);
    } else if (notRun) {
        failure.kind = m_triedTargets.empty() ? FailureKind::NoTarget : FailureKind::Overloaded;
        const Instant now = steadyNow();
        const std::optional<Instant> opens = m_gateway.m_board.nextResumption(m_serviceName, now);
        failure.retryAfterMs = inMs(m_gateway.retryAfter(
            {.service = m_serviceName, .urgency = m_urgency, .requestHash = stableHash(m_metadata.requestId), .timeLeft = m_deadline - now},
            now));
        failure.detail.append(opens ? "; all targets rest, or admit no more" : "");
    } else if (outcome == AttemptOutcome::TimedOut) {
        failure.kind = FailureKind::DeadlineExceeded;
    }
    co_await refuse(failure);
}

void RequestHandler::countHostRefusal(std::string_view reason)
{
    m_refusedByHost = true;
    const std::string priority = absl::StrCat(m_priority);
    const std::array<MetricLabel, 2> labels{{{.name = "priority", .value = priority}, {.name = "reason", .value = reason}}};
    m_gateway.m_metrics.count("host_refused_total", labels);
    m_share.refused("host_overloaded", steadyNow());
}

asio::awaitable<void> RequestHandler::refuse(const Failure &failure)
{
    m_retryAfterMs = failure.retryAfterMs;
    if (m_retryAfterMs && !m_serviceName.empty()) {
        const double retrySeconds = seconds(std::chrono::milliseconds(*m_retryAfterMs));
        m_gateway.m_metrics.observe("retry_after_seconds", {.name = "service", .value = m_serviceName}, retrySeconds);
    }
    if (m_refusedByHost) {
        // On an open connection the caller's next request would reach this host again.
        m_exchange.setConnectionClose();
    }
    logRequestEnd(failureName(failure.kind), failure.detail);
    FailureResponse refusal = m_gateway.m_options.codec.failureResponse(failure);
    std::string body = errorBody(failure, m_metadata.requestId);
    co_await m_exchange.respond(refusal.status, "application/json", std::move(body), std::move(refusal.headers));
}

void RequestHandler::reportInterruption(AttemptOutcome outcome)
{
    if (!m_gateway.m_options.quarantinesRequests) {
        return;
    }
    // If a caller disconnects before the first byte, no interrupted response will show whether the target crashed, so the target is probed
    // in this case, too. A host that sheds load does not do this: many of its callers disconnect each second because of the overload, and
    // the probes would use up the rest of its processor time.
    const bool notShedding = m_gateway.m_shedder.refusedShare() == 0;
    const bool leftBeforeFirstByte = notShedding && outcome == AttemptOutcome::CallerDisconnected && !m_firstByteAt;
    if (leftBeforeFirstByte || (m_connectionLost && outcome != AttemptOutcome::NotRun && outcome != AttemptOutcome::TimedOut)) {
        m_screening.attemptInterrupted({.incarnation = m_placement->incarnation, .address = m_placement->address});
    } else if (outcome == AttemptOutcome::CallerDisconnected) {
        m_screening.callerDisconnected({.incarnation = m_placement->incarnation, .address = m_placement->address});
    }
}

void RequestHandler::logRequestEnd(std::string_view outcomeName, std::string_view detail)
{
    const Instant now = steadyNow();
    const std::string route = m_route != nullptr ? m_route->name : std::string();
    const std::array<MetricLabel, 2> byRoute{{{.name = "route", .value = route}, {.name = "outcome", .value = outcomeName}}};
    m_gateway.m_metrics.count("requests_total", byRoute);
    const std::array<MetricLabel, 2> byTeam{{{.name = "team", .value = m_team}, {.name = "outcome", .value = outcomeName}}};
    m_gateway.m_metrics.count("team_requests_total", byTeam);
    if (m_charged > 0) {
        m_gateway.m_metrics.count("team_charged_tokens_total", byTeam, m_charged);
    }
    if (m_firstByteAt) {
        m_gateway.m_metrics.observe("first_byte_seconds", {.name = "route", .value = route}, seconds(*m_firstByteAt - m_arrived));
    }
    const bool withinObjective = outcomeName == "answered" && m_firstByteAt && *m_firstByteAt - m_arrived <= m_route->latencyObjective;
    const std::size_t incompleteBytes = m_eventParser.incompleteEvent().size();
    static std::uint64_t s_timelySuccesses = 0;
    if (withinObjective && incompleteBytes == 0 && ++s_timelySuccesses % s_successLogInterval != 0) {
        return;
    }
    logLine(Severity::Info,
            "request.ended",
            {{"request", m_metadata.requestId},
             {"resumes", m_metadata.resumes},
             {"fingerprint", m_screening.fingerprintText()},
             {"parts", m_screening.partsText()},
             {"quarantined", m_screening.quarantinedText()},
             {"outcome", outcomeName},
             {"detail", detail},
             {"route", route},
             {"team", m_team},
             {"plan", static_cast<std::int64_t>(m_plan ? m_plan->version() : 0)},
             {"service", m_serviceName},
             {"target", m_placement ? std::string_view(m_placement->incarnation) : std::string_view()},
             {"version", m_placement ? std::string_view(m_placement->version) : std::string_view()},
             {"attempts", static_cast<std::int64_t>(m_triedTargets.size())},
             {"framing", m_framing ? framingName(*m_framing) : std::string_view()},
             {"events", static_cast<std::int64_t>(m_eventParser.eventCount())},
             {"incomplete_event_bytes", static_cast<std::int64_t>(incompleteBytes)},
             {"first_byte_ms", m_firstByteAt ? inMs(*m_firstByteAt - m_arrived) : -1},
             {"queued_ms", inMs(m_queued)},
             {"total_ms", inMs(now - m_arrived)},
             {"retry_after_ms", m_retryAfterMs.value_or(-1)},
             {"bound", m_metadata.worstCaseTokens()},
             {"charged", m_charged}});
}

}
