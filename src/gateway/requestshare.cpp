#include "gateway/requestshare.h"

#include "clock/steadytime.h"
#include "operations/log.h"

#include <cmath>

namespace bamboohold {

namespace {

constexpr double s_percent = 100;

}

RequestShare::RequestShare(ServiceShares &shares, Metrics &metrics)
    : m_shares(shares)
    , m_metrics(metrics)
{
}

RequestShare::~RequestShare()
{
    if (!m_decided) {
        m_shares.withdraw(m_place, steadyNow());
    }
}

void RequestShare::arrive(const ServiceShares::Request &request, Instant now)
{
    m_team = request.team;
    m_service = request.service;
    m_place = m_shares.arrive(request, now);
    m_decided = false;
    if (m_place.isPromised) {
        m_metrics.count("promised_requests_total", {.name = "service", .value = m_service});
    }
}

void RequestShare::dispatched(Instant now)
{
    m_decided = true;
    m_shares.dispatched(m_place, now);
}

void RequestShare::refused(std::string_view reason, Instant now)
{
    m_decided = true;
    const std::optional<ServiceShares::Shortage> shortage = m_shares.refused(m_place, reason, now);
    if (!shortage) {
        return;
    }
    m_metrics.count("team_shortages_total", {.name = "team", .value = m_team});
    logLine(Severity::Warning,
            "team.short_of_service",
            {{"team", m_team},
             {"service", m_service},
             {"asked", std::llround(shortage->asked)},
             {"served", std::llround(shortage->served)},
             {"share_percent", std::llround(s_percent * shortage->share)},
             {"share_of_all_percent", std::llround(s_percent * shortage->shareOfAll)},
             {"reason", shortage->reason}});
}

}
