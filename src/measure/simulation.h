#pragma once

#include "measure/scenario.h"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace bamboohold {

/// A simulated request.
struct SimRequest {
    std::string id;
    std::size_t router = 0;
    std::size_t team = 0;
    Tokens bound = 0;
    Tokens use = 0;
    Duration duration{};
};

/// What a scenario came to under a policy.
struct SimResult {
    std::uint64_t requests = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /// Refused while the tokens that nobody had spent or reserved would have covered the worst case. Each token counts for one refusal at a
    /// time: as an all-knowing allocator would have admitted that request, its worst case stays taken for as long as it would have run.
    std::uint64_t falselyRefused = 0;
    Tokens overspent = 0;
    /// Most tokens that routers held idle while a request for them was refused.
    Tokens stranded = 0;
    double tableWritesPerSecond = 0;
    double controlBytesPerSecondPerNode = 0;
};

/// Runs a scenario's events in simulated time and keeps the true account that policies are judged by.
class Simulation
{
public:
    explicit Simulation(const Scenario &scenario);

    Instant now() const
    {
        return m_now;
    }
    const Scenario &scenario() const
    {
        return m_scenario;
    }

    /// Does something later. Actions due at the same time run in the order in which they were asked for.
    void after(Duration delay, std::function<void()> action);

    /// A policy's verdict on a request. An admitted one ends after its duration, when onFinish is called.
    void admitted(const SimRequest &request);
    void refused(const SimRequest &request);

    /// The tokens that were paid in.
    void paid(std::size_t team, Tokens amount);

    /// The router died: its running requests go on at their engines, but nobody waits for them.
    void routerDied(std::size_t router);

    /// True account of a budget.
    Tokens unspent(std::size_t team) const;

    /// Runs to the end of the scenario.
    void run();

    SimResult &result()
    {
        return m_result;
    }

    std::function<void(const SimRequest &)> onArrival;
    std::function<void(const SimRequest &)> onFinish;
    std::function<void(const ScenarioEvent &)> onEvent;
    /// Tokens lying idle in routers, asked when a refusal was false.
    std::function<Tokens(std::size_t team)> idleTokens;

private:
    struct Action {
        Instant at;
        std::uint64_t order = 0;
        std::function<void()> act;
    };
    struct Later {
        bool operator()(const Action &left, const Action &right) const
        {
            return left.at != right.at ? left.at > right.at : left.order > right.order;
        }
    };
    struct Account {
        Tokens prepaid = 0;
        Tokens used = 0;
        Tokens reserved = 0;
        /// Worst cases of falsely refused requests that would be running now.
        Tokens missed = 0;
    };

    void scheduleArrival(std::size_t team);
    SimRequest makeRequest(std::size_t team);

    const Scenario &m_scenario;
    std::mt19937_64 m_random;
    std::priority_queue<Action, std::vector<Action>, Later> m_actions;
    std::vector<Account> m_accounts;
    SimResult m_result;
    Instant m_now{};
    std::uint64_t m_order = 0;
    std::uint64_t m_nextId = 0;
    std::size_t m_loadedRouter = SIZE_MAX;
};

}
