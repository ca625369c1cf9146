#include "measure/simulation.h"

#include <algorithm>
#include <cmath>

namespace bamboohold {

namespace {

constexpr double s_useSpread = 0.6;
constexpr double s_secondsPerToken = 0.02;
/// Share of a moved load that still arrives at the other routers.
constexpr double s_restShare = 0.1;

}

Simulation::Simulation(const Scenario &scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
{
    for (const TeamLoad &team : scenario.teams) {
        m_accounts.push_back({.prepaid = team.prepaid});
    }
}

void Simulation::after(Duration delay, std::function<void()> action)
{
    m_actions.push({.at = m_now + delay, .order = m_order++, .act = std::move(action)});
}

SimRequest Simulation::makeRequest(std::size_t team)
{
    const TeamLoad &load = m_scenario.teams[team];
    std::lognormal_distribution<double> spread(-s_useSpread * s_useSpread / 2, s_useSpread);
    std::uniform_int_distribution<std::size_t> anyRouter(0, m_scenario.routers - 1);
    std::uniform_real_distribution<double> chance(0, 1);
    SimRequest request{.id = "r" + std::to_string(m_nextId++), .team = team};
    const double use = std::max(1.0, load.averageUse * spread(m_random));
    request.bound = static_cast<Tokens>(load.averageUse * load.boundFactor);
    request.use = std::min(request.bound, static_cast<Tokens>(use));
    request.duration = std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(request.use) * s_secondsPerToken * 1e6));
    const std::size_t spreadRouter = anyRouter(m_random);
    const bool moved = m_loadedRouter != SIZE_MAX && chance(m_random) > s_restShare;
    request.router = moved ? m_loadedRouter % m_scenario.routers : spreadRouter;
    return request;
}

void Simulation::scheduleArrival(std::size_t team)
{
    std::exponential_distribution<double> gap(m_scenario.teams[team].rate);
    const Duration delay(static_cast<std::int64_t>(gap(m_random) * 1e6));
    after(delay, [this, team] {
        ++m_result.requests;
        onArrival(makeRequest(team));
        scheduleArrival(team);
    });
}

void Simulation::admitted(const SimRequest &request)
{
    ++m_result.admitted;
    m_accounts[request.team].reserved += request.bound;
    after(request.duration, [this, request] {
        Account &account = m_accounts[request.team];
        account.reserved -= request.bound;
        account.used += request.use;
        m_result.overspent = std::max(m_result.overspent, account.used - account.prepaid);
        onFinish(request);
    });
}

void Simulation::refused(const SimRequest &request)
{
    ++m_result.refused;
    Account &account = m_accounts[request.team];
    if (unspent(request.team) - account.missed < request.bound) {
        return;
    }
    account.missed += request.bound;
    after(request.duration, [&account, bound = request.bound] {
        account.missed -= bound;
    });
    ++m_result.falselyRefused;
    m_result.stranded = std::max(m_result.stranded, idleTokens(request.team));
}

void Simulation::paid(std::size_t team, Tokens amount)
{
    m_accounts[team].prepaid += amount;
}

Tokens Simulation::unspent(std::size_t team) const
{
    const Account &account = m_accounts[team];
    return account.prepaid - account.used - account.reserved;
}

void Simulation::run()
{
    for (std::size_t team = 0; team < m_scenario.teams.size(); ++team) {
        scheduleArrival(team);
    }
    for (const ScenarioEvent &event : m_scenario.events) {
        after(event.at, [this, event] {
            if (event.kind == ScenarioEvent::Kind::MoveLoad) {
                m_loadedRouter = event.index;
            }
            onEvent(event);
        });
    }
    const Instant end = m_now + m_scenario.length;
    while (!m_actions.empty() && m_actions.top().at <= end) {
        Action action = m_actions.top();
        m_actions.pop();
        m_now = action.at;
        action.act();
    }
}

}
