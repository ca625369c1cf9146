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

/// Determines how many tokens of a budget a router holds, and when it draws, returns and recalls them.
struct AccountPolicy {
    /// A router tries to hold enough tokens for its own demand over this time, so that it can keep serving requests while the table is
    /// unreachable.
    Duration holdingHorizon = std::chrono::minutes(15);
    /// A draw made ahead of demand takes at most this share of the free tokens, divided by the number of routers.
    double drawShareOfFree = 0.5;
    /// A router draws again when its available tokens fall below this fraction of its desired holding. The fraction is high so that routers
    /// are well supplied when the table becomes unreachable.
    double refillThreshold = 0.9;
    /// The desired holding covers at least this many requests of average worst case.
    double minimumHoldingRequests = 4;
    /// Available tokens above this multiple of the desired holding are returned to the table.
    double surplusFactor = 2;
    /// After the table had too few tokens and peers could not help either, requests are refused for this long without asking the table
    /// again.
    Duration refusalCacheTime = std::chrono::milliseconds(20);
    /// A recall that peers have not answered ends after this time.
    Duration recallTimeout = std::chrono::milliseconds(250);
    /// Minimum time between two recalls of the same budget.
    Duration recallInterval = std::chrono::milliseconds(500);
    /// For this long after the table had too few tokens, or after a peer recalled some, the budget counts as scarce: the router holds no
    /// tokens in advance and immediately returns those it does not need.
    Duration scarcityDuration = std::chrono::seconds(5);
    /// A budget is no longer scarce once it has free tokens for this many average requests per router.
    double ampleRequests = 8;
    /// When a peer recalls tokens, a router keeps enough for its own demand over this time.
    Duration recallRetention = std::chrono::milliseconds(200);
    /// If false, tokens are neither returned nor recalled. Used as the baseline in measurements.
    bool returnsSurplus = true;
    /// If false, requests are refused instead of waiting for reservations in flight to end. Used for comparison in measurements.
    bool waitsForReleases = true;
};

/// What a router knows about the rest of the fleet when it plans a flush.
struct FleetView {
    /// Number of routers that may draw on the same budgets, including this one.
    std::size_t routers = 1;
    /// False after several attempts in a row failed to reach the table both directly and through peers.
    bool tableReachable = true;
};

/// A budget's row as it was last read from the table.
struct BudgetRow {
    Tokens free = 0;
    bool closed = false;
    bool exists = true;
};

/// The change that one flush makes to one budget, in tokens.
struct BudgetUpdate {
    std::string budget;
    /// Charges to move from granted to consumed.
    Tokens settled = 0;
    /// Tokens to move from the budget's free tokens to this router's grant.
    Tokens draw = 0;
    /// Tokens to move from the grant back to the free ones.
    Tokens returnAmount = 0;

    /// Returns true if the flush changes nothing in this budget.
    bool empty() const
    {
        return settled == 0 && draw == 0 && returnAmount == 0;
    }
};

/// The result of a reservation: immediate, or delivered later if the request had to wait for tokens.
struct ReservationResult {
    enum class Decision {
        Admitted,
        Waiting,
        Refused,
    };

    std::string requestId;
    Decision decision = Decision::Refused;
    /// Set only if the request was refused.
    Failure failure;
};

/// The tokens of one budget that one router holds: tokens granted by the table, reservations against them, and charges that are not yet in
/// the table.
///
/// Does no I/O and reads no clock: the time is an argument, and effects are returned as BudgetUpdate and ReservationResult. NodeLedger owns
/// the accounts and sends their updates.
///
/// Invariant after each call: available() + reserved() + unsettled() + returning() == holding(), and none of them is negative. The table
/// has already subtracted the holding from the budget's free tokens, so a router cannot overspend the budget between two accesses to the
/// table.
class BudgetAccount
{
public:
    BudgetAccount(std::string budget, AccountPolicy policy);

    /// Reserves the worst case of a request, in tokens. If the request has to wait, takeResults() returns its final result later.
    ReservationResult reserve(std::string_view requestId, Tokens bound, const FleetView &fleet, Instant now);

    /// Reserves tokens for a request of a peer that cannot draw on the table itself. Never waits: returns false if tokens are short, a
    /// request of this router is waiting, or the request has a reservation already. The run then counts as this router's own in every
    /// respect, so that recovering this router requires no knowledge of the peer.
    bool reserveForPeer(std::string_view requestId, Tokens bound);

    /// Lowers a reservation after a tighter bound has become known. A higher bound is ignored.
    void lowerReservation(std::string_view requestId, Tokens bound);

    /// Ends a reservation and charges the tokens used, at most the number reserved. Returns the tokens charged, 0 for an unknown request.
    Tokens settle(std::string_view requestId, Tokens used, Instant now);

    /// Removes a waiting request, for example because its caller disconnected. Returns false if the request was not waiting.
    bool cancelWaiting(std::string_view requestId);

    /// Returns true if the account should draw tokens from the table now.
    bool wantsDraw(const FleetView &fleet, Instant now);

    /// Returns true if the next flush should not wait for its regular interval, because requests, a recalling peer or other routers need
    /// its effect.
    bool needsUrgentFlush(Instant now) const;

    /// Returns what the next flush should change in this budget. `row` is the budget's row, read just before, or empty if it was not read;
    /// without it nothing is drawn.
    BudgetUpdate planFlush(const std::optional<BudgetRow> &row, const FleetView &fleet, Instant now);

    /// Call after the table has applied the update.
    void onFlushApplied(const BudgetUpdate &update, Instant now);

    /// Call after the table has rejected a planned update and it is certain that no delayed copy of it will be applied: the tokens that it
    /// would have returned become available again.
    void onFlushRejected();

    /// Call when the table has too few tokens for a draw. `row` shows how many are free.
    void onDrawRefused(const BudgetRow &row, Instant now);

    /// Call when the table is unreachable. Refuses the waiting requests that depend on a draw; those that reservations in flight may still
    /// admit keep waiting.
    void onTableUnreachable(Instant now);

    /// Returns the number of tokens to recall from peers, once per recall; empty if there is nothing to recall.
    std::optional<Tokens> takeRecallRequest(Instant now);

    /// Call when all peers have answered a recall or it timed out. `returned` is the number of tokens that they give back.
    void onRecallEnded(Tokens returned, Instant now);

    /// Call when a peer recalls tokens. Returns how many will be returned with the next flush. A router with waiting requests of its own
    /// returns tokens only to a peer that precedes it in the fixed order of routers.
    Tokens onPeerRecall(bool peerHasPriority, Instant now);

    /// Ends a recall that has timed out. Call periodically, and before takeResults().
    void expireRecall(Instant now);

    /// Returns the results of waiting requests since the last call.
    std::vector<ReservationResult> takeResults();

    /// Tokens in this router's grant row, as last confirmed by the table.
    Tokens holding() const
    {
        return m_holding;
    }

    /// Sum of the worst cases of requests in flight.
    Tokens reserved() const
    {
        return m_reserved;
    }

    /// Tokens charged but not yet written to the table.
    Tokens unsettled() const
    {
        return m_unsettled;
    }

    /// Tokens that a flush in flight returns to the table.
    Tokens returning() const
    {
        return m_returning;
    }

    /// Tokens that a new request can reserve.
    Tokens available() const
    {
        return m_holding - m_reserved - m_unsettled - m_returning;
    }

    /// Number of requests waiting for tokens.
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
        /// When the refusal became final, after peers had been asked as well; empty while a recall may still help.
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
