#pragma once

#include "budget/teamholding.h"

#include "store/memoryrows.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboohold {

inline constexpr Tokens s_prepaid = 100'000;
inline constexpr std::size_t s_routers = 3;

inline Duration ms(std::int64_t value)
{
    return std::chrono::milliseconds(value);
}

inline std::string holderName(std::size_t router)
{
    return "router-" + std::to_string(router);
}

inline std::string incarnationName(std::size_t router, std::size_t life)
{
    return std::to_string(router) + "~" + std::to_string(life);
}

/// One router process with its checkpoint, its holding, and its steady clock.
struct Process {
    explicit Process(std::size_t router, std::size_t life, Instant started = Instant(std::chrono::seconds(1)))
        : checkpoint({.holder = holderName(router), .incarnation = incarnationName(router, life), .startedAt = started})
        , holding({.team = "team", .holder = holderName(router), .incarnation = incarnationName(router, life)}, checkpoint)
        , now(started)
    {
        holding.setPrepaid({.prepaid = s_prepaid, .planVersion = 1});
    }

    /// The next write of this process's checkpoint.
    std::optional<RowTransaction> planCheckpoint()
    {
        HolderCheckpoint::Commitments commitments;
        if (const std::optional<Commitment> commitment = holding.commitment(now)) {
            commitments.emplace("team", *commitment);
        }
        if (holding.recovered()) {
            checkpoint.discardPredecessors();
        }
        return checkpoint.planWrite(commitments, now);
    }

    HolderCheckpoint checkpoint;
    TeamHolding holding;
    Instant now;
    std::vector<Reservation> reserved;
};

/// Routers and a store, with all faults that can occur between them.
class Fleet
{
public:
    Fleet()
    {
        for (std::size_t router = 0; router < s_routers; ++router) {
            m_processes.push_back(std::make_unique<Process>(router, 0));
        }
    }

    Process &process(std::size_t router)
    {
        return *m_processes.at(router);
    }

    MemoryRows &store()
    {
        return m_store;
    }

    /// Advances all clocks, except the steady clock of a suspended router.
    void pass(Duration time, std::optional<std::size_t> suspended)
    {
        m_storeNow += std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
        for (std::size_t router = 0; router < s_routers; ++router) {
            if (suspended != router) {
                process(router).now += time;
            }
        }
    }

    void read(std::size_t router)
    {
        process(router).holding.handleRead(m_store.read(s_budgetTable, "team", m_storeNow), process(router).now);
    }

    /// The store makes a copy of itself, or returns from the one that it made last.
    void makeCopy()
    {
        m_store.makeCopy();
        m_copiedAt = m_storeNow;
    }

    void returnToCopy()
    {
        m_store.returnToCopy();
    }

    /// Age of the newest copy.
    Duration copyAge() const
    {
        return ms(m_storeNow - m_copiedAt);
    }

    /// Keeps the result of a read, to be returned later.
    void rememberRead()
    {
        m_remembered = m_store.read(s_budgetTable, "team", m_storeNow);
    }

    void staleRead(std::size_t router)
    {
        if (m_remembered) {
            process(router).holding.handleRead(*m_remembered, process(router).now);
        }
    }

    enum class Fate {
        Answered,
        Declined,
        LostBefore,
        LostAfter,
        Late,
    };

    void flush(std::size_t router, Fate fate)
    {
        Process &sender = process(router);
        const auto transaction = sender.holding.planFlush(s_routers, sender.now);
        if (!transaction) {
            return;
        }
        if (fate == Fate::Declined) {
            sender.holding.flushDeclined();
            return;
        }
        if (fate == Fate::Late) {
            m_late.push_back(*transaction);
        }
        if (fate == Fate::LostBefore || fate == Fate::Late) {
            sender.holding.flushLost();
            return;
        }
        const auto verdict = m_store.transact(*transaction, m_storeNow);
        RC_ASSERT(verdict.ok());
        if (fate == Fate::LostAfter) {
            sender.holding.flushLost();
        } else {
            sender.holding.flushAnswered(*verdict, sender.now);
        }
    }

