#include "gateway/requestretries.h"

#include "operations/log.h"

#include <array>
#include <utility>

namespace bamboohold {

namespace {

/// The most targets that one request is sent to, whatever they respond.
constexpr std::size_t s_maxTargetsTried = 5;
/// With less time left no retry is made, because no target could respond in time.
constexpr Duration s_minAttemptTime = std::chrono::milliseconds(30);

}

RequestRetries::RequestRetries(RetryBudget &budget, Metrics &metrics, const PositionFinder &findPosition)
    : m_budget(budget)
    , m_metrics(metrics)
    , m_findPosition(findPosition)
{
}

bool RequestRetries::worthTrying(std::size_t targetsTried, Duration timeLeft)
{
    return targetsTried < s_maxTargetsTried && timeLeft >= s_minAttemptTime;
}

void RequestRetries::begin(std::string_view requestId, const std::string &service, Instant arrived)
{
    m_requestId = requestId;
    m_service = service;
    m_budget.recordRequest(service, arrived);
}

bool RequestRetries::maySend(Instant now)
{
    const bool allowed = canReserve(now);
    if (!allowed) {
        m_metrics.count("retries_refused_total", {.name = "service", .value = m_service});
    }
    return allowed;
}

bool RequestRetries::canReserve(Instant now)
{
    return m_reserved || m_sent == 0 || m_budget.hasRetry(m_service, m_findPosition(m_service, now), now);
}

bool RequestRetries::reserve(Instant now)
{
    m_reserved = m_reserved || m_sent == 0 || m_budget.tryAcquireRetry(m_service, m_findPosition(m_service, now), now);
    return m_reserved;
}

bool RequestRetries::trySend(std::string_view target, Instant now)
{
    const std::optional<FleetPosition> position = m_sent > 0 ? m_findPosition(m_service, now) : std::nullopt;
    const bool reserved = std::exchange(m_reserved, false);
    if (m_sent > 0 && !reserved && !m_budget.tryAcquireRetry(m_service, position, now)) {
        return false;
    }
    ++m_sent;
    m_underWay = true;
    const std::array<MetricLabel, 2> labels{{{.name = "service", .value = m_service}, {.name = "cause", .value = m_cause}}};
    m_metrics.count("target_arrivals_total", labels);
    if (m_sent > 1) {
        const RetryBudget::Usage usage = m_budget.usage(m_service, now);
        logLine(Severity::Info,
                "attempt.repeated",
                {{"request", m_requestId},
                 {"service", m_service},
                 {"target", target},
                 {"cause", m_cause},
                 {"earned", static_cast<std::int64_t>(usage.earned)},
                 {"slack_retries", static_cast<std::int64_t>(usage.slackRetries)},
                 {"routers", static_cast<std::int64_t>(position ? position->routers : 0)}});
    }
    return true;
}

void RequestRetries::attemptEnded(AttemptOutcome outcome, bool streamStarted)
{
    if (!std::exchange(m_underWay, false)) {
        return;
    }
    if (outcome == AttemptOutcome::NotRun) {
        m_cause = "declined";
    } else if (outcome == AttemptOutcome::Failed) {
        m_cause = "failed";
    } else {
        m_cause = streamStarted ? "stream_broken_off" : "no_answer";
    }
}

}
