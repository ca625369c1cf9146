#pragma once

#include "budget/demandmeter.h"
#include "budget/holdercheckpoint.h"
#include "budget/holdingpolicy.h"
#include "budget/holdingrows.h"
#include "clock/instant.h"
#include "store/rowstore.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bamboohold {

/// A team's prepaid tokens according to the newest routing plan.
struct PrepaidStatement {
    Tokens prepaid = 0;
    std::uint64_t planVersion = 0;
};

/// Why a reservation was not made.
enum class HoldingRefusal {
    /// The remaining tokens of the whole budget do not cover the request.
    Exhausted,
    /// This router does not hold enough; the next flush may change that.
    NotHeld,
    /// This router holds enough, but its checkpoint does not allow it to commit that much yet. The next checkpoint, or the passing of time,
    /// changes that.
    CommitLimited,
};

/// Tokens set aside for one request.
struct Reservation {
    Tokens bound = 0;
    /// Whether the tokens were lent by peers.
    bool borrowed = false;
};

/// What one router holds of one team's prepaid tokens, in the store and in memory.
///
/// For each team the store has a pool row (what was allocated) and one row for each holder (what it was granted and what it has committed).
/// Tokens move from the pool to a holder in one conditional transaction, so neither network partitions nor clock errors can allocate them
/// twice.
///
/// The checkpoint of the router (HolderCheckpoint) limits what the holder commits, so that a successor can return nearly everything that a
/// dead process held.
///
/// While the store is out of reach, routers lend each other tokens. The lender counts a loan as spent before it announces it, so that a
/// lost message never lets tokens be spent twice. It takes a loan back once the borrower has declared that it will not use it (LoanBook).
/// What the borrower does not need goes into the pool with its next flush.
///
/// The store may return from a copy that has forgotten draws and returns. Every holder then writes its row again with what it really holds,
/// and corrects the pool by the difference. Until it has, the others leave in the pool what its row in the copy allowed it to draw (its
/// ceiling), which every holder respects while a copy with that row may come back. What a holder drew, or asked for, without knowing of the
/// return is not spent.
///
/// Performs no I/O and reads no clock: the caller passes in times and the store's verdicts, and sends the transactions.
class TeamHolding
{
public:
    struct Options {
        std::string team;
        /// This router's address. A process that could bind the same address is known to succeed a dead one.
        std::string holder;
        /// Identifies this process.
        std::string incarnation;
        HoldingPolicy policy;
        /// The address by which peers identify this router.
        std::string link;
    };

    /// The checkpoint must outlive the holding.
    TeamHolding(Options options, const HolderCheckpoint &checkpoint);

    /// Sets the time since which the router serves callers. From then on, the absence of requests counts as absence of demand.
    void servingSince(Instant since);

    /// Counts a request as demand, whether or not it can be served.
    void recordDemand(Tokens bound, Instant now);

    /// Adds or removes a request that waits because it cannot be reserved yet.
    void addWaiting(Tokens bound)
    {
        m_waiting += bound;
    }

    void removeWaiting(Tokens bound)
    {
        m_waiting -= bound;
    }

    /// Reserves a request's upper bound of tokens.
    std::variant<Reservation, HoldingRefusal> reserve(Tokens bound, Instant now);

    /// Ends a reservation and records the tokens that were used.
    void settle(const Reservation &reservation, Tokens used, Instant now);

    /// Lends a peer up to `asked` tokens, without those that this router needs itself within moments. Returns the number of tokens lent.
    Tokens lend(Tokens asked, Instant now);

    /// Lends a peer the tokens of a reservation, which ends with this.
    void lendReserved(const Reservation &reservation);

    /// Adds tokens that a peer lent.
    void addBorrowed(Tokens tokens);

    /// Accepts unused tokens from a peer, or takes back a loan that its borrower has declared void. Tokens that this router lent are its
    /// own again at once: if they went through the pool, the last tokens of a budget would be unavailable for a second or two each time.
    /// Tokens beyond that count as borrowed.
    void acceptReturned(Tokens tokens);

    /// Removes and returns the borrowed tokens that have not been needed for a while; 0 when there are none, or when this router is an
    /// assigned holder.
    Tokens takeIdleBorrowed(Instant now);

