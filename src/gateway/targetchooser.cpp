#include "gateway/targetchooser.h"

#include "clock/steadytime.h"
#include "operations/log.h"
#include "routing/limitadmissions.h"
#include "routing/stablehash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace bamboohold {

namespace {

/// Admissions requested for one request; its caller waits for the round trip of each.
constexpr int s_maxAdmissionQueries = 3;
/// Longest suspension after a refused admission, since the limit may end before the next admission is due.
constexpr Duration s_maxAdmissionWait = std::chrono::seconds(2);

}

TargetChooser::TargetChooser(TargetBalancer &balancer, Metrics &metrics, Options options)
    : m_balancer(balancer)
    , m_metrics(metrics)
    , m_options(std::move(options))
    , m_shares(m_options.self)
{
}

void TargetChooser::setLoadClient(LoadClient &client)
{
    m_loadClient = &client;
    m_loadClient->setCallbacks(
        [this](const std::string &incarnation, const TargetLoadReply &reply) {
            m_balancer.setRemoteLoad(incarnation, reply.remoteLoad, steadyNow());
            if (reply.speed) {
                applyReportedSpeed(incarnation, *reply.speed);
            }
            if (reply.limit) {
                applyReportedLimit(incarnation, *reply.limit, reply.askedAt);
            }
        },
        [this](const std::string &incarnation) {
            m_balancer.relayTimedOut(incarnation, steadyNow());
        });
}

std::optional<LoadNotice> TargetChooser::loadNotice(const std::string &incarnation) const
{
    std::optional<TargetBalancer::OwnLoad> own = m_balancer.ownLoad(incarnation);
    if (m_loadClient == nullptr || !own) {
        return std::nullopt;
    }
    return LoadNotice{.incarnation = incarnation,
                      .relay = std::move(own->relay),
                      .load = own->load,
                      .speed = m_balancer.speedReport(incarnation, steadyNow())};
}

void TargetChooser::applyReportedSpeed(const std::string &incarnation, const SpeedReport &report)
{
    const auto ignored = m_balancer.setRemoteSpeed(incarnation, report, steadyNow());
    if (!ignored) {
        return;
    }
    m_metrics.count("target_speed_reports_ignored_total", {.name = "reason", .value = ignored->reason});
    if (ignored->first) {
        logLine(Severity::Warning, "target.speed_report_ignored", {{"target", incarnation}, {"reason", ignored->reason}});
    }
}

void TargetChooser::reportLoad(const std::string &incarnation)
{
    if (const std::optional<LoadNotice> notice = loadNotice(incarnation)) {
        m_loadClient->notifyRelay(*notice);
    }
}

void TargetChooser::countSent(const Placement &placement, std::string_view requestId)
{
    const std::string &incarnation = placement.incarnation;
    const std::string_view limited = m_balancer.rateLimit(incarnation) ? "yes" : "no";
    const std::array<MetricLabel, 2> labels{{{.name = "target", .value = incarnation}, {.name = "limited", .value = limited}}};
    m_metrics.count("target_requests_total", labels);
    if (placement.missingSince) {
        const auto missing = std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() - *placement.missingSince);
        logLine(Severity::Info,
                "attempt.unlisted_target",
                {{"request", requestId},
                 {"target", incarnation},
                 {"missing_ms", static_cast<std::int64_t>(missing.count())},
                 {"meaning", missingEntryName(*placement.missingEntry)}});
    }
}

