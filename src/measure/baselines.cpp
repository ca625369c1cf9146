#include "measure/baselines.h"

namespace bamboohold {

namespace {

constexpr Duration s_leaseLength = std::chrono::seconds(60);
constexpr Duration s_leaseRenewal = std::chrono::seconds(20);
constexpr Tokens s_leaseShare = 8;
constexpr std::int64_t s_bytesPerWrite = 300;

void noteWrites(Simulation &simulation, std::uint64_t writes)
{
    const double perSecond = static_cast<double>(writes) / seconds(simulation.scenario().length);
    simulation.result().tableWritesPerSecond = perSecond;
    simulation.result().controlBytesPerSecondPerNode = perSecond * s_bytesPerWrite / static_cast<double>(simulation.scenario().routers);
}

}

StaticShares::StaticShares(Simulation &simulation)
    : m_simulation(simulation)
{
    const auto routers = static_cast<Tokens>(simulation.scenario().routers);
    for (const TeamLoad &team : simulation.scenario().teams) {
        m_shares.emplace_back(static_cast<std::size_t>(routers), team.prepaid / routers);
    }
}

Tokens &StaticShares::share(std::size_t router, std::size_t team)
{
    return m_shares[team][router];
}

void StaticShares::arrive(const SimRequest &request)
{
    Tokens &own = share(request.router, request.team);
    if (own < request.bound) {
        m_simulation.refused(request);
        return;
    }
    own -= request.bound;
    m_simulation.admitted(request);
}

void StaticShares::finish(const SimRequest &request)
{
    share(request.router, request.team) += request.bound - request.use;
}

void StaticShares::happen(const ScenarioEvent &event)
{
    if (event.kind != ScenarioEvent::Kind::TopUp) {
        return;
    }
    m_simulation.paid(event.index, event.amount);
    for (Tokens &own : m_shares[event.index]) {
        own += event.amount / static_cast<Tokens>(m_shares[event.index].size());
    }
}

Tokens StaticShares::idle(std::size_t team) const
{
    Tokens idle = 0;
    for (const Tokens own : m_shares[team]) {
        idle += own;
    }
    return idle;
}

void StaticShares::end()
{
}

ChargePerRequest::ChargePerRequest(Simulation &simulation, bool idealTable)
    : m_simulation(simulation)
    , m_cut(simulation.scenario().routers)
    , m_idealTable(idealTable)
{
    for (const TeamLoad &team : simulation.scenario().teams) {
        m_free.push_back(team.prepaid);
    }
}

void ChargePerRequest::arrive(const SimRequest &request)
{
    const bool reached = m_idealTable || (!m_tableDown && !m_cut[request.router]);
    m_writes += reached ? 1 : 0;
    if (!reached || m_free[request.team] < request.bound) {
        m_simulation.refused(request);
        return;
    }
    m_free[request.team] -= request.bound;
    m_simulation.admitted(request);
}

void ChargePerRequest::finish(const SimRequest &request)
{
    ++m_writes;
    m_free[request.team] += request.bound - request.use;
}

void ChargePerRequest::happen(const ScenarioEvent &event)
{
    switch (event.kind) {
    case ScenarioEvent::Kind::TopUp:
        m_simulation.paid(event.index, event.amount);
        m_free[event.index] += event.amount;
        break;
    case ScenarioEvent::Kind::CutRouter:
    case ScenarioEvent::Kind::HealRouter:
        m_cut[event.index] = event.kind == ScenarioEvent::Kind::CutRouter;
        break;
    case ScenarioEvent::Kind::TableDown:
    case ScenarioEvent::Kind::TableUp:
        m_tableDown = event.kind == ScenarioEvent::Kind::TableDown;
        break;
    case ScenarioEvent::Kind::CrashRouter:
    case ScenarioEvent::Kind::MoveLoad:
        break;
    }
}

Tokens ChargePerRequest::idle(std::size_t) const
{
    return 0;
}

void ChargePerRequest::end()
{
    noteWrites(m_simulation, m_writes);
}

ClockedLeases::ClockedLeases(Simulation &simulation)
    : m_simulation(simulation)
    , m_leases(simulation.scenario().routers, std::vector<Lease>(simulation.scenario().teams.size()))
    , m_cut(simulation.scenario().routers)
{
    for (const TeamLoad &team : simulation.scenario().teams) {
        m_free.push_back(team.prepaid);
    }
    for (std::size_t router = 0; router < m_leases.size(); ++router) {
        renew(router);
    }
}

bool ClockedLeases::reaches(std::size_t router) const
{
    return !m_tableDown && !m_cut[router];
}

void ClockedLeases::renew(std::size_t router)
{
    for (std::size_t team = 0; team < m_free.size() && reaches(router); ++team) {
        Lease &lease = m_leases[router][team];
        m_free[team] += lease.left;
        lease.left = m_free[team] / s_leaseShare;
        m_free[team] -= lease.left;
        lease.until = m_simulation.now() + s_leaseLength;
    }
    m_writes += reaches(router) ? 1 : 0;
    m_simulation.after(s_leaseRenewal, [this, router] {
        renew(router);
    });
}

void ClockedLeases::arrive(const SimRequest &request)
{
    Lease &lease = m_leases[request.router][request.team];
    if (lease.left < request.bound || m_simulation.now() >= lease.until) {
        m_simulation.refused(request);
        return;
    }
    lease.left -= request.bound;
    m_simulation.admitted(request);
}

void ClockedLeases::finish(const SimRequest &request)
{
    m_leases[request.router][request.team].left += request.bound - request.use;
}

void ClockedLeases::happen(const ScenarioEvent &event)
{
    switch (event.kind) {
    case ScenarioEvent::Kind::TopUp:
        m_simulation.paid(event.index, event.amount);
        m_free[event.index] += event.amount;
        break;
    case ScenarioEvent::Kind::CutRouter:
    case ScenarioEvent::Kind::HealRouter:
        m_cut[event.index] = event.kind == ScenarioEvent::Kind::CutRouter;
        break;
    case ScenarioEvent::Kind::TableDown:
    case ScenarioEvent::Kind::TableUp:
        m_tableDown = event.kind == ScenarioEvent::Kind::TableDown;
        break;
    case ScenarioEvent::Kind::CrashRouter:
    case ScenarioEvent::Kind::MoveLoad:
        break;
    }
}

Tokens ClockedLeases::idle(std::size_t team) const
{
    Tokens idle = 0;
    for (const auto &leases : m_leases) {
        idle += leases[team].left;
    }
    return idle;
}

void ClockedLeases::end()
{
    noteWrites(m_simulation, m_writes);
}

}