    /// Writes a router's checkpoint, or reads its row if it has not been read yet.
    void checkpoint(std::size_t router, Fate fate)
    {
        Process &sender = process(router);
        if (sender.checkpoint.needsRead()) {
            sender.checkpoint.handleRead(m_store.read(s_checkpointTable, holderName(router), m_storeNow));
            return;
        }
        const auto transaction = sender.planCheckpoint();
        if (!transaction) {
            return;
        }
        if (fate == Fate::Declined) {
            sender.checkpoint.writeDeclined();
            return;
        }
        if (fate == Fate::Late) {
            m_late.push_back(*transaction);
        }
        if (fate == Fate::LostBefore || fate == Fate::Late) {
            sender.checkpoint.writeLost();
            return;
        }
        const auto verdict = m_store.transact(*transaction, m_storeNow);
        RC_ASSERT(verdict.ok());
        if (fate == Fate::LostAfter) {
            sender.checkpoint.writeLost();
        } else {
            sender.checkpoint.writeAnswered(*verdict, sender.now);
        }
    }

    /// What a router that reaches the store does at its start and then repeatedly: it reads its rows, fences off predecessors, recovers,
    /// draws tokens, and writes its checkpoint.
    void stabilize(std::size_t router)
    {
        constexpr int s_rounds = 3;
        for (int round = 0; round < s_rounds; ++round) {
            checkpoint(router, Fate::Answered);
            read(router);
            flush(router, Fate::Answered);
        }
        checkpoint(router, Fate::Answered);
    }

    /// Delivers a transaction whose sender no longer waits. It takes effect if its conditions still hold.
    void deliverLate()
    {
        if (!m_late.empty()) {
            RC_ASSERT(m_store.transact(m_late.front(), m_storeNow).ok());
            m_late.erase(m_late.begin());
        }
    }

    /// A process dies and is replaced by one at its address that knows nothing. All that it had reserved may have been used.
    void replace(std::size_t router)
    {
        // Requests in flight count as used: their upper bounds are included in the sum already.
        const Instant now = process(router).now;
        m_storeNow += 5;
        m_processes[router] = std::make_unique<Process>(router, ++m_lives, now + ms(5));
    }

    /// A loan from one router to another; a lost one never reaches the borrower.
    void lend(std::size_t lender, std::size_t borrower, Tokens asked, bool lost)
    {
        const Tokens lent = process(lender).holding.lend(asked, process(lender).now);
        if (!lost && lender != borrower) {
            process(borrower).holding.addBorrowed(lent);
        }
    }

    /// A borrower returns what it did not need to the lender's address, whichever process has it now; what is lost reaches nobody.
    void giveBack(std::size_t borrower, std::size_t lender, bool lost)
    {
        Process &from = process(borrower);
        const bool assigned = from.holding.isAssigned();
        from.holding.setAssigned(false, s_routers);
        const Tokens gift = from.holding.takeIdleBorrowed(from.now + ms(3'600'000));
        from.holding.setAssigned(assigned, s_routers);
        if (!lost) {
            process(lender).holding.acceptReturned(gift);
        }
    }

    /// Counts tokens that callers have used or may still use.
    void addSpent(Tokens tokens)
    {
        m_spent += tokens;
    }

    Tokens spent() const
    {
        return m_spent;
    }

private:
    MemoryRows m_store;
    StoreTimeMs m_storeNow = 1000;
    StoreTimeMs m_copiedAt = 1000;
    std::vector<std::unique_ptr<Process>> m_processes;
    std::vector<RowTransaction> m_late;
    std::optional<RowsSnapshot> m_remembered;
    Tokens m_spent = 0;
    std::size_t m_lives = 0;
};

inline void reserve(Fleet &fleet, Process &process, Tokens bound)
{
    const auto result = process.holding.reserve(bound, process.now);
    if (const auto *made = std::get_if<Reservation>(&result)) {
        process.reserved.push_back(*made);
        fleet.addSpent(bound);
    }
}

/// Commits all tokens that the process may commit now.
inline void reserveAll(Fleet &fleet, Process &process)
{
    reserve(fleet, process, std::max<Tokens>(1, process.holding.available(process.now)));
    reserve(fleet, process, std::max<Tokens>(1, process.holding.borrowed()));
}

inline void settle(Fleet &fleet, Process &process, Tokens used)
{
    if (!process.reserved.empty()) {
        const Reservation made = process.reserved.back();
        process.reserved.pop_back();
        const Tokens counted = std::min(made.bound, used);
        process.holding.settle(made, counted, process.now);
        fleet.addSpent(counted - made.bound);
    }
}

