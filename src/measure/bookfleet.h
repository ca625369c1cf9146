#pragma once

#include "gateway/requestcost.h"
#include "measure/bookrouter.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bamboohold {

/// What disturbs a run.
enum class Cause {
    None,
    CallerLeft,
    Resumed,
    BrokenOff,
    LoansLost,
    GiftsLost,
    PlannedStops,
    OneDies,
    AllDie,
    AllDieWithoutStore,
};

/// A fleet before a store, callers and targets, of which one thing goes wrong. Targets and callers are the witnesses of what was delivered.
class BookFleet
{
public:
    struct Options {
        Cause cause = Cause::None;
        int routers = 8;
        /// Of the whole fleet.
        double requestsPerSecond = 60;
        /// Simulated time in which requests come.
        double seconds = 30;
        /// Tokens of each budget.
        Tokens prepaid = 3'200'000;
        std::uint64_t seed = 1;
    };

    explicit BookFleet(Options options);

    void run();

    Tokens delivered() const
    {
        return m_delivered;
    }

    /// Of what was paid for, what nobody can use any more.
    Tokens booked();

    /// Borrowed tokens that routers held, unused, when they died.
    Tokens loansLost() const
    {
        return m_loansLost;
    }

    /// What requests under way at a death may have used and did not get.
    Tokens inFlightLost() const
    {
        return m_inFlightLost;
    }

    std::uint64_t requests() const
    {
        return m_requests;
    }

    std::uint64_t refused() const
    {
        return m_refused;
    }

private:
    /// A request under way.
    struct Running {
        std::size_t router = 0;
        int budget = 0;
        Reservation reservation;
        RequestMetadata terms;
        RequestUsage use;
        Instant begun{};
        Instant end{};
        /// Events that its target makes in all.
        std::uint64_t events = 0;
    };

    static constexpr Tokens s_firstBound = 4000;

    bool keeps(std::size_t router, int budget) const;

    void start(std::size_t router);

    bool up(std::size_t router) const;

    bool drawn(double share);

    void step();

    void request();

    /// Lets a request end otherwise, where the cause is one of single requests.
    void spoil(Running &running);

    /// Asks the keepers of a budget one after the other.
    bool borrow(std::size_t router, int budget, Tokens bound);

    void giveBackIdle(std::size_t router);

    /// What the caller got of a request until now, its prompt included.
    Tokens deliveredOf(const Running &running) const;

    void settleDue();

    void die(std::size_t router);

    void disturb(Duration at, Duration length);

    void stopInTurn(Duration at, Duration turn);

    Options m_options;
    std::mt19937_64 m_random;
    PrepaidStatement m_statement;
    SimulatedStore m_store;
    std::vector<std::string> m_names;
    std::vector<std::unique_ptr<BookRouter>> m_routers;
    /// By router.
    std::vector<Instant> m_downUntil;
    std::vector<std::size_t> m_died;
    std::optional<std::size_t> m_closing;
    std::size_t m_turns = 0;
    std::size_t m_lives = 0;
    /// By budget.
    std::vector<std::vector<std::string>> m_keepers;
    std::vector<Running> m_running;
    Tokens m_delivered = 0;
    Tokens m_loansLost = 0;
    Tokens m_inFlightLost = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_refused = 0;
};

}
