#include "engine/sidecar.h"

#include "budget/budgetrows.h"
#include "clock/steadytime.h"
#include "engine/answercompleteness.h"
#include "engine/sidecardrain.h"
#include "link/framecodec.h"
#include "net/hostlimits.h"
#include "net/incarnation.h"
#include "net/pause.h"
#include "operations/log.h"
#include "store/platformclient.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>

namespace bamboohold {

namespace {

/// A quarter of the time without reports after which routers send a target no new requests.
constexpr Duration s_reportInterval = std::chrono::milliseconds(500);
constexpr Duration s_enginePollInterval = std::chrono::milliseconds(500);
constexpr Duration s_engineTimeout = std::chrono::seconds(60);
constexpr Duration s_engineProbeTimeout = std::chrono::seconds(2);
constexpr Duration s_routerExpiry = std::chrono::seconds(30);
/// A run is cancelled if its router grants no credit for this long, because the router is then no longer reading.
constexpr Duration s_creditTimeout = std::chrono::seconds(30);
constexpr Duration s_drainPollInterval = std::chrono::milliseconds(20);
constexpr std::uint64_t s_resentEndSequence = UINT64_MAX;

}

/// An attempt that is running at the engine. Owned jointly by its coroutine and by m_liveRuns, where cancellations and credit look it up.
struct Sidecar::LiveRun : std::enable_shared_from_this<LiveRun> {
    LiveRun(asio::any_io_executor loop, std::string_view routerName, wire::Dispatch message)
        : executor(std::move(loop))
        , router(routerName)
        , dispatch(std::move(message))
        , creditTimer(executor)
        , creditBytes(dispatch.credit_bytes())
    {
    }

