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

RequestRetries::RequestRetries(RetryBudget &budget, Metrics &metrics)
    : m_budget(budget)
    , m_metrics(metrics)
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

bool RequestRetries::tryRetry(std::size_t routers, Instant now)
{
    const bool granted = m_sent == 0 || m_budget.tryAcquireRetry(m_service, routers, now);
    if (!granted) {
        m_metrics.count("retries_refused_total", {.name = "service", .value = m_service});
    }
    return granted;
}

void RequestRetries::sent(std::string_view target, std::size_t routers, Instant now)
{
    ++m_sent;
    m_underWay = true;
    const std::array<MetricLabel, 2> labels{{{.name = "service", .value = m_service}, {.name = "cause", .value = m_cause}}};
    m_metrics.count("target_arrivals_total", labels);
    if (m_sent == 1) {
        return;
    }
    const RetryBudget::Usage usage = m_budget.usage(m_service, now);
    logLine(Severity::Info,
            "attempt.repeated",
            {{"request", m_requestId},
             {"service", m_service},
             {"target", target},
             {"cause", m_cause},
             {"requests", static_cast<std::int64_t>(usage.requests)},
             {"retries", static_cast<std::int64_t>(usage.retries)},
             {"routers", static_cast<std::int64_t>(routers)}});
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
