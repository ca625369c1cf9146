#pragma once

#include "budget/demandmeter.h"
#include "budget/holdercheckpoint.h"
#include "budget/holdingpolicy.h"
#include "budget/holdingrows.h"
#include "clock/instant.h"
#include "store/rowstore.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bamboohold {

/// A team's prepaid tokens as the newest routing plan states them.
struct PrepaidStatement {
    Tokens prepaid = 0;
    std::uint64_t planVersion = 0;
};

/// Why a reservation was not made.
enum class HoldingRefusal {
    /// The budget's remaining tokens do not cover the request, wherever they lie.
    Exhausted,
    /// This router does not hold enough; the next flush may help.
    NotHeld,
    /// This router holds enough and may not commit it yet; the next checkpoint, or time, helps.
    Paced,
};

/// Tokens set aside for one request.
struct Reservation {
    Tokens bound = 0;
    /// Out of what peers lent.
    bool borrowed = false;
};

/// What one router holds of one team's prepaid tokens, in the store and in memory.
///
/// The store has a pool row for each team (what was handed out) and a row for each holder (what it was given, what it has committed).
/// Tokens move from the pool to a holder in one conditional transaction, so neither partitions nor clocks can hand them out twice.
///
/// What a holder commits of its part is bound by its router's checkpoint (HolderCheckpoint), which lets its successor return nearly all of
/// what a dead process held.
///
/// While the store is out of reach, routers lend each other what they hold. The lender counts it as spent before it says so, so a loan that
/// is lost on its way is lost to the team, never spent twice; what the borrower does not need goes into the pool with its next flush.
///
/// Pure: time and verdicts come in, transactions go out.
class TeamHolding
{
public:
    struct Options {
        std::string team;
        /// This router's address: a successor is only known to follow a dead process when it was able to bind the same one.
        std::string holder;
        /// This process.
        std::string incarnation;
        HoldingPolicy policy;
    };

    /// The checkpoint outlives the holding.
    TeamHolding(Options options, const HolderCheckpoint &checkpoint);

    /// The router serves callers since then; what it has not been asked for since says something about demand.
    void servingSince(Instant since);

    /// A request arrived: counts as demand, whether or not it can be served.
    void noteRequest(Tokens bound, Instant now);

    /// A request waits for what it cannot reserve yet, or no longer waits.
    void addWaiting(Tokens bound)
    {
        m_waiting += bound;
    }

    void removeWaiting(Tokens bound)
    {
        m_waiting -= bound;
    }

    /// Sets a request's worst case aside.
    std::variant<Reservation, HoldingRefusal> reserve(Tokens bound, Instant now);

    /// Ends a reservation with what was used.
    void settle(const Reservation &reservation, Tokens used, Instant now);

    /// Gives a peer up to this much, of what this router does not need itself within moments. Returns how much.
    Tokens lend(Tokens asked, Instant now);

    /// The same out of a reservation, which ends with that.
    void lendReserved(const Reservation &reservation);

    /// Takes what a peer gave.
    void borrow(Tokens tokens);

    /// A peer gives back what it did not need. What this router lent before is its own again at once; with a detour by the pool, a budget's
    /// last tokens would be on the way there, for a second or two each time, instead of at hand. What goes beyond that counts as borrowed.
    void takeBack(Tokens tokens);

    /// Hands over what was borrowed and has not been of use for a while; 0 when there is nothing, or this router keeps a part itself.
    Tokens takeIdleLoan(Instant now);

    /// How many routers keep parts of the budget, and whether this one does or borrows for each request.
    void setKeeps(bool keeps, std::size_t keepers)
    {
        m_keeps = keeps;
        m_keepers = keepers;
    }

    bool keeps() const
    {
        return m_keeps;
    }

    /// The average worst case of recent requests; 0 before the first.
    double usualBound() const
    {
        return m_demand.averageBound();
    }

    /// What to ask of peers for all that waits.
    Tokens loanWanted(Instant now) const;

    /// What the router's next checkpoint says of this team; none when there is nothing to say. `storeTakes` is what a checkpoint takes now.
    std::optional<Commitment> commitment(Instant now, Duration storeTakes = {}) const;

    /// How long until this much, on top of what waits already, may be reserved by what is held, without any answer of the store; none when
    /// that takes longer than `horizon`.
    std::optional<Duration> timeUntilPaced(Tokens bound, Instant now, Duration horizon) const;

    /// Whether the whole budget covers the demand of all routers for long (`HoldingPolicy::ampleSpan`).
    bool ample(Instant now) const
    {
        return ample(demand(now));
    }

    /// True when this holding's row is this process's own, or there is none: nothing of an earlier process is left to recover.
    bool recovered() const
    {
        return m_loaded && !m_predecessor && (m_row || m_rowVersion == 0);
    }

    /// The plan's newest statement about the team. Returns whether it changes the amount.
    bool setPrepaid(const PrepaidStatement &statement);

    /// What the team has paid for, as far as the plan and the pool tell.
    Tokens prepaid() const;

    /// The rows of the team's part. A read that shows an older state than the store has shown before is left alone: while a store rebuilds
    /// its history it may answer so, and a holder that believed it would take its own row for gone. Returns whether it was taken.
    bool loaded(const RowsRead &read, Instant now);

    /// True when the rows must be read before anything else: at the start, and when a refusal hinges on what others hold.
    bool wantsRead(Instant now) const;