    asio::any_io_executor executor;
    std::string router;
    wire::Dispatch dispatch;
    asio::steady_timer creditTimer;
    std::size_t loopIndex = 0;
    HttpStreamCall *call = nullptr;
    std::uint64_t sequence = 0;
    std::uint64_t sentBytes = 0;
    /// Total number of bytes that the router has allowed to be sent, starting with the credit in the dispatch.
    std::uint64_t creditBytes = 0;
    bool cancelled = false;
};

Sidecar::Sidecar(WorkerPool &pool, const Settings &settings)
    : m_pool(pool)
    , m_settings(settings)
    , m_incarnation(newIncarnation(settings.target))
    , m_table({.incarnation = m_incarnation, .limit = settings.slots + settings.slots / 4})
{
    for (std::size_t index = 0; index < pool.size(); ++index) {
        m_engineClients.push_back(std::make_unique<HttpClient>(pool.loop(index).get_executor(), settings.engine));
    }
}

Sidecar::~Sidecar() = default;

absl::Status Sidecar::open()
{
    m_link = std::make_unique<LinkHub>(
        LinkHub::Options{.identity = m_incarnation, .endpoint = absl::StrCat("tcp://", m_settings.address, ":", m_settings.linkPort)},
        [this](std::string_view peer, wire::Envelope &message) {
            onMessage(peer, message);
        });
    const HostResources host = withinSystemLimits({.memoryMb = m_settings.memoryMb, .maxDescriptors = m_settings.maxDescriptors});
    m_clientResources = std::make_shared<ClientResources>(ClientResources::Options{.quota = clientQuotaFor(host)}, m_metrics);
    HttpServer::Options operations{.address = m_settings.address,
                                   .port = m_settings.operationsPort,
                                   .resources = m_clientResources,
                                   .socket = ClientSocket::Operations};
    m_operations = std::make_unique<HttpServer>(m_pool, std::move(operations), [this](HttpExchange &exchange) {
        return handleOperations(exchange);
    });
    if (const absl::Status status = m_operations->open(); !status.ok()) {
        return status;
    }
    if (const absl::Status status = m_link->open(); !status.ok()) {
        return status;
    }
    asio::co_spawn(m_pool.mainLoop(), loadKnownRouters(), asio::detached);
    asio::co_spawn(m_pool.mainLoop(), sendReports(), asio::detached);
    asio::co_spawn(m_pool.mainLoop(), pollEngine(), asio::detached);
    logLine(Severity::Info, "sidecar started", {{"incarnation", m_incarnation}, {"target", m_settings.target}});
    return absl::OkStatus();
}

void Sidecar::drain()
{
    {
        const std::lock_guard lock(m_mutex);
        m_table.beginDrain();
    }
    logLine(Severity::Info, "draining", {{"target", m_settings.target}});
    asio::co_spawn(m_pool.mainLoop(), drainLoop(), asio::detached);
}

asio::awaitable<void> Sidecar::drainLoop()
{
    const SidecarDrain drain(steadyNow() + m_settings.drainTimeout);
    bool waiting = true;
    while (waiting) {
        co_await pause(s_drainPollInterval);
        const std::lock_guard lock(m_mutex);
        waiting = drain.mustWait({.admittedRuns = m_table.running()}, steadyNow());
    }
    // Give the link time to send the last queued frames before the process exits.
    co_await pause(s_reportInterval);
    std::int64_t unfinished = 0;
    {
        const std::lock_guard lock(m_mutex);
        unfinished = static_cast<std::int64_t>(m_table.running());
    }
    logLine(Severity::Info, "drained", {{"unfinished", unfinished}});
    m_pool.stop();
}

void Sidecar::closeLink()
{
    if (m_link) {
        m_link->close();
    }
}

void Sidecar::logStopped()
{
    const std::lock_guard lock(m_mutex);
    logLine(Severity::Info, "stopped", {{"unfinished", static_cast<std::int64_t>(m_table.running())}});
}

asio::awaitable<void> Sidecar::loadKnownRouters()
{
    PlatformClient platform(m_pool.mainLoop().get_executor(), m_settings.platform, m_settings.platformTimeout);
    auto rows = co_await platform.scan(s_nodePrefix);
    while (!rows.ok()) {
        co_await pause(s_enginePollInterval);
        rows = co_await platform.scan(s_nodePrefix);
    }
    std::vector<std::string> live;
    std::vector<std::string> dead;
    for (const TableRow &row : *rows) {
        const bool isLive = textField(row.fields, "state") == "live";
        (isLive ? live : dead).push_back(row.key.substr(s_nodePrefix.size()));
    }
    const std::lock_guard lock(m_mutex);
    m_table.setKnownRouters(live, dead);
}

void Sidecar::onMessage(std::string_view peer, wire::Envelope &message)
{
    {
        const std::lock_guard lock(m_mutex);
        m_routersLastSeen[std::string(peer)] = steadyNow();
        m_table.heard(peer, steadyNow());
    }
    switch (message.body_case()) {
    case wire::Envelope::kDispatch:
        onDispatch(peer, *message.mutable_dispatch());
        break;
    case wire::Envelope::kCancel:
    case wire::Envelope::kCredit: {
        const bool cancel = message.body_case() == wire::Envelope::kCancel;
        const std::string &requestId = cancel ? message.cancel().request_id() : message.credit().request_id();
        const std::uint64_t bytes = cancel ? 0 : message.credit().bytes();
        const std::lock_guard lock(m_mutex);
        const auto found = m_liveRuns.find(requestId);
        if (found == m_liveRuns.end() && cancel) {
            resendEnd(peer, requestId);
        }
        if (found != m_liveRuns.end()) {
            asio::post(found->second->executor, [this, run = found->second, cancel, bytes] {
                run->creditBytes += bytes;
                run->creditTimer.cancel();
                if (cancel) {
                    this->cancel(run);
                }
            });
        }
        break;
    }
    case wire::Envelope::kSettled: {
        const std::lock_guard lock(m_mutex);
        for (const std::string &requestId : message.settled().request_ids()) {
            m_table.forget(requestId);
        }

        break;
    }
    case wire::Envelope::kHeartbeat:
        if (message.heartbeat().settled_before_incarnation() == m_incarnation) {
            const std::lock_guard lock(m_mutex);
            m_table.clearEarlierRuns(peer);
        }
        break;
    case wire::Envelope::kSeal:
        onSeal(peer, message.seal());
        break;
    default:
        break;
    }
}

void Sidecar::resendEnd(std::string_view peer, const std::string &requestId)
{
    const RunRecord *record = m_table.find(requestId);
    if (record == nullptr || record->running) {
        return;
    }
    // A router that cancels a finished run has missed the last frame, for example while it was paused. The sequence number of this frame is
    // greater than that of any frame of the response, so it ends the request but cannot be mistaken for the missing rest of the response.
    AnswerFrame frame{.attempt = record->attempt, .sequence = s_resentEndSequence};
    frame.content = AnswerFrame::End{.end = record->end, .usage = record->usage, .charged = record->charged};
    wire::Envelope envelope;
    *envelope.mutable_frame() = toWire(requestId, frame);
    m_link->send(peer, envelope);
}

void Sidecar::refuse(std::string_view peer, const wire::Dispatch &dispatch, RunRefusal reason)
{
    wire::Envelope envelope;
    *envelope.mutable_frame() =
        toWire(dispatch.request_id(), {.attempt = dispatch.attempt(), .content = AnswerFrame::Refused{.reason = reason}});
    m_link->send(peer, envelope);
}

void Sidecar::onDispatch(std::string_view peer, wire::Dispatch &dispatch)
{
    const RunTable::Attempt attempt{.requestId = dispatch.request_id(),
                                    .attempt = dispatch.attempt(),
                                    .router = std::string(peer),
                                    .payer = dispatch.payer(),
                                    .targetIncarnation = dispatch.target_incarnation(),
                                    .team = dispatch.team(),
                                    .budget = dispatch.budget(),
                                    .bound = dispatch.bound(),
                                    .earliestFlush = dispatch.earliest_flush(),
                                    .expiresIn = std::chrono::milliseconds(dispatch.expires_in_ms())};
    {
        const std::lock_guard lock(m_mutex);
        if (const auto refusal = m_table.admit(attempt, steadyNow())) {
            refuse(peer, dispatch, *refusal);
            return;
        }
    }
    const std::size_t index = m_nextLoopIndex++ % m_pool.size();
    auto run = std::make_shared<LiveRun>(m_pool.loop(index).get_executor(), peer, std::move(dispatch));
    run->loopIndex = index;
    {
        const std::lock_guard lock(m_mutex);
        m_liveRuns.emplace(run->dispatch.request_id(), run);
    }
    asio::co_spawn(run->executor, execute(run), asio::detached);
}

void Sidecar::onSeal(std::string_view peer, const wire::Seal &seal)
{
    wire::Envelope envelope;
    wire::SealAnswer &answer = *envelope.mutable_seal_answer();
    answer.set_incarnation(seal.incarnation());
    answer.set_epoch(seal.epoch());
    answer.set_target(m_settings.target);
    {
        const std::lock_guard lock(m_mutex);
        const bool probe = seal.epoch() == 0;
        const SealResult result = probe ? m_table.probe(seal.incarnation(), steadyNow()) : m_table.seal(seal.incarnation());
        answer.set_alive(result.alive);
        answer.set_complete(result.complete);
        for (const RunRecord &record : result.runs) {
            wire::SealedRun &run = *answer.add_runs();
            run.set_request_id(record.requestId);
            run.set_budget(record.budget);
            run.set_team(record.team);
            run.set_charged(record.charged);
            run.set_running(record.running);
            run.set_end(toWire(record.end));
            run.set_earliest_flush(record.earliestFlush);
            run.set_attempt(record.attempt);
            if (record.usage) {
                run.mutable_usage()->set_reported(true);
                run.mutable_usage()->set_prompt_tokens(record.usage->prompt);
                run.mutable_usage()->set_output_tokens(record.usage->output);
            }
            // The router that would read the response is dead, and stopping the run returns its tokens sooner.
            if (const auto live = m_liveRuns.find(record.requestId); record.running && live != m_liveRuns.end()) {
                asio::post(live->second->executor, [this, abandoned = live->second] {
                    cancel(abandoned);
                });
            }
        }
    }
    m_link->send(peer, envelope);
}

void Sidecar::sendFrame(const LiveRun &run, AnswerFrame frame)
{
    wire::Envelope envelope;
    *envelope.mutable_frame() = toWire(run.dispatch.request_id(), frame);
    m_link->send(run.router, envelope);
}

void Sidecar::notifyPayer(const LiveRun &run, const AnswerFrame::End &end)
{
    // An attempt that did not run does not end the request: the router that sent it can retry it at another target.
    if (run.dispatch.payer().empty() || end.end == RunEnd::NotRun) {
        return;
    }
    wire::Envelope envelope;
    wire::SponsoredEnd &ended = *envelope.mutable_sponsored_end();
    ended.set_request_id(run.dispatch.request_id());
    ended.set_target(m_settings.target);
    ended.set_attempt(run.dispatch.attempt());
    *ended.mutable_end() = toWire(run.dispatch.request_id(), {.content = end}).end();
    m_link->send(run.dispatch.payer(), envelope);
}

HttpCallOptions Sidecar::engineCallOptions(const LiveRun &run) const
{
    const wire::Dispatch &dispatch = run.dispatch;
    return {.method = dispatch.method(),
            .path = dispatch.path(),
            .contentType = dispatch.content_type(),
            .body = dispatch.body(),
            .headers = {{"X-Request-Id", dispatch.request_id()}, {"X-Attempt", absl::StrCat(dispatch.attempt())}},
            .timeout = s_engineTimeout};
}

asio::awaitable<void> Sidecar::execute(std::shared_ptr<LiveRun> run)
{
    HttpStreamCall call(*m_engineClients[run->loopIndex], engineCallOptions(*run));
    run->call = &call;
    AnswerFrame::End end;
    absl::Status started = failed(FailureKind::Cancelled, "cancelled before it was sent", Executed::No);
    if (!run->cancelled) {
        started = co_await call.start();
    }
    if (started.ok()) {
        end = co_await relayResponse(*run, call);
    } else {
        const Executed ran = toFailure(started).executed;
        end.end = ran == Executed::No ? RunEnd::NotRun : RunEnd::Unknown;
        end.end = run->cancelled && ran != Executed::No ? RunEnd::Cancelled : end.end;
    }
    run->call = nullptr;
    const std::string requestId = run->dispatch.request_id();
    {
        const std::lock_guard lock(m_mutex);
        end.charged = m_table.finish(requestId, end.end, end.usage);
        m_liveRuns.erase(requestId);
        // Queued before the lock is released: the drain may stop the process as soon as the table shows no run.
        sendFrame(*run, {.attempt = run->dispatch.attempt(), .sequence = run->sequence++, .content = end});
        notifyPayer(*run, end);
    }
    m_metrics.count("bamboohold_runs_total", {.name = "end", .value = runEndName(end.end)});
}

void Sidecar::cancel(const std::shared_ptr<LiveRun> &run)
{
    if (run->cancelled) {
        return;
    }
    run->cancelled = true;
    run->creditTimer.cancel();
    asio::co_spawn(run->executor, cancelAtEngine(run), asio::detached);
}

asio::awaitable<void> Sidecar::cancelAtEngine(std::shared_ptr<LiveRun> run)
{
    HttpClient &engine = *m_engineClients[run->loopIndex];
    HttpCallOptions options{
        .method = "POST", .path = absl::StrCat("/v1/cancel?request=", run->dispatch.request_id()), .timeout = s_engineProbeTimeout};
    const auto reply = co_await engine.call(std::move(options));
    // An engine that cannot cancel a request by its id stops when the connection is closed, but then does not report its usage.
    const bool stopped = reply.ok() && reply->status == 200;
    if (!stopped && run->call != nullptr) {
        run->call->cancel();
    }
}

asio::awaitable<void> Sidecar::waitForCredit(LiveRun &run)
{
    while (run.sentBytes >= run.creditBytes && !run.cancelled) {
        run.creditTimer.expires_after(s_creditTimeout);
        const auto [error] = co_await run.creditTimer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!error) {
            cancel(run.shared_from_this());
        }
    }
}

