#include "membership/restartround.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace bamboohold {

namespace {

/// The load balancer's choice is foreseen in such steps.
constexpr Duration s_forecastStep = std::chrono::milliseconds(250);

/// Notices are late by about this much, so routers that were asked to stop within it are ordered by name.
constexpr Duration s_sameTime = std::chrono::milliseconds(100);

/// A caller that retries once is told a time at which it reaches a router that accepts it with at least this probability, in percent.
constexpr std::size_t s_acceptedPercent = 66;

}

bool RestartRound::accepts(const Router &router, Instant at) const
{
    return router.phase == RouterPhase::Accepting || (router.acceptsAt && *router.acceptsAt <= at);
}

bool RestartRound::inRotation(const Router &router, Instant at) const
{
    if (router.acceptsAt && *router.acceptsAt <= at) {
        return *router.acceptsAt + m_options.returnTime <= at;
    }
    if (router.phase == RouterPhase::Accepting) {
        return router.changedAt + m_options.returnTime <= at;
    }
    return router.phase == RouterPhase::Stopping && at < router.changedAt + m_options.removalTime;
}

bool RestartRound::precedes(const Router &router) const
{
    if (router.phase != RouterPhase::Stopping || router.hasEarlierStreams) {
        return false;
    }
    const Duration later = router.changedAt - m_options.startedAt;
    return later < -s_sameTime || (later <= s_sameTime && router.name < m_options.self);
}

RestartRound::Callers RestartRound::callersOf(const std::vector<Router> &routers, Instant at) const
{
    std::size_t domainSize = 1;
    std::size_t domainIn = 0;
    std::size_t othersIn = 0;
    for (const Router &router : routers) {
        const bool in = inRotation(router, at);
        domainSize += router.inOwnDomain ? 1 : 0;
        domainIn += router.inOwnDomain && in ? 1 : 0;
        othersIn += !router.inOwnDomain && in ? 1 : 0;
    }
    if (domainIn > 0) {
        return 2 * domainIn >= domainSize ? Callers::Elsewhere : Callers::WholeDomain;
    }
    return othersIn > 0 ? Callers::Elsewhere : Callers::WholeFleet;
}

bool RestartRound::mayLeave(Instant now) const
{
    const std::vector<Router> routers = m_availability.routers(now);
    const Instant returnsAt = now + m_options.closingTime + m_availability.restartTime();
    Callers callers = Callers::Elsewhere;
    for (Instant at = now; at <= returnsAt && callers == Callers::Elsewhere; at += s_forecastStep) {
        callers = callersOf(routers, at);
    }
    if (callers == Callers::Elsewhere) {
        return true;
    }
    std::size_t domainSize = 1;
    std::size_t domainFirst = 0;
    std::size_t fleetFirst = 0;
    struct Domain {
        std::size_t stopping = 0;
        bool mayLeave = false;
    };
    std::map<std::string_view, Domain> domains;
    for (const Router &router : routers) {
        const bool first = router.phase == RouterPhase::Accepting || router.phase == RouterPhase::Closed || precedes(router);
        domainSize += router.inOwnDomain ? 1 : 0;
        domainFirst += router.inOwnDomain && first ? 1 : 0;
        fleetFirst += first ? 1 : 0;
        if (router.phase == RouterPhase::Stopping) {
            Domain &domain = domains[router.failureDomain];
            ++domain.stopping;
            domain.mayLeave = domain.mayLeave || (!router.hasEarlierStreams && router.changedAt + m_options.rotationTime <= now);
        }
    }
    if (domainSize > 1) {
        // As soon as half of a domain's routers are back, the load balancer sends callers only to these, and the others can leave.
        return domainFirst < (domainSize + 1) / 2;
    }
    // A domain that keeps a router loses only connections. It begins, and the callers of the others go there once one is back.
    const bool othersBegin = std::ranges::any_of(domains, [](const auto &domain) {
        return domain.second.mayLeave && domain.second.stopping > 1;
    });
    return !othersBegin && fleetFirst == 0;
}

RestartRound::Reached RestartRound::reached(const std::vector<Router> &routers, Instant at) const
{
    Reached domain;
    Reached domainIn;
    Reached othersIn;
    const auto add = [](Reached &reached, bool accepting) {
        ++reached.routers;
        reached.accepting += accepting ? 1 : 0;
    };
    // This router is still in the rotation; a retry does not reach it again.
    const std::size_t selfIn = at < m_options.startedAt + m_options.removalTime ? 1 : 0;
    for (const Router &router : routers) {
        // Nobody has said otherwise of a router that is alive.
        const bool presumed = router.phase == RouterPhase::Unknown;
        const bool accepting = presumed || accepts(router, at);
        if (router.inOwnDomain) {
            add(domain, accepting);
        }
        if (presumed || inRotation(router, at)) {
            add(router.inOwnDomain ? domainIn : othersIn, accepting);
        }
    }
    const std::size_t in = domainIn.routers + selfIn;
    if (domainIn.routers > 0) {
        return 2 * in >= domain.routers + 1 ? domainIn : domain;
    }
    return selfIn == 0 && othersIn.routers > 0 ? othersIn : domain;
}

Duration RestartRound::untilReturn(const Work &work, Instant now) const
{
    const Duration untilDeadline = std::max(Duration::zero(), m_options.workDeadline - now);
    const Duration restart = m_availability.restartTime();
    if (!work.listening) {
        return (work.connections ? std::min(untilDeadline, m_options.closingTime) : Duration::zero()) + restart;
    }
    if (work.earlierStreams) {
        return untilDeadline + restart;
    }
    // It follows those that leave first once the load balancer uses them again.
    const Instant mayLeaveAt = std::max(now, m_options.startedAt + m_options.rotationTime);
    const Duration turn = mayLeave(mayLeaveAt) ? Duration::zero() : m_options.closingTime + restart + m_options.returnTime;
    return std::min(untilDeadline, mayLeaveAt - now + turn + m_options.closingTime) + restart;
}

Duration RestartRound::retryTime(Duration untilReturn, Instant now) const
{
    const std::vector<Router> routers = m_availability.routers(now);
    const Instant earliest = now + m_options.minRetryTime;
    std::vector<Instant> changes{earliest, m_options.startedAt + m_options.removalTime};
    for (const Router &router : routers) {
        if (router.phase == RouterPhase::Stopping) {
            changes.push_back(router.changedAt + m_options.removalTime);
        }
        if (router.acceptsAt) {
            changes.push_back(*router.acceptsAt);
            changes.push_back(*router.acceptsAt + m_options.returnTime);
        }
    }
    std::erase_if(changes, [earliest](Instant at) {
        return at < earliest;
    });
    std::ranges::sort(changes);
    const Instant ownReturn = std::max(earliest, now + untilReturn);
    for (const Instant at : changes) {
        if (at >= ownReturn) {
            break;
        }
        const Reached there = reached(routers, at);
        if (there.accepting > 0 && 100 * there.accepting >= s_acceptedPercent * there.routers) {
            return at - now;
        }
    }
    return ownReturn - now;
}

}
