#include "gateway/queuedispatcher.h"

#include "clock/steadytime.h"
#include "net/pause.h"
#include "operations/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace bamboohold {

namespace {

/// Requests of a service for which targets are sought at a time. Each costs a round trip to the relays, so four serve over a thousand
/// requests a second.
constexpr unsigned s_maxAttempts = 4;
/// A router none of whose own requests ends soon learns by polling that a target has capacity.
constexpr Duration s_pollInterval = std::chrono::milliseconds(20);
/// During a drain it is checked this often whether waiting requests still end in time; the check estimates each one's duration.
constexpr Duration s_drainCheckInterval = std::chrono::milliseconds(200);
/// The part of the time that a caller and its route allow that a request may wait; a refused caller needs the rest for a retry.
constexpr int s_waitDivisor = 2;

Instant latestDispatch(const QueueDispatcher::Ticket &ticket)
{
    return ticket.arrived + (ticket.deadline - ticket.arrived) / s_waitDivisor;
}

}

class QueueDispatcher::Registration
{
public:
    Registration(QueueDispatcher &dispatcher, Service &service, Waiter &waiter)
        : m_dispatcher(dispatcher)
        , m_service(service)
        , m_waiter(waiter)
    {
        m_service.waiters.emplace(m_waiter.id, &m_waiter);
    }

    ~Registration()
    {
        m_service.waiters.erase(m_waiter.id);
        m_service.queue.remove(m_waiter.id, steadyNow());
        if (m_waiter.turn) {
            --m_service.attempts;
            m_dispatcher.startAttempt(m_service);
        }
    }

    Registration(const Registration &) = delete;
    Registration &operator=(const Registration &) = delete;

private:
    QueueDispatcher &m_dispatcher;
    Service &m_service;
    Waiter &m_waiter;
};

QueueDispatcher::QueueDispatcher(
    boost::asio::any_io_executor executor, TargetBalancer &balancer, TargetChooser &chooser, Metrics &metrics, Options options)
    : m_executor(std::move(executor))
    , m_balancer(balancer)
    , m_chooser(chooser)
    , m_metrics(metrics)
    , m_options(std::move(options))
{
}

bool QueueDispatcher::active(const Ticket &ticket)
{
    std::string_view reason;
    if (!m_options.enabled) {
        reason = "disabled";
    } else if (ticket.urgency.ranks < 2) {
        reason = "all routes have one priority";
    } else if (!m_balancer.statesSlots(ticket.service)) {
        reason = "no target states a capacity";
    }
    const auto logged = m_loggedReasons.find(ticket.service);
    if (logged == m_loggedReasons.end() || logged->second != reason) {
        m_loggedReasons[ticket.service] = reason;
        logLine(Severity::Info,
                reason.empty() ? "service.queue_active" : "service.queue_inert",
                {{"service", ticket.service}, {"reason", reason}});
    }
    return reason.empty();
}

CapacityRequirement QueueDispatcher::requirement(const Ticket &ticket, const std::optional<RequestQueue::Attempt> &turn) const
{
    const bool promised = turn ? turn->promised : ticket.promised;
    CapacityRequirement requirement{.urgency = ticket.urgency,
                                    .objective = std::min(ticket.objective, ticket.strictestObjective),
                                    .waiting = turn.has_value(),
                                    .ignoresSize = promised,
                                    .observations = &m_observations};
    if (promised || (turn && turn->reserved)) {
        requirement.urgency.rank = 0;
    }
    return requirement;
}

boost::asio::awaitable<QueueDispatcher::Result> QueueDispatcher::place(Ticket &ticket, PlacementRequest request)
{
    Result result;
    if (!active(ticket)) {
        result.placement = co_await m_chooser.place(request, ticket.coldPerSecond);
        co_return result;
    }
    Service &service = m_services.try_emplace(ticket.service, Service{.queue = RequestQueue(m_options.queue)}).first->second;
    if (service.queue.mayBypass(ticket.urgency.rank, ticket.promised)) {
        request.capacity = requirement(ticket);
        result.placement = co_await m_chooser.place(request, ticket.coldPerSecond);
        if (result.placement) {
            service.queue.bypassed(ticket.urgency.rank, ticket.tokens, steadyNow(), ticket.promised);
            co_return result;
        }
        if (hopeless(ticket, latestDispatch(ticket))) {
            co_return result;
        }
        // The next attempt looks at another sample of the targets.
        ++request.seed;
    }
    result = co_await wait(service, ticket, std::move(request));
    if (result.refusal) {
        countRefusal(ticket.service, *result.refusal);
    }
    if (result.queued > Duration::zero()) {
        m_metrics.observe("queue_wait_seconds", {.name = "route", .value = ticket.route}, seconds(result.queued));
    }
    updateGauges(ticket.service, service);
    co_return result;
}

