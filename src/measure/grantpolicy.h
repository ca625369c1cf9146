#pragma once

#include "budget/nodeledger.h"
#include "engine/runtable.h"
#include "measure/simulation.h"
#include "membership/reclamation.h"
#include "store/memorytable.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bamboohold {

/// The product's own decision objects under a scenario: a NodeLedger for each router over one table, recalls between them, recovery after a
/// crash. The table, the link and the engines are the fakes.
class GrantPolicy
{
public:
    struct Options {
        AccountPolicy account;
        Duration flushInterval = std::chrono::seconds(1);
        Duration urgentInterval = std::chrono::milliseconds(20);
        Duration tableTimeout = std::chrono::seconds(2);
        /// Silence after which a crashed router's grants are recovered, probe and seals included.
        Duration recoveryDelay = std::chrono::seconds(17);
        bool relays = true;
        /// Routers that cannot draw ask peers to reserve for them.
        bool sponsors = true;
    };

    GrantPolicy(Simulation &simulation, Options options);

    void arrive(const SimRequest &request);
    void finish(const SimRequest &request);
    void happen(const ScenarioEvent &event);
    Tokens idle(std::size_t team) const;
    void end();

private:
    struct Router {
        std::string incarnation;
        std::unique_ptr<NodeLedger> ledger;
        bool cut = false;
        bool dead = false;
        bool flushing = false;
        int silences = 0;
        Instant lastFlush{};
        bool reachable = true;
        std::map<std::string, SimRequest> waiting;
        /// Peers that have answered the recall under way for a budget, and what they return.
        std::map<std::string, std::pair<std::size_t, Tokens>> recalls;
    };

    void start(std::size_t index);
    void tick(std::size_t index);
    void flush(std::size_t index);
    void answered(std::size_t index, std::optional<FlushPlan> plan);
    void silent(std::size_t index);
    void deliver(std::size_t index, BudgetAccount &account);
    void recallPeers(std::size_t index, const std::string &budget);
    void recover(const std::string &incarnation);
    void admit(std::size_t payer, const SimRequest &request);
    void refuse(const SimRequest &request, const Failure &failure);
    void askSponsor(const SimRequest &request, std::size_t asked);
    bool reaches(const Router &router, Duration &latency) const;
    FleetView view(const Router &router) const;
    const std::string &budgetOf(std::size_t team) const;

    Simulation &m_simulation;
    Options m_options;
    MemoryTable m_table;
    std::vector<Router> m_routers;
    RunTable m_witness;
    std::map<std::string, std::pair<std::size_t, std::string>> m_homes;
    std::uint64_t m_writesAtStart = 0;
    std::uint64_t m_controlBytes = 0;
    std::size_t m_nextIncarnation = 0;
    bool m_tableDown = false;
};

}
