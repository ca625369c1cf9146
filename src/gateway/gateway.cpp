#include "gateway/gateway.h"

#include "clock/steadytime.h"
#include "gateway/requesthandler.h"
#include "gateway/requesttimes.h"
#include "net/endpoint.h"
#include "operations/log.h"
#include "routing/stablehash.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// Told to callers when no target has capacity; the queues of the targets drain within about this time.
constexpr Duration s_overloadRetryTime = std::chrono::milliseconds(1000);
/// Minimum sent to callers of an overloaded router, whose next attempt then reaches another router or is most likely admitted.
constexpr Duration s_minRedirectDelay = std::chrono::milliseconds(50);
constexpr double s_percent = 100;
constexpr double s_mostRefused = 0.5;
constexpr Duration s_callerLogInterval = std::chrono::seconds(1);
/// The pressures are exported twice a second.
constexpr unsigned s_measurementsPerExport = 10;

}

Gateway::Gateway(asio::any_io_executor executor, Options options, TeamLedger &ledger, Metrics &metrics)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_ledger(ledger)
    , m_metrics(metrics)
    , m_board(m_options.board)
    , m_chooser(m_board, m_metrics, m_options.chooser)
    , m_streamOrigins(m_board)
    , m_dispatcher(m_executor, m_board, m_chooser, m_metrics, m_options.queue)
    , m_shares(m_options.shares)
    , m_hostLoad(m_options.hostLoad)
    , m_connectionGate({.linkMbps = m_options.hostLoad.linkMbps})
    , m_rotation(m_options.rotation)
    , m_clientResources(std::make_shared<ClientResources>(clientResourcesOptions(), m_metrics))
    , m_retryBudget(m_options.retryBudget)
    , m_guard(m_executor, m_metrics, m_options.quarantine)
    , m_becameReady(m_executor)
    , m_random(m_options.seed)
{
    m_guard.setExpectedToEnd([this](const std::string &incarnation) {
        return m_board.expectedToEnd(incarnation);
    });
}

ClientResources::Options Gateway::clientResourcesOptions() const
{
    return {.quota = m_options.clients, .upstream = [traffic = m_traffic] {
                return traffic->targetConnections.load();
            }};
}

Duration Gateway::retryAfter(const RetryAfterRequest &request, Instant now)
{
    const std::optional<Instant> opens = m_board.nextResumption(request.service, now);
    // Callers are told whole milliseconds, and must not come back before the service accepts requests.
    const std::optional<Instant> opensAt = opens ? std::optional(*opens + std::chrono::milliseconds(1)) : std::nullopt;
    if (plansRetries(request.service, request.urgency)) {
        RetryAfterPlanner &planner = m_retryPlanners[std::string(request.service)];
        return planner.plan(
            {.urgency = request.urgency, .requestHash = request.requestHash, .timeLeft = request.timeLeft, .opensAt = opensAt}, now);
    }
    return opensAt ? *opensAt - now : s_overloadRetryTime;
}

DrainRetry Gateway::drainRetry(Instant now) const
{
    return m_drain->retry ? m_drain->retry(now) : DrainRetry{.after = drainRetryTime(now - m_drain->startedAt)};
}

std::size_t Gateway::streamsBeforeDrain() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_activeRequests, [this](const RequestHandler *request) {
        return m_drain && request->isStreamFromBefore(m_drain->startedAt);
    }));
}

bool Gateway::plansRetries(std::string_view service, const Urgency &urgency)
{
    std::string_view reason;
    if (!m_options.plannedRetries) {
        reason = "disabled";
    } else if (urgency.ranks <= 1) {
        reason = "all routes have the same priority";
    } else if (!m_board.statesSlots(service)) {
        reason = "no target states its capacity";
    }
    const bool planned = reason.empty();
    const auto known = m_retriesPlanned.find(service);
    if (known == m_retriesPlanned.end() || known->second != planned) {
        m_retriesPlanned[std::string(service)] = planned;
        const std::string_view event = planned ? "service.retries_planned" : "service.retries_unplanned";
        logLine(Severity::Info, event, {{"service", service}, {"reason", reason}});
    }
    return planned;
}

void Gateway::recordDispatch(const std::string &service, Instant now)
{
    m_retryPlanners[service].recordDispatch(now);
}

void Gateway::revokeDispatch(const std::string &service, Instant sentAt)
{
    m_retryPlanners[service].revokeDispatch(sentAt);
}

asio::awaitable<void> Gateway::handle(HttpExchange &exchange)
{
    const Instant arrived = steadyNow();
    if (!ready()) {
        co_await waitUntilReady();
    }
    // A request keeps the plan with which it began, even if a newer plan arrives in the meantime.
    RequestHandler request(*this, exchange, m_plan, arrived);
    co_await request.serve();
}

asio::awaitable<void> Gateway::waitUntilReady()
{
    const Instant deadline = steadyNow() + m_options.startupWait;
    while (!ready() && steadyNow() < deadline) {
        co_await m_becameReady.wait(deadline - steadyNow());
    }
}