    /// The time at which the next flush is due; none when nothing is to be written.
    std::optional<Instant> nextFlush(std::size_t routers, Instant now) const;

    /// Makes the next flush. None while one is on its way or nothing can be done.
    std::optional<RowTransaction> planFlush(std::size_t routers, Instant now);

    /// The store decided the flush.
    void flushAnswered(const RowVerdict &verdict, Instant now);

    /// The store did not take the flush, and never will.
    void flushDeclined();

    /// No answer: the flush may have taken effect, or may still do so.
    void flushLost();

    /// From now on everything unused goes back; the row goes once nothing is in flight.
    void beginClose()
    {
        m_closing = true;
    }

    /// True when the store shows nothing of this holder any more, or never did.
    bool closed() const;

    /// Tokens given to this router by the store, as far as it is certain.
    Tokens granted() const;

    /// Tokens spent for good, or lent to peers.
    Tokens settled() const
    {
        return m_settled;
    }

    /// Worst cases in flight.
    Tokens reserved() const
    {
        return m_reserved;
    }

    /// Tokens of peers that are free here.
    Tokens borrowed() const
    {
        return m_borrowed;
    }

    /// Settled, lent and reserved: what this holder answers for.
    Tokens committed() const
    {
        return m_settled + m_reserved;
    }

    /// What may still be reserved now.
    Tokens available(Instant now) const;

    /// Tokens held and not committed, whether or not they may be committed yet.
    Tokens unused() const
    {
        return std::max<Tokens>(0, granted() - committed());
    }

    /// What the pool had for anyone when it was last seen.
    Tokens freeInPool() const;

    /// True when another process has taken over this holder's row.
    bool fenced() const
    {
        return m_fenced;
    }

    /// What is left for a request in the whole budget, as far as the rows last read tell.
    Tokens remainingAnywhere() const;

    /// What a recovery of a dead process's row returns, and what it must count as spent.
    struct Recovery {
        std::string incarnation;
        Tokens granted = 0;
        /// As the dead process's last checkpoint says.
        Tokens committed = 0;
        Tokens countedAsSpent = 0;
        /// False: the dead process left no checkpoint, so that all it held counts.
        bool checkpointKnown = false;
    };

    /// The recovery that the next flush carries out; none when this process has no predecessor to recover.
    std::optional<Recovery> recovery() const;

private:
    /// A flush that was sent and not decided, as far as this process knows.
    struct Flush {
        RowTransaction transaction;
        HolderRow row;
        std::optional<PoolRow> pool;
        /// Borrowed tokens that it puts into the pool.
        Tokens returned = 0;
        bool removesRow = false;
        /// True while it is unknown whether it took effect; it is sent again unchanged until the store decides.
        bool lost = false;
    };

    RowAddress poolAddress() const;
    RowAddress ownAddress() const;
    Tokens spentByPredecessor() const;
    Tokens typicalUse() const;
    double demand(Instant now) const;
    bool ample(double ownDemand) const;
    Tokens aim(std::size_t routers, Instant now) const;
    Tokens wantedChange(std::size_t routers, Instant now) const;
    StoreTimeMs storeTimeAtLeast(Instant now) const;
    HolderRow rowAfter(Tokens change, Instant now) const;
    void noteStoreTime(StoreTimeMs time, Instant now);
    void adoptOwnRow(const StoredRow &row);
    void adoptPoolRow(const StoredRow &row);
    void rowGone();
    bool mayFlush() const;
    void withdrawFlush();

    Options m_options;
    const HolderCheckpoint &m_checkpoint;
    DemandMeter m_demand;
    PrepaidStatement m_statement;
    Tokens m_settled = 0;
    Tokens m_reserved = 0;
    Tokens m_borrowed = 0;
    /// Lent and not given back: a part of what is settled.
    Tokens m_lent = 0;
    /// Decaying sums of what requests reserved and what they used of it.
    double m_boundSum = 0;
    double m_usedSum = 0;
    std::optional<Instant> m_servingSince;

    bool m_loaded = false;
    bool m_fenced = false;
    bool m_closing = false;
    bool m_keeps = true;
    /// None while the routers have not been ranked: all of them keep then.
    std::optional<std::size_t> m_keepers;
    /// The newest version that the store has shown.
    std::uint64_t m_seenVersion = 0;
    PoolRow m_pool;
    std::uint64_t m_poolVersion = 0;
    /// This holder's row as the store surely had it, and its version; a dead process's row until it is recovered.
    std::optional<HolderRow> m_row;
    std::uint64_t m_rowVersion = 0;
    std::optional<HolderRow> m_predecessor;
    /// As last read: granted to the others but not committed by them; the part of it that is with holders who take part now; and their
    /// demand.
    Tokens m_unusedByOthers = 0;
    Tokens m_unusedByActive = 0;
    Tokens m_demandOfActive = 0;

    /// The store's clock showed at least this much at that instant of this process.
    StoreTimeMs m_storeTime = 0;
    Instant m_storeTimeAt{};

    std::uint64_t m_flush = 0;
    std::optional<Flush> m_inFlight;
    std::optional<Instant> m_lastFlush;
    std::optional<Instant> m_lastRead;
    /// When a request came last.
    Instant m_lastRequest{};
    /// Worst cases of the requests that wait here.
    Tokens m_waiting = 0;
    /// True when a request wanted more than is held since the last read.
    bool m_shortSinceRead = false;
    bool m_askedSinceRead = false;
};

}