/// Performs one random event.
inline void step(Fleet &fleet)
{
    const auto router = *rc::gen::inRange<std::size_t>(0, s_routers);
    switch (*rc::gen::inRange(0, 20)) {
    case 0:
        reserveAll(fleet, fleet.process(router));
        break;
    case 1:
    case 2:
        reserve(fleet, fleet.process(router), *rc::gen::inRange<Tokens>(1, 9000));
        break;
    case 3:
    case 4:
        settle(fleet, fleet.process(router), *rc::gen::inRange<Tokens>(0, 9000));
        break;
    case 5:
    case 6:
        fleet.flush(router, Fleet::Fate::Answered);
        break;
    case 7:
        fleet.flush(router, static_cast<Fleet::Fate>(*rc::gen::inRange(1, 5)));
        break;
    case 8:
        fleet.read(router);
        break;
    case 9:
        fleet.pass(ms(*rc::gen::inRange(1, 4000)), *rc::gen::arbitrary<bool>() ? std::optional<std::size_t>(router) : std::nullopt);
        break;
    case 10:
        fleet.deliverLate();
        break;
    case 11:
    case 12:
        fleet.lend(router, *rc::gen::inRange<std::size_t>(0, s_routers), *rc::gen::inRange<Tokens>(1, 20000), *rc::gen::inRange(0, 4) == 0);
        break;
    case 13:
    case 14:
    case 15:
        fleet.checkpoint(router, Fleet::Fate::Answered);
        break;
    case 16:
        fleet.checkpoint(router, static_cast<Fleet::Fate>(*rc::gen::inRange(1, 5)));
        break;
    case 17:
        *rc::gen::arbitrary<bool>() ? fleet.rememberRead() : fleet.staleRead(router);
        break;
    case 18:
        fleet.giveBack(router, *rc::gen::inRange<std::size_t>(0, s_routers), *rc::gen::inRange(0, 4) == 0);
        break;
    default:
        fleet.replace(router);
        break;
    }
}

/// Every process commits all it may, dies, and leaves its successor to recover what it can, until no tokens are left: a token that was
/// returned twice would be spent here.
inline void spendAllTokens(Fleet &fleet)
{
    constexpr int s_rounds = 12;
    for (int round = 0; round < s_rounds; ++round) {
        for (std::size_t router = 0; router < s_routers; ++router) {
            fleet.stabilize(router);
            fleet.pass(ms(6000), std::nullopt);
            fleet.checkpoint(router, static_cast<Fleet::Fate>(*rc::gen::inRange(0, 5)));
            fleet.flush(router, static_cast<Fleet::Fate>(*rc::gen::inRange(0, 5)));
            fleet.pass(ms(6000), std::nullopt);
            reserveAll(fleet, fleet.process(router));
            fleet.deliverLate();
            fleet.replace(router);
            fleet.stabilize(router);
        }
    }
}

/// Routers with rows of the team, all written within a moment.
struct StartedFleet : Fleet {
    StartedFleet()
    {
        for (std::size_t router = 0; router < s_routers; ++router) {
            stabilize(router);
        }
        wait(1000);
    }

    void wait(std::int64_t time)
    {
        pass(ms(time), std::nullopt);
    }

    /// Flushes of a router for which requests of this many tokens wait. The first one may meet a pool that others have changed.
    void draw(std::size_t router, Tokens waiting)
    {
        process(router).holding.addWaiting(waiting);
        flush(router, Fate::Answered);
        flush(router, Fate::Answered);
        process(router).holding.removeWaiting(waiting);
    }

    /// Gives back what a router holds and does not need.
    void giveUp(std::size_t router, Fate fate)
    {
        process(router).holding.servingSince(process(router).now - std::chrono::minutes(1));
        flush(router, fate);
    }

    void spend(std::size_t router)
    {
        process(router).holding.addWaiting(s_prepaid);
        checkpoint(router, Fate::Answered);
        reserveAll(*this, process(router));
        process(router).holding.removeWaiting(s_prepaid);
    }

    /// Writes a router's row with what it knows from a read.
    void refresh(std::size_t router)
    {
        read(router);
        flush(router, Fate::Answered);
        read(router);
    }

    /// The routers 1 and 2 write their rows again and spend all that they can get while router 0 does not reach the store.
    void spendRest()
    {
        refresh(1);
        refresh(2);
        for (int round = 0; round < 2 * 20; ++round) {
            const std::size_t router = 1 + round % 2;
            wait(500);
            read(router);
            draw(router, s_prepaid);
            spend(router);
        }
    }

    /// Writes of other parts, until the next transaction gets this version.
    void writeElsewhereUntil(std::uint64_t next)
    {
        while (store().version() + 1 < next) {
            BOOST_REQUIRE(store().transact({.changes = {{.address = {"other", "part", "row"}, .value = "text"}}}, 0).ok());
        }
    }
};

}