    /// Sets whether this router is an assigned holder of the budget or borrows for each request, and how many assigned holders there are.
    void setAssigned(bool assigned, std::size_t assignedCount)
    {
        m_assigned = assigned;
        m_assignedCount = assignedCount;
    }

    /// Sets the link addresses of the assigned holders except this router.
    void setOtherHolders(std::span<const std::string> links, Instant now);

    bool isAssigned() const
    {
        return m_assigned;
    }

    /// Average upper bound of recent requests in tokens; 0 before the first request.
    double averageRequestBound() const
    {
        return m_demand.averageBound();
    }

    /// Number of tokens to borrow for all requests that wait, and for those that arrive while loans take this long.
    Tokens tokensToBorrow(Instant now, Duration loanLatency = {}) const;

    /// The commitment of the router's next checkpoint for this team; none when there is nothing to commit. `storeLatency` is the time that
    /// a checkpoint's write currently takes.
    std::optional<Commitment> commitment(Instant now, Duration storeLatency = {}) const;

    /// Time until `bound` tokens can be reserved from this holding, in addition to the requests that already wait and without any answer of
    /// the store; none when that takes longer than `horizon`.
    std::optional<Duration> timeUntilCommittable(Tokens bound, Instant now, Duration horizon) const;

    /// Whether the whole budget covers the demand of all routers for at least `HoldingPolicy::ampleSpan`.
    bool ample(Instant now) const
    {
        return ample(demand(now));
    }

    /// Whether the rows have been read since the start, or since the store has returned from a copy.
    bool loaded() const
    {
        return m_loaded;
    }

    /// Whether nothing is left to recover from an earlier process: this holding's row belongs to this process, or does not exist.
    bool recovered() const
    {
        return m_loaded && !m_predecessor && (m_row || m_rowVersion == 0);
    }

    /// Takes the newest plan's statement about the team. Returns whether it changes the amount.
    bool setPrepaid(const PrepaidStatement &statement);

    /// Prepaid tokens of the team according to the plan or the pool, whichever is newer.
    Tokens prepaid() const;

    /// Takes the rows of the team's part. A read of an older state than the store has shown before is ignored: a store that is rebuilding
    /// its history may return one, and a holder that relied on it would conclude that its own row was removed. Returns whether the read was
    /// used.
    bool handleRead(const RowsSnapshot &read, Instant now);

    /// Whether the rows have to be read before anything else: at the start, and when a refusal depends on what other routers hold.
    bool needsRead(Instant now) const;

    /// Time at which the next flush is due; none when nothing has to be written.
    std::optional<Instant> nextFlush(std::size_t routers, Instant now) const;

    /// Creates the next flush, or repeats the one in flight; none when nothing may be written.
    std::optional<RowTransaction> planFlush(std::size_t routers, Instant now);

    /// The store decided the flush.
    void flushAnswered(const RowTransactionResult &verdict, Instant now);

    /// The store did not accept the flush, and it will not take effect later.
    void flushDeclined();

    /// No answer arrived: the flush may have taken effect, or may still do so.
    void flushLost();

    /// Starts to return all unused tokens. The row is removed once no request is in flight.
    void beginClose()
    {
        m_closing = true;
    }

    /// Whether the store has no row of this holder, or another process has taken it over.
    bool closed() const;

    /// Tokens granted to this router by the store, as far as certain.
    Tokens granted() const;

    /// Tokens spent, or lent to peers.
    Tokens settled() const
    {
        return m_settled;
    }

    /// Upper bounds of the requests in flight, in tokens.
    Tokens reserved() const
    {
        return m_reserved;
    }

    /// Borrowed tokens that are not reserved.
    Tokens borrowed() const
    {
        return m_borrowed;
    }

    /// Spent, lent and reserved tokens: what this holder is accountable for.
    Tokens committed() const
    {
        return m_settled + m_reserved;
    }

    /// Tokens that can be reserved now.
    Tokens available(Instant now) const;

    /// Tokens held and not committed, whether or not the checkpoint allows them to be committed yet.
    Tokens unused() const
    {
        return std::max<Tokens>(0, granted() - committed());
    }

    /// Tokens in the pool that no router holds, as last seen.
    Tokens freeInPool() const;