bool Gateway::setPlan(std::shared_ptr<const RoutingPlan> plan)
{
    if (m_plan && plan->version() <= m_plan->version()) {
        return false;
    }
    m_plan = std::move(plan);
    for (const TeamPlan &team : m_plan->teams()) {
        if (team.prepaid) {
            m_ledger.setPrepaid(team.name, {.prepaid = *team.prepaid, .planVersion = m_plan->version()});
        }
    }
    m_dispatcher.applyPlan(*m_plan);
    m_becameReady.notify();
    return true;
}

bool Gateway::recordHostDelay(Duration delay)
{
    if (!m_options.shedsLoad) {
        return false;
    }
    const Instant now = steadyNow();
    if (m_options.measuresHostLoad) {
        m_hostLoad.record({.delay = delay, .received = m_traffic->received, .sent = m_traffic->sent, .held = m_traffic->held}, now);
        m_shedder.recordPressure(m_hostLoad.requestPressure(), now);
        exportPressure();
    } else {
        m_shedder.recordDelay(delay, now);
    }
    const bool shedding = m_shedder.refusedShare() > 0;
    if (shedding != m_shedding) {
        m_overloadMeasure = shedding ? m_hostLoad.decisiveMeasure() : m_overloadMeasure;
        logLine(shedding ? Severity::Warning : Severity::Info,
                shedding ? "router.overloaded" : "router.overload_over",
                {{"measure", hostMeasureName(m_overloadMeasure)},
                 {"pressure_percent", static_cast<std::int64_t>(s_percent * m_hostLoad.pressure())},
                 {"delay_ms", std::chrono::duration_cast<std::chrono::milliseconds>(delay).count()},
                 {"in_flight", static_cast<std::int64_t>(m_activeRequests.size())}});
    }
    m_shedding = shedding;
    logCallers(now);
    return m_options.measuresHostLoad && updateRotation(now);
}

std::optional<std::size_t> Gateway::connectionLimit()
{
    if (!m_options.shedsLoad || !m_options.measuresHostLoad) {
        return std::nullopt;
    }
    return m_connectionGate.update({.received = m_traffic->received,
                                    .served = m_servedByHost,
                                    .refusedShare = m_shedder.refusedShare(),
                                    .pressure = m_hostLoad.requestPressure()},
                                   steadyNow());
}

bool Gateway::overloaded() const
{
    return m_options.measuresHostLoad ? m_rotation.out() : m_shedder.overloaded(steadyNow());
}

bool Gateway::recordRelayQuery(const LoadClient::QueryOutcome &outcome)
{
    const Instant now = steadyNow();
    const std::uint64_t host = stableHash(outcome.host);
    if (outcome.roundTrip) {
        m_hostLoad.reachability().recordAnswer(host, *outcome.roundTrip, now);
    } else {
        m_hostLoad.reachability().recordQueryTimeout(host, outcome.sentAt, now);
    }
    // If the relays were backed off, none would be queried for a second or more, and the silence could not be noticed any more.
    return !m_hostLoad.attributesSilence(now);
}

bool Gateway::updateRotation(Instant now)
{
    const Rotation::Update update = m_rotation.update(m_hostLoad.pressure(), now);
    const std::string_view measure = hostMeasureName(m_hostLoad.decisiveMeasure());
    switch (update.change) {
    case Rotation::Change::Left:
        logLine(Severity::Warning,
                "rotation.left",
                {{"measure", measure},
                 {"pressure_percent", static_cast<std::int64_t>(s_percent * m_hostLoad.pressure())},
                 {"for_ms", std::chrono::duration_cast<std::chrono::milliseconds>(m_rotation.remaining(now)).count()}});
        break;
    case Rotation::Change::Joined:
        logLine(Severity::Info, "rotation.joined");
        break;
    case Rotation::Change::KeptIn:
        logLine(Severity::Warning,
                "rotation.kept_in",
                {{"measure", measure},
                 {"reason", "too many routers of the failure domain are out"},
                 {"out", static_cast<std::int64_t>(m_rotation.othersOut(now))},
                 {"most_out", static_cast<std::int64_t>(m_rotation.mostOut())},
                 {"routers", static_cast<std::int64_t>(m_rotation.others().size() + 1)}});
        break;
    case Rotation::Change::None:
        break;
    }
    return update.notify;
}

void Gateway::exportPressure()
{
    if (m_measurements++ % s_measurementsPerExport != 0) {
        return;
    }
    m_clientResources->exportMetrics();
    for (std::size_t index = 0; index < s_hostMeasures; ++index) {
        const auto measure = static_cast<HostMeasure>(index);
        const auto percent = static_cast<std::int64_t>(s_percent * m_hostLoad.pressure(measure));
        m_metrics.gauge("host_pressure_percent", {.name = "measure", .value = hostMeasureName(measure)}, percent);
    }
}

