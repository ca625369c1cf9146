#include "gateway/availabilityexchange.h"

#include "operations/log.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace bamboohold {

namespace {

/// A router announces its start for less than this time.
constexpr Duration s_startTime = std::chrono::seconds(5);

std::string_view phaseName(RouterPhase phase)
{
    switch (phase) {
    case RouterPhase::Unknown:
        break;
    case RouterPhase::Accepting:
        return "accepting";
    case RouterPhase::Stopping:
        return "stopping";
    case RouterPhase::Closed:
        return "closed";
    }
    return "unknown";
}

}

AvailabilityExchange::AvailabilityExchange(RouterAvailability &availability, Options options)
    : m_availability(availability)
    , m_options(std::move(options))
{
}

void AvailabilityExchange::announce(Instant now)
{
    send(m_options.peers(), now);
}

void AvailabilityExchange::repeat(Instant now)
{
    send(m_availability.domainRouters(), now);
}

void AvailabilityExchange::send(const std::vector<std::string> &routers, Instant now)
{
    RouterState state = ownState(now);
    std::vector<std::string> asked;
    if (state.phase == RouterPhase::Stopping) {
        asked = m_availability.takeRoutersToAsk(now);
    }
    std::set<std::string> receivers(routers.begin(), routers.end());
    receivers.insert(asked.begin(), asked.end());
    for (const std::string &router : receivers) {
        state.asks = std::ranges::find(asked, router) != asked.end();
        m_options.send(router, state);
    }
}

void AvailabilityExchange::handleNotice(const std::string &peer, const RouterState &state, Instant now)
{
    const bool changed = m_availability.recordNotice(peer, state, now);
    if (changed && state.failureDomain == m_availability.failureDomain()) {
        logLine(Severity::Info,
                "availability.changed",
                {{"peer", peer},
                 {"phase", phaseName(state.phase)},
                 {"until_accepting_ms", std::chrono::duration_cast<std::chrono::milliseconds>(state.untilAccepting).count()},
                 {"accepting", static_cast<std::int64_t>(m_availability.count(RouterPhase::Accepting, now))}});
    }
    // A router that has just started does not know that this one stops. Another that accepts has answered it.
    const RouterState own = ownState(now);
    const bool starts = changed && state.phase == RouterPhase::Accepting && state.sinceChange <= s_startTime;
    if (state.asks || (starts && own.phase != RouterPhase::Accepting)) {
        m_options.send(peer, own);
    }
}

RouterState AvailabilityExchange::ownState(Instant now)
{
    RouterState state = m_options.ownState(now);
    state.failureDomain = m_availability.failureDomain();
    state.incarnation = m_options.incarnation;
    state.sequence = ++m_sequence;
    return state;
}

}