boost::asio::awaitable<QueueDispatcher::Result> QueueDispatcher::wait(Service &service, Ticket &ticket, PlacementRequest request)
{
    const Instant enqueuedAt = steadyNow();
    const Instant waitUntil = latestDispatch(ticket);
    Waiter waiter{.ticket = &ticket, .id = ++m_lastId, .timer = boost::asio::steady_timer(m_executor)};
    RequestQueue::Entry entry{.id = waiter.id,
                              .rank = ticket.urgency.rank,
                              .team = ticket.team,
                              .tokens = ticket.tokens,
                              .bytes = ticket.bytes,
                              .arrived = ticket.arrived,
                              .objective = ticket.objective,
                              .waitUntil = waitUntil,
                              .promised = ticket.promised};
    const RequestQueue::Admission admission = service.queue.enqueue(std::move(entry), bytesOutside(service), enqueuedAt);
    Result result;
    if (admission.refused) {
        result.refusal = admission.refused;
        co_return result;
    }
    for (const RequestQueue::Id displaced : admission.displaced) {
        refuse(service, displaced, QueueRefusal::Displaced);
    }
    const Registration registration(*this, service, waiter);
    if (!m_polling) {
        m_polling = true;
        boost::asio::co_spawn(m_executor, poll(), boost::asio::detached);
    }
    std::optional<Result> decided = decision(waiter, waitUntil);
    while (!decided) {
        if (waiter.turn) {
            std::optional<Placement> placement = co_await attempt(waiter, request);
            ++request.seed;
            decided = decision(waiter, waitUntil);
            if (placement && (!decided || decided->refusal == QueueRefusal::Waited)) {
                decided.emplace();
                decided->placement = std::move(placement);
                service.queue.dispatched(waiter.id, steadyNow());
            } else if (!decided && hopeless(ticket, waitUntil)) {
                decided.emplace();
            } else if (!decided) {
                const std::optional<RequestQueue::Attempt> failed = std::exchange(waiter.turn, std::nullopt);
                --service.attempts;
                service.queue.attemptFailed(waiter.id);
                startAttempt(service, failed);
            }
            continue;
        }
        waiter.timer.expires_after(waitUntil - steadyNow());
        co_await waiter.timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        decided = decision(waiter, waitUntil);
    }
    result = *std::move(decided);
    result.queued = std::max<Duration>(steadyNow() - enqueuedAt, std::chrono::microseconds(1));
    co_return result;
}

boost::asio::awaitable<std::optional<Placement>> QueueDispatcher::attempt(Waiter &waiter, PlacementRequest request)
{
    request.capacity = requirement(*waiter.ticket, waiter.turn);
    std::optional<Placement> placement = co_await m_chooser.place(request, waiter.ticket->coldPerSecond);
    co_return placement;
}

std::optional<QueueDispatcher::Result> QueueDispatcher::decision(const Waiter &waiter, Instant waitUntil) const
{
    Result result;
    if (waiter.ticket->callerLeft()) {
        return result;
    }
    if (!waiter.denied.ok()) {
        result.denied = waiter.denied;
        return result;
    }
    const Instant now = steadyNow();
    if (waiter.refusal) {
        result.refusal = waiter.refusal;
    } else if (m_draining && !waiter.ticket->endsBeforeShutdown(now)) {
        result.refusal = QueueRefusal::Draining;
    } else if (now >= waitUntil) {
        result.refusal = QueueRefusal::Waited;
    }
    return result.refusal ? std::optional(std::move(result)) : std::nullopt;
}

bool QueueDispatcher::hopeless(const Ticket &ticket, Instant waitUntil) const
{
    const std::optional<Instant> resumption = m_balancer.nextResumption(ticket.service, steadyNow(), ticket.version);
    return (resumption && *resumption >= waitUntil) || !m_balancer.hasTargetInService(ticket.service, ticket.version);
}