void TargetChooser::applyAnswerTerms(const std::string &incarnation, const ResponseMetadata &answer, Instant sentAt)
{
    if (!answer.malformedHeader.empty()) {
        logLine(Severity::Warning, "target.header_unreadable", {{"target", incarnation}, {"header", answer.malformedHeader}});
    }
    if (answer.leaving && m_balancer.outOfServiceReason(incarnation) != OutOfServiceReason::Leaving) {
        logLine(Severity::Info, "target.says_leaving", {{"target", incarnation}});
    }
    if (answer.leaving || answer.misdirected) {
        m_balancer.markLeaving(incarnation);
    }
    if (answer.retryAfter) {
        logLine(Severity::Info,
                "target.asks_rest",
                {{"target", incarnation}, {"rest_ms", std::chrono::duration_cast<std::chrono::milliseconds>(*answer.retryAfter).count()}});
        m_balancer.suspendUntil(incarnation, steadyNow() + *answer.retryAfter);
    }
    if (answer.requestRateLimit) {
        const double limit = std::max(*answer.requestRateLimit, LimitAdmissions::s_minRequestsPerSecond);
        setLimit(incarnation, limit);
        reportLimit(incarnation, limit);
    } else if (answer.sealed && endLimit(incarnation, sentAt)) {
        // Only an answer that the target itself has sealed ends a limit by not stating one.
        reportLimit(incarnation, 0);
    }
}

void TargetChooser::setLimit(const std::string &incarnation, double requestsPerSecond)
{
    if (m_balancer.rateLimit(incarnation) != requestsPerSecond) {
        logLine(Severity::Info, "target.limited", {{"target", incarnation}, {"requests_per_second", absl::StrCat(requestsPerSecond)}});
    }
    m_balancer.setRateLimit(incarnation, requestsPerSecond, steadyNow());
}

bool TargetChooser::endLimit(const std::string &incarnation, Instant askedAt)
{
    const bool cleared = m_balancer.clearRateLimit(incarnation, askedAt);
    if (cleared) {
        logLine(Severity::Info, "target.limit_ended", {{"target", incarnation}});
    }
    return cleared;
}

void TargetChooser::reportLimit(const std::string &incarnation, double requestsPerSecond)
{
    if (m_loadClient != nullptr) {
        LoadNotice notice = admissionNotice(incarnation);
        notice.reportedLimit = requestsPerSecond;
        m_loadClient->notifyRelay(notice);
    }
}

void TargetChooser::applyReportedLimit(const std::string &incarnation, double requestsPerSecond, Instant askedAt)
{
    if (requestsPerSecond <= 0) {
        endLimit(incarnation, askedAt);
    } else if (m_balancer.rateLimit(incarnation) != requestsPerSecond) {
        // A report of the same limit does not renew the time of the limit: only the target's own answers do.
        setLimit(incarnation, requestsPerSecond);
    }
}

void TargetChooser::refreshLoads()
{
    for (const std::string &incarnation : m_balancer.targetsInUse()) {
        reportLoad(incarnation);
    }
}

void TargetChooser::refreshSpeeds()
{
    for (const TargetBalancer::SpeedChange &change : m_balancer.refreshSpeeds(steadyNow())) {
        logLine(change.slow ? Severity::Warning : Severity::Info,
                change.slow ? "target.slow" : "target.speed_recovered",
                {{"target", change.incarnation}, {"percent_of_median", static_cast<std::int64_t>(change.percent)}});
    }
}

void TargetChooser::exportSpeeds()
{
    std::map<std::string, int> percents = m_balancer.speedPercents(steadyNow());
    for (const auto &[incarnation, percent] : m_exportedSpeeds) {
        if (!percents.contains(incarnation)) {
            m_metrics.removeGauge("target_speed_percent", {.name = "target", .value = incarnation});
        }
    }
    for (const auto &[incarnation, percent] : percents) {
        m_metrics.gauge("target_speed_percent", {.name = "target", .value = incarnation}, percent);
    }
    m_exportedSpeeds = std::move(percents);
}

