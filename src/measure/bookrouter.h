#pragma once

#include "budget/teamholding.h"
#include "store/memoryrows.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace bamboohold {

/// Calls to the store, and their bytes as they travel, about.
struct StoreUse {
    std::uint64_t reads = 0;
    std::uint64_t flushes = 0;
    std::uint64_t checkpoints = 0;
    std::uint64_t bytes = 0;
};

/// A store that answers at once, or not at all, and the time that all processes of a measurement share.
struct SimulatedStore {
    MemoryRows rows;
    Instant now = Instant(std::chrono::seconds(100));
    StoreTimeMs time = 1000;
    bool reachable = true;
    StoreUse use;

    void pass(Duration duration)
    {
        now += duration;
        time += duration / std::chrono::milliseconds(1);
    }
};

/// One life of a router with the budgets that it holds, as a measurement plays it: the decision objects are the real ones, what moves rows
/// between them and the store is this.
class BookRouter
{
public:
    /// `incarnation` names this life of the router that is called `holder`. The store outlives it.
    BookRouter(std::string holder, std::string incarnation, SimulatedStore &store);

    /// Takes up a budget, of which this router keeps a part or, with `keeps` false, borrows.
    TeamHolding &open(int budget, const PrepaidStatement &statement, bool keeps, std::size_t keepers);

    /// The budget's part here.
    TeamHolding &holding(int budget)
    {
        return *m_holdings.at(budget);
    }

    /// Reserves at once, or after a checkpoint that is written ahead.
    std::optional<Reservation> reserve(int budget, Tokens bound);

    /// Lends a peer up to this much: all that is held where that is less, as soon as a checkpoint covers it. Returns how much.
    Tokens lend(int budget, Tokens asked);

    /// Reads, flushes and writes checkpoints as far as they are due in a fleet of so many routers.
    void keep(std::size_t routers);

    /// Hands everything back. Closed once the store shows nothing of this router any more.
    void beginClose();
    bool closed() const;

    /// The name of a budget in the store.
    static std::string teamName(int budget);

private:
    void flush(TeamHolding &holding, std::size_t routers);
    void writeCheckpoint();
    void addBytes(const RowTransaction &transaction);

    std::string m_holder;
    std::string m_incarnation;
    SimulatedStore &m_store;
    HolderCheckpoint m_checkpoint;
    std::unordered_map<int, std::unique_ptr<TeamHolding>> m_holdings;
    std::optional<Instant> m_lastCheckpoint;
};

}
