#pragma once

#include "budget/nodeledger.h"
#include "store/platformclient.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Runs a router's NodeLedger: takes reservations on any event loop and flushes on the event loop of the platform client.
///
/// Locking: m_mutex protects the ledger and the pending reservations. It is never held across a suspension point, and no other lock is
/// taken while it is held.
class BudgetService
{
public:
    struct Options {
        NodeIdentity identity;
        AccountPolicy policy;
        Duration flushInterval = std::chrono::seconds(1);
        /// Minimum time between two flushes when one is urgent.
        Duration urgentFlushInterval = std::chrono::milliseconds(20);
        /// The minimum is at least this time multiplied by the number of routers, so that the load on the table does not grow with the
        /// fleet.
        Duration urgentFlushIntervalPerRouter = std::chrono::milliseconds(2);
    };

    /// Called with the charges that the table now bills, so that sidecars can forget these requests.
    using BilledHandler = std::function<void(const std::vector<Charge> &billed)>;
    /// Called to ask all peers to return the tokens of a budget that they can spare.
    using RecallHandler = std::function<void(const std::string &budget, Tokens need)>;

    BudgetService(asio::any_io_executor platformLoop, PlatformClient &platform, Options options);

    void setBilledHandler(BilledHandler handler);
    void setRecallHandler(RecallHandler handler);

    /// Reserves the worst case of a request and waits up to the timeout while the request may still be admitted. Every error means that the
    /// request was not run: the account's reason for a refusal, DeadlineExceeded after the timeout, or Fenced if this router was declared
    /// dead.
    asio::awaitable<absl::Status> reserve(std::string budget, std::string requestId, Tokens bound, Duration timeout);

    /// Reserves tokens for a peer's request without waiting. Returns the number of the earliest flush that can bill the request, or nothing
    /// if the reservation is declined.
    std::optional<std::uint64_t> reserveForPeer(std::string_view budget, std::string_view requestId, Tokens bound);

    /// Lowers a reservation.
    void lowerReservation(std::string_view budget, std::string_view requestId, Tokens bound);

    /// Ends a reservation with the number of tokens used and adds the charge to the ledger. Returns the tokens charged.
    Tokens settle(Charge charge, Tokens used);

    /// Number of the earliest flush that can bill a request dispatched now.
    std::uint64_t nextFlush() const;

    /// Number of the newest flush that the table has applied.
    std::uint64_t appliedFlush() const;

    /// Call when a peer recalls tokens. Returns how many will be returned with the next flush.
    Tokens onPeerRecall(std::string_view budget, std::string_view peer);

    /// Sets the number of routers in the fleet, including this one; at least 1 is assumed.
    void setRouterCount(std::size_t routers);

    /// Flushes periodically until returnHoldings() is called.
    asio::awaitable<void> run();

    /// Shuts down: flushes until all holdings are returned and the row is closed, or the time limit has passed.
    asio::awaitable<void> returnHoldings(Duration limit);

    /// True once this incarnation was declared dead.
    bool fenced() const;

    /// The tokens of one budget, for the operators' status page and the metrics.
    struct HoldingSummary {
        std::string budget;
        Tokens holding = 0;
        Tokens reserved = 0;
        Tokens unsettled = 0;
        std::size_t waiting = 0;
    };

    /// Returns the tokens that this router holds, by budget.
    std::vector<HoldingSummary> holdingSummaries() const;

    /// Number of flushes that the table has answered.
    std::uint64_t flushes() const
    {
        return m_flushes;
    }

private:
    struct PendingReservation;

    asio::awaitable<void> flushOnce();
    asio::awaitable<bool> readRows(std::map<std::string, BudgetRow, std::less<>> &rows);
    void onTableCallSucceeded();
    void onTableCallFailed();
    void deliverResults(std::vector<ReservationResult> results);
    void processAccountChange(BudgetAccount &account);
    void triggerFlush();

    asio::any_io_executor m_loop;
    PlatformClient &m_platform;
    Options m_options;
    BilledHandler m_billed;
    RecallHandler m_recall;
    asio::steady_timer m_flushTimer;
    mutable std::mutex m_mutex;
    NodeLedger m_ledger;
    FleetView m_fleet;
    absl::flat_hash_map<std::string, std::shared_ptr<PendingReservation>> m_pendingReservations;
    std::uint64_t m_flushes = 0;
    int m_failedTableCalls = 0;
    bool m_shuttingDown = false;
};

}
