#include "gateway/streambinding.h"

#include "clock/steadytime.h"
#include "net/pause.h"
#include "operations/log.h"

#include <absl/strings/str_join.h>

#include <utility>
#include <vector>

namespace bamboohold {

namespace {

/// A router that has just read the list of targets reads within this time which versions there were before.
constexpr Duration s_versionsReadTime = std::chrono::milliseconds(100);

std::int64_t inMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}

StreamBinding::StreamBinding(const TargetBalancer &balancer, StreamOrigins &origins, Metrics &metrics)
    : m_balancer(balancer)
    , m_origins(origins)
    , m_metrics(metrics)
{
}

boost::asio::awaitable<Continuation> StreamBinding::takeUp(Request request)
{
    std::vector<std::string> services;
    for (const ServiceShare &share : request.route.services) {
        services.push_back(share.service);
    }
    const std::string &began = request.metadata.resumes;
    StreamQueryResult keepers;
    if (!began.empty()) {
        keepers = co_await m_origins.find(streamKey(request.team, began), services);
    }
    const Duration longest = longestStream(request.route.timeout);
    ContinuationFacts facts{.named = !began.empty(),
                            .origins = keepers.origins,
                            .keepersSilent = keepers.answeredBefore > 0 && keepers.answered == 0,
                            .services = services,
                            .seen = m_balancer.seenVersions(request.service, longest, steadyNow()),
                            .longestStream = longest};
    Continuation continuation = decideContinuation(facts);
    if (continuation.kind == Continuation::Kind::Nowhere && facts.seen.followedFor.value_or(longest) < s_versionsReadTime) {
        co_await pause(s_versionsReadTime);
        facts.seen = m_balancer.seenVersions(request.service, longest, steadyNow());
        continuation = decideContinuation(facts);
    }
    log(request, continuation, facts, keepers);
    m_version = continuation.origin.version;
    m_originKnown = continuation.kind == Continuation::Kind::AtOrigin;
    co_return continuation;
}

void StreamBinding::streamBegins(const Request &request, const Placement &placement)
{
    if (m_version.empty()) {
        const bool sameProcess = !m_balancer.hasRestarted(placement.name, placement.incarnation);
        const bool sameVersion =
            !m_balancer.isKnown(placement.incarnation) || m_balancer.version(placement.incarnation) == placement.version;
        m_version = sameProcess && sameVersion ? placement.version : std::string();
        m_versionUnknown = m_version.empty();
    }
    const bool continued = !request.metadata.resumeAfter.empty();
    if (!request.route.resumable || m_versionUnknown || (continued && !m_originKnown)) {
        return;
    }
    const std::string &began = continued ? request.metadata.resumes : request.metadata.requestId;
    m_origins.record(streamKey(request.team, began), {.service = request.service, .version = m_version});
}

bool StreamBinding::mayGoOn(const Request &request)
{
    if (!m_versionUnknown) {
        return true;
    }
    const Duration longest = longestStream(request.route.timeout);
    const ContinuationFacts facts{.seen = m_balancer.seenVersions(request.service, longest, steadyNow()), .longestStream = longest};
    const Continuation continuation = decideContinuation(facts);
    log(request, continuation, facts, {});
    m_version = continuation.origin.version;
    return continuation.kind != Continuation::Kind::Nowhere;
}

void StreamBinding::log(const Request &request,
                        const Continuation &continuation,
                        const ContinuationFacts &facts,
                        const StreamQueryResult &keepers) const
{
    const bool allowed = continuation.kind != Continuation::Kind::Nowhere;
    const std::string_view outcome = allowed ? "goes_on" : "refused";
    m_metrics.count("stream_continuations_total", {.name = "outcome", .value = outcome});
    logLine(Severity::Info,
            "stream.continuation",
            {{"request", request.metadata.requestId},
             {"resumes", request.metadata.resumes},
             {"last_event", request.metadata.resumeAfter},
             {"outcome", outcome},
             {"reason", continuation.reason},
             {"service", request.service},
             {"version", continuation.origin.version},
             {"origins", static_cast<std::int64_t>(facts.origins.size())},
             {"origin_age_ms", facts.origins.empty() ? -1 : inMs(facts.origins.front().age)},
             {"keepers_asked", static_cast<std::int64_t>(keepers.asked)},
             {"keepers_answered", static_cast<std::int64_t>(keepers.answered)},
             {"versions_seen", absl::StrJoin(facts.seen.versions, ",")},
             {"list_followed_ms", facts.seen.followedFor ? inMs(*facts.seen.followedFor) : -1}});
}

}