asio::awaitable<AnswerFrame::End> Sidecar::relayResponse(LiveRun &run, HttpStreamCall &call)
{
    UsageScanner scanner;
    AnswerFrame::End end{.end = RunEnd::Complete};
    const std::uint32_t attempt = run.dispatch.attempt();
    const std::string type = call.contentType();
    AnswerCompleteness completeness(call.framing(), type);
    bool promptReported = false;
    sendFrame(run,
              {.attempt = attempt, .sequence = run.sequence++, .content = AnswerFrame::Head{.status = call.status(), .contentType = type}});
    while (true) {
        auto chunk = co_await call.readSome();
        if (!chunk.ok()) {
            end.end = RunEnd::FailedAfterRunning;
            break;
        }
        if (chunk->empty()) {
            break;
        }
        scanner.feed(*chunk);
        completeness.feed(*chunk);
        if (run.cancelled) {
            continue;
        }
        if (scanner.usage() && !promptReported) {
            promptReported = true;
            sendFrame(
                run,
                {.attempt = attempt, .sequence = run.sequence++, .content = AnswerFrame::PromptCounted{.tokens = scanner.usage()->prompt}});
        }
        run.sentBytes += chunk->size();
        sendFrame(run, {.attempt = attempt, .sequence = run.sequence++, .content = AnswerFrame::Data{.bytes = *std::move(chunk)}});
        co_await waitForCredit(run);
    }
    if (end.end == RunEnd::Complete && !completeness.complete(scanner)) {
        end.end = RunEnd::FailedAfterRunning;
    }
    // The usage of an interrupted response is lower than what the engine really used. Only the usage of a complete response is trusted;
    // without it the whole reservation is charged.
    if (end.end == RunEnd::Complete) {
        end.usage = scanner.usage();
    }
    if (run.dispatch.plain_service() || (call.status() >= 400 && call.status() < 500)) {
        end.usage = TokenUsage{};
    }
    if (run.cancelled) {
        end.end = RunEnd::Cancelled;
    }
    end.dataBytes = run.sentBytes;
    co_return end;
}

