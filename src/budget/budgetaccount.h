#pragma once

#include "budget/demandmeter.h"
#include "clock/instant.h"
#include "failure/failure.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// How a router sizes what it holds of a budget.
struct AccountPolicy {
    /// A router aims to hold this much of its own demand, so that it can go on while the table is out of reach.
    Duration holdingHorizon = std::chrono::minutes(15);
    /// A draw takes at most this share of what is free, divided by the number of routers that draw.
    double drawShareOfFree = 0.5;
    /// A router draws again when it holds less than this part of its aim. High, so that a table that goes away finds the routers provided
    /// for.
    double refillThreshold = 0.9;
    /// A draw covers at least this many requests of the average bound.
    double minimumHoldingRequests = 4;
    /// Holdings above this multiple of the aim go back to the table.
    double surplusFactor = 2;
    /// For this long after the table had too little, and no peer had any either, requests are refused without asking again.
    Duration refusalCacheTime = std::chrono::milliseconds(20);
    /// A recall that peers have not answered ends after this.
    Duration recallTimeout = std::chrono::milliseconds(250);
    /// Peers are asked at most this often for one budget.
    Duration recallInterval = std::chrono::milliseconds(500);
    /// For this long after the table had too little, or a peer asked, nothing is held ahead: what one router has no use for now goes
    /// straight back.
    Duration scarcityDuration = std::chrono::seconds(5);
    /// A budget with free tokens for this many average requests per router is not scarce any more.
    double ampleRequests = 8;
    /// After a recall a router keeps this much of its own demand.
    Duration recallRetention = std::chrono::milliseconds(200);
    /// False: holdings are never given back and never recalled (the measured baseline).
    bool returnsSurplus = true;
    /// False: requests are refused instead of waiting for reservations in flight (for comparison).
    bool waitsForReleases = true;
};

/// What a router knows of the fleet around it when it plans a flush.
struct FleetView {
    /// Routers that may draw on the same budgets, itself included.
    std::size_t routers = 1;
    /// False once the table has been out of reach, directly and through peers, for several tries.
    bool tableReachable = true;
};

/// A budget's row as the table last showed it.
struct BudgetRow {
    Tokens free = 0;
    bool closed = false;
    bool exists = true;
};

/// The change one flush makes to one budget.
struct BudgetUpdate {
    std::string budget;
    Tokens settled = 0;
    Tokens draw = 0;
    Tokens returnAmount = 0;

    /// True when the flush need not mention the budget.
    bool empty() const
    {
        return settled == 0 && draw == 0 && returnAmount == 0;
    }
};

/// What became of a request that asked for, or waited for, tokens.
struct ReservationResult {
    enum class Decision {
        Admitted,
        Waiting,
        Refused,
    };

    std::string requestId;
    Decision decision = Decision::Refused;
    /// Set when refused.
    Failure failure;
};

/// What one router holds of one budget: a grant out of the table's row, reservations against it, and charges not yet in the table.
///
/// Pure: time comes in as an argument, effects go out as FlushPart and ReservationOutcome. NodeLedger owns the accounts and carries their
/// flushes.
///
/// Invariant after each call: available() + reserved() + unsettled() + returning() == holding(), and none is negative. Holding is money
/// that the table has already moved out of the budget's free amount, so nothing that a router does between two contacts with the table can
/// overspend.
class BudgetAccount
{
public:
    BudgetAccount(std::string budget, AccountPolicy policy);

    /// Asks for the worst case of a request. Waiting requests get their verdict from takeOutcomes().
    ReservationResult reserve(std::string_view requestId, Tokens bound, const FleetView &fleet, Instant now);

    /// Reserves for a request of a peer that cannot draw. At once or not at all, and only from what this router has no waiting request for.
    /// The run is this router's in every respect, so that its recovery needs to know nothing of the peer.
    bool reserveForPeer(std::string_view requestId, Tokens bound);

    /// Lowers a reservation once a tighter bound is known; a higher one is ignored.
    void lowerReservation(std::string_view requestId, Tokens bound);

    /// Ends a reservation with what was used. Returns the tokens charged: never more than were reserved; 0 for an unknown request.
    Tokens settle(std::string_view requestId, Tokens used, Instant now);