void QueueDispatcher::startAttempt(Service &service, const std::optional<RequestQueue::Attempt> &failed)
{
    if (service.attempts >= s_maxAttempts) {
        return;
    }
    const std::optional<RequestQueue::Attempt> attempt = service.queue.beginAttempt(steadyNow(), failed);
    if (attempt) {
        ++service.attempts;
        service.lastAttemptAt = steadyNow();
        Waiter &waiter = *service.waiters.at(attempt->id);
        waiter.turn = attempt;
        waiter.timer.cancel();
    }
}

void QueueDispatcher::refuse(Service &service, RequestQueue::Id id, QueueRefusal refusal)
{
    Waiter &waiter = *service.waiters.at(id);
    waiter.refusal = waiter.refusal.value_or(refusal);
    waiter.timer.cancel();
}

void QueueDispatcher::callerLeft(const Ticket &ticket)
{
    const auto service = m_services.find(ticket.service);
    if (service == m_services.end()) {
        return;
    }
    for (const auto &[id, waiter] : service->second.waiters) {
        if (waiter->ticket == &ticket) {
            waiter->timer.cancel();
        }
    }
}

void QueueDispatcher::firstByteReceived(const std::string &service, Tokens tokens, const Placement &placement, Duration elapsed)
{
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        m_observations.record(placement.incarnation, placement.unreadAhead + placement.uncachedTokens, elapsed, steadyNow());
        found->second.queue.recordFirstByte(tokens, elapsed);
    }
}

void QueueDispatcher::capacityMayHaveGrown(std::string_view service)
{
    const auto found = m_services.find(service);
    if (found != m_services.end() && found->second.queue.size() > 0) {
        startAttempt(found->second);
    }
}

void QueueDispatcher::applyPlan(const RoutingPlan &plan)
{
    for (auto &[name, service] : m_services) {
        for (const auto &[id, waiter] : service.waiters) {
            const absl::StatusOr<Urgency> urgency = waiter->ticket->reconsider(plan);
            if (urgency.ok()) {
                waiter->ticket->urgency = *urgency;
                service.queue.setRank(id, urgency->rank);
            } else {
                waiter->denied = urgency.status();
                waiter->timer.cancel();
            }
        }
    }
}

void QueueDispatcher::beginDrain()
{
    m_draining = true;
    for (auto &[name, service] : m_services) {
        refuseLate(service);
    }
}

void QueueDispatcher::refuseLate(Service &service)
{
    const Instant now = steadyNow();
    for (const auto &[id, waiter] : service.waiters) {
        if (!waiter->ticket->endsBeforeShutdown(now)) {
            refuse(service, id, QueueRefusal::Draining);
        }
    }
}

std::size_t QueueDispatcher::bytesOutside(const Service &service) const
{
    std::size_t bytes = 0;
    for (const auto &[name, other] : m_services) {
        bytes += &other == &service ? 0 : other.queue.bytes();
    }
    return bytes;
}

void QueueDispatcher::countRefusal(const std::string &service, QueueRefusal refusal)
{
    const std::array<MetricLabel, 2> labels{{{.name = "service", .value = service}, {.name = "reason", .value = refusalName(refusal)}}};
    m_metrics.count("queue_refused_total", labels);
}

void QueueDispatcher::updateGauges(const std::string &name, const Service &service)
{
    m_metrics.gauge("queue_waiting", {.name = "service", .value = name}, static_cast<std::int64_t>(service.queue.size()));
    m_metrics.gauge("queue_bytes", {.name = "service", .value = name}, static_cast<std::int64_t>(service.queue.bytes()));
}

boost::asio::awaitable<void> QueueDispatcher::poll()
{
    bool waiting = true;
    while (waiting) {
        co_await pause(s_pollInterval);
        waiting = false;
        for (auto &[name, service] : m_services) {
            if (service.queue.size() == 0) {
                continue;
            }
            waiting = true;
            if (m_draining && steadyNow() - m_lateRefusedAt >= s_drainCheckInterval) {
                m_lateRefusedAt = steadyNow();
                refuseLate(service);
            }
            if (steadyNow() - service.lastAttemptAt >= s_pollInterval) {
                startAttempt(service);
            }
            updateGauges(name, service);
        }
    }
    m_polling = false;
}

}