wire::Report Sidecar::makeReport()
{
    wire::Report report;
    report.set_target(m_settings.target);
    report.set_incarnation(m_incarnation);
    report.set_leaving(m_table.draining() || !m_table.routersKnown());
    report.set_running(m_table.running());
    report.set_waiting(m_engineWaiting);
    report.set_slots(m_settings.slots);
    report.set_engine_reachable(m_engineReachable);
    return report;
}

asio::awaitable<void> Sidecar::sendReports()
{
    while (true) {
        wire::Envelope envelope;
        std::vector<std::string> routers;
        {
            const std::lock_guard lock(m_mutex);
            *envelope.mutable_report() = makeReport();
            const Instant now = steadyNow();
            absl::erase_if(m_routersLastSeen, [now](const auto &entry) {
                return now - entry.second > s_routerExpiry;
            });
            for (const auto &[router, lastSeen] : m_routersLastSeen) {
                routers.push_back(router);
            }
        }
        for (const std::string &router : routers) {
            m_link->send(router, envelope);
        }
        co_await pause(s_reportInterval);
    }
}

asio::awaitable<void> Sidecar::pollEngine()
{
    HttpClient client(m_pool.mainLoop().get_executor(), m_settings.engine);
    while (true) {
        HttpCallOptions options{.path = "/load", .timeout = s_engineProbeTimeout};
        const auto reply = co_await client.call(std::move(options));
        {
            const std::lock_guard lock(m_mutex);
            m_engineReachable = reply.ok();
            boost::json::error_code error;
            const boost::json::value load = reply.ok() ? boost::json::parse(reply->body, error) : boost::json::value();
            m_engineWaiting = load.is_object() ? static_cast<std::uint32_t>(integerField(load.get_object(), "waiting")) : 0;
        }
        co_await pause(s_enginePollInterval);
    }
}

asio::awaitable<void> Sidecar::handleOperations(HttpExchange &exchange)
{
    const std::string_view path = exchange.path();
    bool ready = false;
    std::string status;
    {
        const std::lock_guard lock(m_mutex);
        ready = m_engineReachable && m_table.routersKnown() && !m_table.draining();
        status =
            absl::StrCat("{\"target\":\"", m_settings.target, "\",\"incarnation\":\"", m_incarnation, "\",\"running\":", m_table.running());
        absl::StrAppend(&status, ",\"records\":", m_table.recordCount(), ",\"leaving\":", m_table.draining() ? "true" : "false", "}");
    }
    if (path == "/healthz") {
        co_await exchange.respond(200, "application/json", "{}");
    } else if (path == "/readyz") {
        co_await exchange.respond(ready ? 200 : 503, "application/json", status);
    } else if (path == "/metrics") {
        co_await exchange.respond(200, "text/plain; version=0.0.4", m_metrics.text());
    } else if (path == "/status") {
        co_await exchange.respond(200, "application/json", status);
    } else {
        co_await respondFailure(exchange, FailureKind::NotFound, path);
    }
}

}