    /// Withdraws a waiting request, for example because its caller hung up. False when it was not waiting.
    bool cancelWaiting(std::string_view requestId);

    /// True when the account wants tokens from the table now.
    bool wantsDraw(const FleetView &fleet, Instant now);

    /// True when someone waits for the next flush.
    bool needsUrgentFlush(Instant now) const;

    /// Fills in what the next flush should do. The row is the budget's, read just before; none when it was not read.
    BudgetUpdate planFlush(const std::optional<BudgetRow> &row, const FleetView &fleet, Instant now);

    /// The table applied the part.
    void onFlushApplied(const BudgetUpdate &update, Instant now);

    /// The table certainly did not and will not apply any planned part.
    void onFlushRejected();

    /// The table has too little: the budget holds this much free.
    void onDrawRefused(const BudgetRow &row, Instant now);

    /// The table cannot be reached: requests that hoped for a draw are refused, unless reservations in flight can still admit them.
    void onTableUnreachable(Instant now);

    /// The tokens to ask of peers, once per need; empty when there is nothing to ask.
    std::optional<Tokens> takeRecallRequest(Instant now);

    /// All peers answered a recall, or its window passed.
    void onRecallEnded(Tokens returned, Instant now);

    /// A peer needs tokens: surplus goes back with the next flush. Returns how much that will be. A router with waiting requests of its own
    /// gives only to a peer that goes first in the fleet's fixed order.
    Tokens onPeerRecall(bool peerHasPriority, Instant now);

    /// Ends what has taken too long. Call now and then, and before takeOutcomes().
    void expireRecall(Instant now);

    /// Verdicts of waiting requests since the last call.
    std::vector<ReservationResult> takeResults();

    /// The grant row's unspent amount as the table last confirmed it.
    Tokens holding() const
    {
        return m_holding;
    }

    /// Worst cases of requests in flight.
    Tokens reserved() const
    {
        return m_reserved;
    }

    /// Charges not yet in the table.
    Tokens unsettled() const
    {
        return m_unsettled;
    }

    /// Amount a flush in flight gives back.
    Tokens returning() const
    {
        return m_returning;
    }

    /// Tokens that a new request could reserve.
    Tokens available() const
    {
        return m_holding - m_reserved - m_unsettled - m_returning;
    }

    /// Requests waiting for tokens.
    std::size_t waiting() const
    {
        return m_waiters.size();
    }

    /// The budget's name.
    const std::string &budget() const
    {
        return m_budget;
    }

private:
    struct Waiter {
        std::string requestId;
        Tokens bound = 0;
    };

    struct TableRefusal {
        Tokens free = 0;
        bool closed = false;
        bool exists = true;
        /// When peers had been asked as well and the answer became final; empty while a recall may still help.
        std::optional<Instant> finalAt;
    };

    Tokens desiredHolding(Instant now) const;
    bool scarce(Instant now) const;
    void markScarce(Instant now);
    Tokens totalWaitingBound() const;
    bool mayStillAdmit(Tokens bound, const FleetView &fleet, Instant now) const;
    bool refusalIsCached(Instant now) const;
    Failure refusalFailure(Tokens bound, const FleetView &fleet) const;
    void admitWaiters();
    void refuseUnadmittable(const FleetView &fleet, Instant now);
    Tokens drawAmount(const BudgetRow &row, const FleetView &fleet, Instant now) const;

    std::string m_budget;
    AccountPolicy m_policy;
    DemandMeter m_demand;
    absl::flat_hash_map<std::string, Tokens> m_reservations;
    std::deque<Waiter> m_waiters;
    std::vector<ReservationResult> m_results;
    Tokens m_holding = 0;
    Tokens m_reserved = 0;
    Tokens m_unsettled = 0;
    Tokens m_returning = 0;
    Tokens m_recalledAmount = 0;
    bool m_recallWanted = false;
    std::optional<Instant> m_recallDeadline;
    std::optional<Instant> m_lastRecall;
    std::optional<Instant> m_scarceUntil;
    std::optional<TableRefusal> m_refusal;
    FleetView m_lastFleet;
};

}
