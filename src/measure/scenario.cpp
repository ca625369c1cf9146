#include "measure/scenario.h"

namespace bamboohold {

namespace {

using Kind = ScenarioEvent::Kind;

constexpr Duration minutes(int count)
{
    return std::chrono::minutes(count);
}

/// Ten teams, three of them large. Fullness is the share of the expected use that is prepaid: below 1 the budget runs out on the way.
std::vector<TeamLoad> teams(double totalRate, double fullness, Duration length)
{
    const double shares[] = {0.35, 0.2, 0.15, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02};
    std::vector<TeamLoad> loads;
    for (std::size_t index = 0; index < std::size(shares); ++index) {
        TeamLoad load{.budget = "team-" + std::to_string(index), .rate = totalRate * shares[index]};
        load.averageUse = index % 2 == 0 ? 600 : 250;
        load.prepaid = static_cast<Tokens>(load.rate * load.averageUse * seconds(length) * fullness);
        loads.push_back(load);
    }
    return loads;
}

Scenario base(const std::string &site, const std::string &name, double fullness)
{
    const bool himal = site == "himal";
    Scenario scenario{.name = name, .site = site};
    scenario.teams = teams(himal ? 12 : 25, fullness, scenario.length);
    scenario.routers = himal ? 4 : 4;
    scenario.peerLatency = std::chrono::microseconds(himal ? 1500 : 500);
    scenario.seed = himal ? 11 : 23;
    return scenario;
}

std::vector<Scenario> ofSite(const std::string &site)
{
    std::vector<Scenario> all;
    all.push_back(base(site, "calm_plenty", 3));
    all.push_back(base(site, "calm_exhaustion", 0.6));

    Scenario moving = base(site, "exhaustion_while_load_moves", 0.6);
    for (int step = 1; step < 10; ++step) {
        moving.events.push_back({.at = minutes(3 * step), .kind = Kind::MoveLoad, .index = static_cast<std::size_t>(step)});
    }
    all.push_back(moving);

    Scenario topUps = base(site, "top_ups_after_exhaustion", 0.5);
    for (std::size_t team = 0; team < topUps.teams.size(); ++team) {
        topUps.events.push_back({.at = minutes(20), .kind = Kind::TopUp, .index = team, .amount = topUps.teams[team].prepaid});
    }
    all.push_back(topUps);

    Scenario partition = base(site, "one_router_cut_off_10_min", 1.2);
    partition.peersReachable = false;
    partition.events = {{.at = minutes(10), .kind = Kind::CutRouter, .index = 1},
                        {.at = minutes(20), .kind = Kind::HealRouter, .index = 1}};
    all.push_back(partition);

    Scenario helped = base(site, "cut_off_from_table_but_not_from_peers_10_min", 0.6);
    helped.events = partition.events;
    all.push_back(helped);

    Scenario outage = base(site, "table_down_10_min", 1.2);
    outage.events = {{.at = minutes(10), .kind = Kind::TableDown}, {.at = minutes(20), .kind = Kind::TableUp}};
    all.push_back(outage);

    Scenario outageTopUp = base(site, "table_down_10_min_near_exhaustion", 0.75);
    outageTopUp.events = outage.events;
    all.push_back(outageTopUp);

    Scenario crash = base(site, "router_crashes_near_exhaustion", 0.7);
    crash.events = {{.at = minutes(12), .kind = Kind::CrashRouter, .index = 2}, {.at = minutes(16), .kind = Kind::CrashRouter, .index = 0}};
    all.push_back(crash);

    Scenario slow = base(site, "table_slow_near_exhaustion", 0.6);
    slow.tableLatency = std::chrono::milliseconds(1500);
    all.push_back(slow);
    return all;
}

}

std::vector<Scenario> budgetScenarios()
{
    std::vector<Scenario> all = ofSite("himal");
    const std::vector<Scenario> samferda = ofSite("samferda");
    all.insert(all.end(), samferda.begin(), samferda.end());
    return all;
}

}