boost::asio::awaitable<std::optional<Placement>> TargetChooser::place(PlacementRequest request, double coldPerSecond)
{
    std::vector<std::string> excluded(request.excluded.begin(), request.excluded.end());
    for (int queries = 0; queries < s_maxAdmissionQueries; ++queries) {
        request.excluded = excluded;
        std::optional<Placement> placement = co_await chooseLeastLoaded(request);
        if (!placement) {
            co_return std::nullopt;
        }
        const AdmissionRates rates{.cold = placement->cold ? coldPerSecond : 0, .limit = placement->rateLimit.value_or(0)};
        if (!rates.restricted()) {
            co_return placement;
        }
        const Instant askedAt = steadyNow();
        const bool admits = co_await requestAdmission(*placement, rates);
        if (admits) {
            placement->sendBefore = askedAt + s_admissionLifetime;
            co_return placement;
        }
        excluded.push_back(placement->incarnation);
    }
    request.excluded = excluded;
    request.skipAdmissionControlled = true;
    std::optional<Placement> unrestricted = co_await chooseLeastLoaded(request);
    co_return unrestricted;
}

LoadNotice TargetChooser::admissionNotice(const std::string &incarnation) const
{
    LoadNotice notice = loadNotice(incarnation).value_or(LoadNotice{.incarnation = incarnation});
    if (!m_routers.empty() && !m_loadClient->hasAnswered(notice.relay)) {
        const std::uint64_t hash = stableHash(incarnation);
        notice.relay = *std::ranges::max_element(m_routers, {}, [hash](const std::string &router) {
            return mixed(stableHash(router) ^ hash);
        });
    }
    return notice;
}

boost::asio::awaitable<bool> TargetChooser::requestAdmission(Placement placement, AdmissionRates rates)
{
    AdmissionAnswer answer;
    if (m_loadClient != nullptr && m_options.centralAdmission) {
        LoadNotice notice =
            rates.limit > 0 ? admissionNotice(placement.incarnation) : loadNotice(placement.incarnation).value_or(LoadNotice{});
        answer = co_await m_loadClient->queryAdmission(std::move(notice), rates);
    }
    // Other routers may still get admissions from the process that does not answer this one, so half of a limit is left to them.
    const bool noAnswer = answer.admission == Admission::NoRelay || (answer.admission == Admission::Unanswered && rates.cold <= 0);
    if (noAnswer) {
        const AdmissionRates shared{.cold = rates.cold, .limit = rates.limit / 2};
        co_return m_shares.admit(placement.incarnation, shared.lowest(), steadyNow());
    }
    // The answer may have stated that the limit has ended.
    const bool unrestricted = rates.cold <= 0 && !m_balancer.rateLimit(placement.incarnation);
    const bool granted = unrestricted || answer.admission == Admission::Granted;
    if (!granted) {
        m_balancer.suspendUntil(placement.incarnation, steadyNow() + std::min(answer.wait, s_maxAdmissionWait));
    }
    co_return granted;
}

boost::asio::awaitable<std::optional<Placement>> TargetChooser::chooseLeastLoaded(PlacementRequest request)
{
    const std::vector<std::string> candidates = m_balancer.candidates(request, m_options.candidatesQueried, steadyNow());
    std::vector<LoadNotice> notices;
    for (const std::string &candidate : candidates) {
        if (std::optional<LoadNotice> notice = loadNotice(candidate)) {
            notices.push_back(*std::move(notice));
        }
    }
    // With a single candidate there is nothing to compare, but a request that waits has to learn whether it has capacity again.
    const bool wantsLoads = candidates.size() > 1 || (request.capacity && request.capacity->waiting);
    if (wantsLoads && !notices.empty()) {
        co_await m_loadClient->queryRelays(notices);
        request.shortlist = candidates;
    }
    std::optional<Placement> placement = m_balancer.choose(request, steadyNow());
    if (!placement && !request.shortlist.empty() && !request.capacity) {
        // All candidates have left or failed in the meantime. A request that requires capacity is tried again instead: the loads of the
        // other targets were not queried.
        request.shortlist = {};
        placement = m_balancer.choose(request, steadyNow());
    }
    co_return placement;
}

}