    /// The part of them that may be drawn: after a return of the store, others may hold more than their rows say.
    Tokens drawableInPool() const
    {
        return freeInPool() - std::max(m_reservedForOthers, m_pool.withheldForLostRows());
    }

    /// Whether another process has taken over this holder's row.
    bool fenced() const
    {
        return m_fenced;
    }

    /// Remaining tokens of the whole budget according to the rows last read.
    Tokens remainingInBudget() const;

    /// What the recovery of a dead process's row returns to the pool, and what it has to count as spent.
    struct Recovery {
        std::string incarnation;
        Tokens granted = 0;
        /// According to the dead process's last checkpoint.
        Tokens committed = 0;
        Tokens countedAsSpent = 0;
        /// False when the dead process left no checkpoint, so that all the tokens that it held count as spent.
        bool checkpointKnown = false;
    };

    /// The recovery that the next flush performs; none when there is no predecessor to recover from.
    std::optional<Recovery> recovery() const;

private:
    /// A flush whose outcome is not known yet.
    struct Flush {
        RowTransaction transaction;
        HolderRow row;
        std::optional<PoolRow> pool;
        /// Borrowed tokens that the flush puts into the pool.
        Tokens returned = 0;
        bool removesRow = false;
        /// Whether the outcome is unknown. The flush is then sent again unchanged until the store decides it.
        bool outcomeUnknown = false;
    };

    /// A limit that this holder, or its predecessor, has announced in a row. Holds while the row, or a copy with it, may be in the store.
    struct Announcement {
        /// The flush that writes the row; 0 for the predecessor's.
        std::uint64_t flushSequence = 0;
        DrawLimit limit;
        /// None until a later flush has taken effect.
        std::optional<Instant> until;
    };

    /// Another router that is an assigned holder, or was one until recently.
    struct OtherHolder {
        std::string link;
        Instant since;
    };

    RowAddress poolAddress() const;
    RowAddress ownAddress() const;
    RowAddress poolWriteAddress(const PoolRow &pool) const;
    Tokens spentByPredecessor() const;
    Tokens typicalUse() const;
    double demand(Instant now) const;
    bool ample(double ownDemand) const;
    Tokens desiredHolding(std::size_t routers, Instant now) const;
    Tokens wantedChange(std::size_t routers, Instant now) const;
    StoreTimeMs minStoreTime(Instant now) const;
    HolderRow rowAfter(Tokens change, std::size_t routers, Instant now) const;
    Tokens grantLimit(Instant now) const;
    DrawLimit drawLimit(Tokens granted, Tokens free, std::size_t routers, Instant now) const;
    bool mayDraw(Instant now) const;
    bool recentBeforeReturn(Instant since) const;
    std::int64_t countLostRows(std::size_t routers) const;
    PoolRow poolAfter(Tokens change, const Flush &flush, std::int64_t lostRows) const;
    void waitForLostRows(const RowsSnapshot &read, Instant now);
    void beginGeneration(StoreGeneration generation, Instant now);
    void dropEarlierDraw(const StoredRow &row);
    void adoptCopiedRow(const StoredRow *row);
    void countOthers(const RowsSnapshot &read);
    void adoptMark(const StoredRow &row);
    void addGenerationMark(RowTransaction &transaction, Instant now) const;
    void addPoolWrite(RowTransaction &transaction, const PoolRow &pool) const;
    /// A flush has taken effect, so the rows of earlier ones are replaced.
    void endAnnouncements(std::uint64_t flushSequence, Instant now);
    void flushAnsweredAfterReturn(const RowTransactionResult &verdict, Instant now);
    void setStoreTime(StoreTimeMs time, Instant now);
    void adoptOwnRow(const StoredRow &row);
    void adoptPoolRow(const StoredRow &row);
    void handleRowRemoved();
    bool canFlush() const;
    void abandonFlush();

    Options m_options;
    const HolderCheckpoint &m_checkpoint;
    DemandMeter m_demand;
    PrepaidStatement m_statement;
    Tokens m_settled = 0;
    Tokens m_reserved = 0;
    Tokens m_borrowed = 0;
    /// Tokens lent and not returned; included in `m_settled`.
    Tokens m_lent = 0;
    /// Exponentially decaying sums of the tokens that requests reserved, and of those that they used.
    double m_boundSum = 0;
    double m_usedSum = 0;
    std::optional<Instant> m_servingSince;

