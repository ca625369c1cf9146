#pragma once

#include "measure/simulation.h"

#include <map>
#include <string>
#include <vector>

namespace bamboohold {

/// Baseline: each router gets an equal share of every budget and keeps it. No exchange, so nothing depends on the table after the start.
class StaticShares
{
public:
    explicit StaticShares(Simulation &simulation);

    void arrive(const SimRequest &request);
    void finish(const SimRequest &request);
    void happen(const ScenarioEvent &event);
    Tokens idle(std::size_t team) const;
    void end();

private:
    Tokens &share(std::size_t router, std::size_t team);

    Simulation &m_simulation;
    std::vector<std::vector<Tokens>> m_shares;
};

/// Baseline: every request reserves and settles in the table itself. Nothing is stranded, two writes a request, and nothing works without
/// the table.
class ChargePerRequest
{
public:
    /// With an ideal table, which every router reaches at once and always, it is the all-knowing allocator that the others are compared
    /// with.
    ChargePerRequest(Simulation &simulation, bool idealTable);

    void arrive(const SimRequest &request);
    void finish(const SimRequest &request);
    void happen(const ScenarioEvent &event);
    Tokens idle(std::size_t team) const;
    void end();

private:
    Simulation &m_simulation;
    std::vector<Tokens> m_free;
    std::vector<bool> m_cut;
    std::uint64_t m_writes = 0;
    bool m_idealTable = false;
    bool m_tableDown = false;
};

/// Baseline: a router leases a fixed part of what is free for a minute and may not spend past the lease's end. Unused tokens go back at the
/// end.
class ClockedLeases
{
public:
    explicit ClockedLeases(Simulation &simulation);

    void arrive(const SimRequest &request);
    void finish(const SimRequest &request);
    void happen(const ScenarioEvent &event);
    Tokens idle(std::size_t team) const;
    void end();

private:
    struct Lease {
        Tokens left = 0;
        Instant until{};
    };

    bool reaches(std::size_t router) const;
    void renew(std::size_t router);

    Simulation &m_simulation;
    std::vector<Tokens> m_free;
    std::vector<std::vector<Lease>> m_leases;
    std::vector<bool> m_cut;
    std::uint64_t m_writes = 0;
    bool m_tableDown = false;
};

}
