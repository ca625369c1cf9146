#include "measure/baselines.h"
#include "measure/grantpolicy.h"

#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <concepts>
#include <iostream>

DEFINE_string(policy, "", "only this policy");
DEFINE_string(scenario, "", "only this scenario");
DEFINE_string(site, "", "only this site");

namespace {

using namespace bamboohold;

/// What a budget policy does in a simulation.
template<typename T>
concept BudgetPolicy = requires(T policy, const SimRequest &request, const ScenarioEvent &event, std::size_t team)
{
    policy.arrive(request);
    policy.finish(request);
    policy.happen(event);
    {
        policy.idle(team)
        } -> std::same_as<Tokens>;
    policy.end();
};

template<BudgetPolicy Policy>
SimResult runOne(Simulation &simulation, Policy &policy)
{
    simulation.onArrival = [&policy](const SimRequest &request) {
        policy.arrive(request);
    };
    simulation.onFinish = [&policy](const SimRequest &request) {
        policy.finish(request);
    };
    simulation.onEvent = [&policy](const ScenarioEvent &event) {
        policy.happen(event);
    };
    simulation.idleTokens = [&policy](std::size_t team) {
        return policy.idle(team);
    };
    simulation.run();
    policy.end();
    return simulation.result();
}

SimResult runNamed(const Scenario &scenario, const std::string &policy)
{
    Simulation simulation(scenario);
    if (policy == "static_shares") {
        StaticShares shares(simulation);
        return runOne(simulation, shares);
    }
    if (policy == "charge_per_request") {
        ChargePerRequest charges(simulation, false);
        return runOne(simulation, charges);
    }
    if (policy == "all_knowing") {
        ChargePerRequest charges(simulation, true);
        return runOne(simulation, charges);
    }
    if (policy == "clocked_leases") {
        ClockedLeases leases(simulation);
        return runOne(simulation, leases);
    }
    GrantPolicy grants(simulation, {});
    return runOne(simulation, grants);
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

}

/// Runs the fixed scenarios under each policy and prints a JSON line for each pair.
int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const Scenario &scenario : budgetScenarios()) {
        const SimResult ideal = runNamed(scenario, "all_knowing");
        for (const std::string policy : {"grants", "static_shares", "clocked_leases", "charge_per_request"}) {
            const bool wanted = (FLAGS_policy.empty() || FLAGS_policy == policy)
                && (FLAGS_scenario.empty() || FLAGS_scenario == scenario.name) && (FLAGS_site.empty() || FLAGS_site == scenario.site);
            if (!wanted) {
                continue;
            }
            const SimResult result = runNamed(scenario, policy);
            const boost::json::object line{
                {"site", scenario.site},
                {"scenario", scenario.name},
                {"policy", policy},
                {"requests", result.requests},
                {"admitted", result.admitted},
                {"refused", result.refused},
                {"falsely_refused", result.falselyRefused},
                {"false_share_of_refusals", share(result.falselyRefused, result.refused)},
                {"false_share_of_admissible", share(result.falselyRefused, result.admitted + result.falselyRefused)},
                {"all_knowing_admitted", ideal.admitted},
                {"shortfall_share", ideal.admitted > result.admitted ? share(ideal.admitted - result.admitted, ideal.admitted) : 0},
                {"overspent_tokens", result.overspent},
                {"stranded_tokens", result.stranded},
                {"table_writes_per_second", result.tableWritesPerSecond},
                {"control_bytes_per_second_per_node", result.controlBytesPerSecondPerNode}};
            std::cout << boost::json::serialize(line) << std::endl;
        }
    }
    return 0;
}