    bool m_loaded = false;
    bool m_fenced = false;
    bool m_closing = false;
    bool m_assigned = true;
    /// Number of assigned holders; none until the routers have been ranked. Until then every router is an assigned holder.
    std::optional<std::size_t> m_assignedCount;
    /// The newest generation and version that the store has shown.
    StoreGeneration m_generation = 0;
    std::uint64_t m_seenVersion = 0;
    /// The version of the row that marks the generation, 0 while there is none, and the marks of earlier ones.
    std::uint64_t m_markVersion = 0;
    std::vector<RowAddress> m_outdatedMarks;
    /// Whether this holder's row in the store is one that the store has returned from, and what the pool counts there for this address.
    bool m_restoring = false;
    /// Whether the mark of the generation has been seen, or its absence.
    bool m_markChecked = false;
    /// While others may be about to write rows again that the copy does not have, nothing is drawn.
    Instant m_drawsFrom{};
    Tokens m_countedInPool = 0;
    /// Assigned holders, and when their number was last seen to grow; the others by link address, once these are known.
    std::size_t m_holders = 0;
    Instant m_holdersSince{};
    std::optional<std::vector<OtherHolder>> m_otherHolders;
    /// When this process saw the last return of the store, or read the rows for the first time; the number of holders before that if it had
    /// grown recently.
    Instant m_generationSeenAt{};
    std::size_t m_recentHolders = 0;
    /// The generation from which on this process can account for its address, and the earliest one of the rows that it recovered.
    std::optional<StoreGeneration> m_startedIn;
    std::optional<StoreGeneration> m_recoveredFrom;
    /// Holders whose first row may have been lost with an earlier generation, as far as known then.
    std::int64_t m_lostEarlier = 0;
    /// Whether this process has written in this generation, and whether it may still add lost rows to the pool's row: only as long as
    /// nobody draws yet, because rows of later processes would look lost otherwise.
    bool m_writtenInGeneration = false;
    bool m_addsLostRows = false;
    /// The other holders' rows, as of the last read, of processes that started in an earlier generation: their link addresses.
    std::vector<std::string> m_rowsFromBefore;
    /// What the processes recovered by this one had spent, by incarnation.
    std::map<std::string, Tokens, std::less<>> m_spentByRecovered;
    std::vector<Announcement> m_announcements;
    /// The newest time in a row of an earlier generation, which is about when the copy was made.
    StoreTimeMs m_newestInCopy = 0;
    /// What the holders that have not written their row again since a return of the store may hold beyond it.
    Tokens m_reservedForOthers = 0;
    PoolRow m_pool;
    std::uint64_t m_poolVersion = 0;
    /// Rows of earlier writes of the pool, which routers of earlier versions do not remove.
    std::vector<RowAddress> m_outdatedPoolWrites;
    /// This holder's row in its last acknowledged state, and its version; the version of a dead process's row until that is recovered.
    std::optional<HolderRow> m_row;
    std::uint64_t m_rowVersion = 0;
    std::optional<HolderRow> m_predecessor;
    /// As of the last read: tokens granted to other routers and not committed by them, the part of those that active holders have, and the
    /// demand of the active holders.
    Tokens m_unusedByOthers = 0;
    Tokens m_unusedByActive = 0;
    Tokens m_demandOfActive = 0;

    /// The store's clock showed at least `m_storeTime` at `m_storeTimeAt` on this process's clock.
    StoreTimeMs m_storeTime = 0;
    Instant m_storeTimeAt{};

    std::uint64_t m_flushSequence = 0;
    std::optional<Flush> m_inFlight;
    std::optional<Instant> m_lastFlush;
    std::optional<Instant> m_lastRead;
    /// Time of the last request.
    Instant m_lastRequest{};
    /// Upper bounds of the requests that wait here, in tokens.
    Tokens m_waiting = 0;
    /// Whether a request needed more tokens than are held since the last read.
    bool m_shortSinceRead = false;
    bool m_requestedSinceRead = false;
};

}
