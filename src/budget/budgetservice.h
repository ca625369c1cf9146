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

/// Drives a router's NodeLedger: reservations from any loop, and the flush loop on the platform's loop.
///
/// Lock: m_mutex guards the ledger and the waiting requests; it is never held across a wait, and nothing else is locked under it.
class BudgetService
{
public:
    struct Options {
        NodeIdentity identity;
        AccountPolicy policy;
        Duration flushInterval = std::chrono::seconds(1);
        /// Shortest time between two flushes when someone waits for one.
        Duration urgentFlushInterval = std::chrono::milliseconds(20);
        /// And at least this for each router of the fleet, so that the table's load does not grow with their number.
        Duration urgentFlushIntervalPerRouter = std::chrono::milliseconds(2);
    };

    /// Told which requests the table now bills, so that their sidecars can forget them.
    using BilledHandler = std::function<void(const std::vector<Charge> &billed)>;
    /// Asks all peers to return what they can spare of a budget.
    using RecallHandler = std::function<void(const std::string &budget, Tokens need)>;

    BudgetService(asio::any_io_executor platformLoop, PlatformClient &platform, Options options);

    void setBilledHandler(BilledHandler handler);
    void setRecallHandler(RecallHandler handler);

    /// Reserves the worst case of a request, waiting while it may still be admitted. Refusals carry their failure; all mean not run.
    asio::awaitable<absl::Status> reserve(std::string budget, std::string requestId, Tokens bound, Duration timeout);

    /// Reserves at once for a peer's request, or declines. Gives the earliest flush that can bill it.
    std::optional<std::uint64_t> reserveForPeer(std::string_view budget, std::string_view requestId, Tokens bound);

    /// Lowers a reservation.
    void lowerReservation(std::string_view budget, std::string_view requestId, Tokens bound);

    /// Ends a reservation with the tokens used, and bills them on the line given. Returns what was charged.
    Tokens settle(Charge charge, Tokens used);

    /// Number of the earliest flush that can bill a request dispatched now.
    std::uint64_t nextFlush() const;

    /// Number of the newest flush that the table applied.
    std::uint64_t appliedFlush() const;

    /// A peer asks for surplus. Returns how much goes back with the next flush.
    Tokens onPeerRecall(std::string_view budget, std::string_view peer);

    /// The number of routers has changed.
    void setRouterCount(std::size_t routers);

    /// The flush loop; runs until stop().
    asio::awaitable<void> run();

    /// Flushes until nothing is left, returning all holdings, or the time is up.
    asio::awaitable<void> returnHoldings(Duration limit);

    /// True once this incarnation was declared dead.
    bool fenced() const;

    /// One line of the operators' view.
    struct HoldingSummary {
        std::string budget;
        Tokens holding = 0;
        Tokens reserved = 0;
        Tokens unsettled = 0;
        std::size_t waiting = 0;
    };

    /// What this router holds.
    std::vector<HoldingSummary> holdingSummaries() const;

    /// Flushes that the table applied, and tries that got no answer.
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