void Gateway::logCallers(Instant now)
{
    if (now - m_callersLoggedAt < s_callerLogInterval || (!m_shedding && m_hostLoad.pressure() < 1)) {
        return;
    }
    m_callersLoggedAt = now;
    const CallerCounts &counts = *m_callerCounts;
    const auto number = [](std::uint64_t value) {
        return static_cast<std::int64_t>(value);
    };
    logLine(Severity::Info,
            "host.callers",
            {{"connections", number(counts.connections)},
             {"heads", number(counts.heads)},
             {"left_in_head", number(counts.leftInHead)},
             {"left_in_body", number(counts.leftInBody)},
             {"answered", number(counts.answered)},
             {"left_unanswered", number(counts.leftUnanswered)},
             {"first_head_us", number(counts.firstHeadUs)},
             {"longest_first_head_us", number(m_callerCounts->longestFirstHeadUs.exchange(0))},
             {"body_us", number(counts.bodyUs)},
             {"longest_body_us", number(m_callerCounts->longestBodyUs.exchange(0))},
             {"in_flight", number(m_activeRequests.size())},
             {"delay_percent", static_cast<std::int64_t>(s_percent * m_hostLoad.pressure(HostMeasure::Delay))},
             {"link_in_percent", static_cast<std::int64_t>(s_percent * m_hostLoad.pressure(HostMeasure::LinkIn))},
             {"link_out_percent", static_cast<std::int64_t>(s_percent * m_hostLoad.pressure(HostMeasure::LinkOut))},
             {"limits_connections", static_cast<std::int64_t>(m_connectionGate.limiting())},
             {"refused_percent", static_cast<std::int64_t>(s_percent * m_shedder.refusedShare())}});
}

bool Gateway::refusesAsFull(Duration objective, Instant now) const
{
    return m_options.shedsLoad && m_options.measuresHostLoad && m_hostLoad.refusesAsFull(objective, now);
}

bool Gateway::shouldShed(std::string_view requestId, std::string_view service, Urgency urgency, Instant now)
{
    const std::uint64_t hash = stableHash(requestId);
    return m_options.measuresHostLoad ? m_shedder.shouldRefuse(hash, service, urgency, now) : m_shedder.shouldRefuse(hash);
}

void Gateway::recordConnect(const Placement &placement, bool opened, Duration took)
{
    if (!m_options.measuresHostLoad) {
        return;
    }
    const Instant now = steadyNow();
    const std::uint64_t host = hostKey(placement.address);
    if (opened) {
        m_hostLoad.reachability().recordConnected(host, took, now);
        return;
    }
    m_hostLoad.reachability().recordConnectTimeout(host, now);
    m_connectTimeouts[placement.incarnation] = now;
}

bool Gateway::networkCongested()
{
    const Instant now = steadyNow();
    std::erase_if(m_connectTimeouts, [now](const auto &entry) {
        return now - entry.second > HostReachability::s_window;
    });
    if (!m_options.measuresHostLoad || !m_hostLoad.attributesTimeout(now)) {
        return false;
    }
    for (const auto &[incarnation, at] : m_connectTimeouts) {
        m_board.undoBackoff(incarnation);
    }
    m_connectTimeouts.clear();
    return true;
}

Duration Gateway::redirectDelay(Instant now) const
{
    if (!m_options.measuresHostLoad) {
        return std::max(s_minRedirectDelay, m_shedder.timeUntilRedirect(now).value_or(Duration::zero()));
    }
    const Duration leftFor = m_rotation.outFor(now).value_or(Duration::zero());
    if (leftFor > Duration::zero() && leftFor < LoadShedder::s_rotationTime) {
        return std::max(s_minRedirectDelay, LoadShedder::s_rotationTime - leftFor);
    }
    // The caller comes back to this host, where most requests would be refused again until callers have been moved.
    return m_shedder.refusedShare() < s_mostRefused ? s_minRedirectDelay : LoadShedder::s_rotationTime;
}

std::shared_ptr<HttpClient> Gateway::clientFor(const Placement &placement)
{
    auto &client = m_clients[placement.incarnation];
    if (!client) {
        // If the address cannot be parsed, every connection fails as if nobody listened there.
        client = std::make_shared<HttpClient>(m_executor, endpointFrom(placement.address).value_or(asio::ip::tcp::endpoint()), m_traffic);
    }
    return client;
}

void Gateway::dropStaleTargets()
{
    const Instant now = steadyNow();
    for (RequestHandler *request : m_activeRequests) {
        request->abandonRestartedTarget(now);
    }
    std::erase_if(m_clients, [this](const auto &entry) {
        return !m_board.isKnown(entry.first);
    });
}

const std::string &Gateway::chooseService(const Route &route)
{
    double total = 0;
    for (const ServiceShare &share : route.services) {
        total += share.weight;
    }
    double drawn = std::uniform_real_distribution<double>(0, total)(m_random);
    for (const ServiceShare &share : route.services) {
        drawn -= share.weight;
        if (drawn < 0) {
            return share.service;
        }
    }
    return route.services.back().service;
}

}
