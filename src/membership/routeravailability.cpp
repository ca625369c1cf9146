#include "membership/routeravailability.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bamboohold {

namespace {

/// The number of latest restarts that are remembered, and the quarter of them that may take longer than expected.
constexpr std::size_t s_maxRestarts = 8;
constexpr std::size_t s_slowRestarts = 4;
/// A router that has not returned by this factor of its expected time is not waited for any more.
constexpr int s_returnFactor = 2;
/// The most routers of another failure domain, and of those whose domain is not known, that are asked at a time.
constexpr std::size_t s_maxAskedInDomain = 2;
constexpr std::size_t s_maxAskedUnknown = 8;
/// A router that is not back when it was expected is not expected before this time has passed.
constexpr Duration s_overdueTime = std::chrono::milliseconds(500);

}

RouterAvailability::RouterAvailability(Options options)
    : m_options(std::move(options))
{
}

bool RouterAvailability::recordNotice(const std::string &router, RouterState state, Instant now)
{
    state.sinceChange = std::clamp(state.sinceChange, Duration::zero(), m_options.maxStatedTime);
    state.untilAccepting = std::clamp(state.untilAccepting, Duration::zero(), m_options.maxStatedTime);
    Entry &entry = m_routers[router];
    const RouterPhase before = phaseOf(entry, now);
    if (std::ranges::find(entry.formerIncarnations, state.incarnation) != entry.formerIncarnations.end()) {
        return false;
    }
    if (entry.state.incarnation == state.incarnation) {
        if (state.sequence <= entry.state.sequence) {
            return false;
        }
    } else {
        recordRestart(entry, state, now);
        entry.formerIncarnations = {entry.state.incarnation, entry.formerIncarnations.front()};
    }
    entry.state = std::move(state);
    entry.heardAt = now;
    return phaseOf(entry, now) != before;
}

void RouterAvailability::recordRestart(const Entry &entry, const RouterState &successor, Instant now)
{
    if (entry.state.phase != RouterPhase::Closed || successor.phase != RouterPhase::Accepting) {
        return;
    }
    const Duration took = now - successor.sinceChange - entry.heardAt;
    if (took > m_options.maxRestartTime) {
        return;
    }
    m_restarts.push_back(std::max(took, m_options.minRestartTime));
    if (m_restarts.size() > s_maxRestarts) {
        m_restarts.pop_front();
    }
}

void RouterAvailability::recordDomain(const std::string &router, const std::string &failureDomain)
{
    m_routers[router].state.failureDomain = failureDomain;
}

void RouterAvailability::setRouters(const std::vector<std::string> &routers, Instant now)
{
    std::erase_if(m_routers, [&routers, this, now](const auto &known) {
        // A router that stops takes itself off the list of live ones, and its return is waited for.
        const RouterPhase phase = phaseOf(known.second, now);
        const bool expectedBack = phase == RouterPhase::Closed || phase == RouterPhase::Stopping;
        return !expectedBack && std::ranges::find(routers, known.first) == routers.end();
    });
    for (const std::string &router : routers) {
        if (router != m_options.self) {
            m_routers.try_emplace(router);
        }
    }
}

RouterPhase RouterAvailability::phaseOf(const Entry &entry, Instant now) const
{
    const Duration age = now - entry.heardAt;
    switch (entry.state.phase) {
    case RouterPhase::Unknown:
        break;
    case RouterPhase::Accepting:
        return age <= m_options.acceptingLifetime ? RouterPhase::Accepting : RouterPhase::Unknown;
    case RouterPhase::Stopping:
    case RouterPhase::Closed:
        return age <= s_returnFactor * entry.state.untilAccepting ? entry.state.phase : RouterPhase::Unknown;
    }
    return RouterPhase::Unknown;
}

bool RouterAvailability::fades(const Entry &entry, Instant now) const
{
    const RouterPhase phase = phaseOf(entry, now);
    return phase == RouterPhase::Unknown || (phase == RouterPhase::Accepting && now - entry.heardAt > m_options.acceptingLifetime / 2);
}

std::vector<std::string> RouterAvailability::takeRoutersToAsk(Instant now)
{
    std::vector<std::string> asked;
    std::map<std::string_view, std::vector<std::pair<std::optional<Instant>, std::string_view>>> candidates;
    std::set<std::string_view> acceptingDomains;
    for (auto &[name, entry] : m_routers) {
        if (!fades(entry, now)) {
            if (entry.state.phase == RouterPhase::Accepting) {
                acceptingDomains.insert(entry.state.failureDomain);
            }
        } else if (entry.state.failureDomain == m_options.failureDomain) {
            asked.push_back(name);
        } else {
            candidates[entry.state.failureDomain].emplace_back(entry.askedAt, name);
        }
    }
    for (auto &[domain, routers] : candidates) {
        if (acceptingDomains.contains(domain)) {
            continue;
        }
        std::ranges::sort(routers);
        routers.resize(std::min(routers.size(), domain.empty() ? s_maxAskedUnknown : s_maxAskedInDomain));
        for (const auto &[askedAt, name] : routers) {
            asked.emplace_back(name);
        }
    }
    for (const std::string &name : asked) {
        m_routers[name].askedAt = now;
    }
    return asked;
}

std::vector<std::string> RouterAvailability::domainRouters() const
{
    std::vector<std::string> result;
    for (const auto &[name, entry] : m_routers) {
        if (entry.state.failureDomain == m_options.failureDomain) {
            result.push_back(name);
        }
    }
    return result;
}

std::vector<RouterAvailability::Router> RouterAvailability::routers(Instant now) const
{
    std::vector<Router> result;
    result.reserve(m_routers.size());
    for (const auto &[name, entry] : m_routers) {
        Router router{.name = name,
                      .failureDomain = entry.state.failureDomain,
                      .phase = phaseOf(entry, now),
                      .inOwnDomain = entry.state.failureDomain == m_options.failureDomain,
                      .hasEarlierStreams = entry.state.hasEarlierStreams,
                      .changedAt = entry.heardAt - entry.state.sinceChange,
                      .acceptsAt = std::nullopt};
        if (router.phase == RouterPhase::Stopping || router.phase == RouterPhase::Closed) {
            const Instant expectedAt = entry.heardAt + entry.state.untilAccepting;
            router.acceptsAt = expectedAt > now ? expectedAt : now + s_overdueTime;
        }
        result.push_back(router);
    }
    return result;
}

RouterPhase RouterAvailability::phase(const std::string &router, Instant now) const
{
    const auto known = m_routers.find(router);
    return known != m_routers.end() ? phaseOf(known->second, now) : RouterPhase::Unknown;
}

std::size_t RouterAvailability::count(RouterPhase phase, Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_routers, [this, phase, now](const auto &known) {
        return phaseOf(known.second, now) == phase;
    }));
}

Duration RouterAvailability::restartTime() const
{
    if (m_restarts.empty()) {
        return m_options.defaultRestartTime;
    }
    std::vector<Duration> sorted(m_restarts.begin(), m_restarts.end());
    std::ranges::sort(sorted);
    return sorted[sorted.size() - 1 - sorted.size() / s_slowRestarts];
}

}
