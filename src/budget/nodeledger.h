#pragma once

#include "budget/budgetaccount.h"
#include "budget/charge.h"
#include "store/table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Identifies a router process for its lifetime. A restarted router is a new incarnation.
struct NodeIdentity {
    std::string incarnation;
    std::string host;
    /// Address at which peers reach its link, as address:port.
    std::string linkAddress;
};

/// A flush to be sent: store the object first, then send the transaction that makes it take effect.
struct FlushPlan {
    std::string flushId;
    /// Empty if the flush bills nothing, so that there is no object to store.
    std::string objectKey;
    std::string object;
    TableTransaction transaction;
    std::vector<BudgetUpdate> budgetUpdates;
    std::vector<Charge> charges;
};

/// All budget accounts of one router, and the single flush that writes their draws, charges and returned tokens to the table.
///
/// Each flush is one transaction. It replaces the node's own row only at the expected version, so a flush takes effect exactly once, and a
/// router that was declared dead cannot write any more. Budget rows are changed by guarded additions, which commute, so that routers do not
/// conflict on a heavily used budget.
///
/// Does no I/O. The caller stores the plan's object, sends its transaction and reports the answer. If an answer is lost, nothing is assumed
/// about its effect: the same transaction is sent again until the table answers, and an earlier plan that was applied after all is
/// recognised by its flush id in the node's row.
class NodeLedger
{
public:
    /// Most budgets in one flush. Each takes four row operations, and transactional tables accept about a hundred per transaction.
    static constexpr std::size_t s_budgetsPerFlush = 24;

    /// Most inactive accounts that one flush visits.
    static constexpr std::size_t s_inactivePerFlush = 32;

    struct Options {
        NodeIdentity identity;
        AccountPolicy policy;
        /// An idle router writes its row at this interval, so that the age of the row shows whether the router is alive.
        Duration heartbeatInterval = std::chrono::seconds(5);
    };

    explicit NodeLedger(Options options);

    /// Returns the account of a budget, created on first use, and marks it as active.
    BudgetAccount &account(std::string_view budget);

    /// Budgets with waiting requests, with reserved, unsettled or returning tokens, or in need of a draw or an urgent flush. Frequent
    /// operations visit only these: a router can hold tens of thousands of budgets, of which few are active at a time.
    const std::set<std::string, std::less<>> &activeBudgets() const
    {
        return m_active;
    }

    /// All accounts, sorted by budget name.
    const std::map<std::string, BudgetAccount, std::less<>> &accounts() const
    {
        return m_accounts;
    }

    /// Adds the charge of a settled request to the next flush. BudgetAccount::settle() must have charged its tokens before.
    void addCharge(Charge charge);

    /// Returns the budgets whose rows should be read before the next flush is planned, because they need a draw.
    std::vector<std::string> budgetsToRead(const FleetView &fleet, Instant now);

    /// Returns true if an active account needs a flush before the regular interval has passed.
    bool needsUrgentFlush(Instant now) const;

    /// Plans the next flush from the rows just read. Empty if there is nothing to write, a flush is in flight, or the node is fenced. A
    /// flush whose answer was lost is returned again unchanged.
    std::optional<FlushPlan> planFlush(const std::map<std::string, BudgetRow, std::less<>> &rows, const FleetView &fleet, Instant now);

    /// Call with the answer of the table to the flush in flight. Returns the charges that are now billed.
    std::vector<Charge> onFlushAnswered(const TableTransactionResult &verdict, Instant now);

    /// Call if no answer arrived, so that it is unknown whether the flush took effect.
    void onFlushAnswerLost();

    /// Starts an orderly shutdown: once nothing is held any more, the last flush closes the node's row, so that no peer has to recover this
    /// router.
    void beginClose()
    {
        m_closing = true;
    }

    /// True once the table shows this incarnation as closed.
    bool closed() const
    {
        return m_closed;
    }

    /// Number of the newest flush that the table has applied.
    std::uint64_t appliedFlush() const
    {
        return m_appliedFlush;
    }

    /// True once the table showed that another router has declared this one dead. Nothing can be reserved any more.
    bool fenced() const
    {
        return m_fenced;
    }

    /// Number of the earliest flush that can bill a request dispatched now.
    std::uint64_t nextFlush() const
    {
        return m_nextFlush;
    }

    /// True if the table has a row for this incarnation.
    bool registered() const
    {
        return m_nodeVersion != 0;
    }

    /// True if nothing is reserved, every charge is in the table and no flush is pending.
    bool idle() const;

    /// The incarnation that this ledger belongs to.
    const NodeIdentity &identity() const
    {
        return m_options.identity;
    }

private:
    /// Visits the active accounts, starting after the last one included in a flush, so that all of them get their turn when there are more
    /// than fit into one flush.
    template<typename Visit>
    void forEachActive(Visit visit);
    /// Visits the next few inactive accounts, continuing where the last call stopped. They have to be visited because their surplus grows
    /// as their demand decays.
    template<typename Visit>
    void visitInactive(Visit visit);
    void deactivateIdle(const FleetView &fleet, Instant now);
    void addBudgetUpdate(FlushPlan &plan, const BudgetUpdate &update);
    TableOperation nodeOperation(const std::string &flushId, const std::string &newestPageKey, std::string_view state) const;
    bool holdsNothing() const;
    void addGrantRowRemovals(FlushPlan &plan) const;
    std::vector<Charge> completeFlush(const FlushPlan &plan, std::uint64_t nodeVersion, Instant now);
    void rejectPendingFlush(const TableTransactionResult &verdict, Instant now);

    Options m_options;
    std::map<std::string, BudgetAccount, std::less<>> m_accounts;
    std::set<std::string, std::less<>> m_active;
    std::string m_lastInactiveVisited;
    /// Budgets for which this incarnation's grant row exists in the table.
    std::map<std::string, bool, std::less<>> m_budgetsWithGrantRow;
    std::vector<Charge> m_charges;
    /// The flush that is in flight or has to be sent again.
    std::optional<FlushPlan> m_pendingFlush;
    /// Rejected plans for the same version of the node's row, which the table could still apply if a delayed message arrives.
    std::vector<FlushPlan> m_supersededFlushes;
    /// Object key of the newest page in this incarnation's list of ledger pages that the table knows.
    std::string m_newestPageKey;
    std::string m_lastActiveVisited;
    Instant m_appliedAt{};
    std::uint64_t m_nodeVersion = 0;
    std::uint64_t m_nextFlush = 1;
    bool m_inFlight = false;
    bool m_fenced = false;
    bool m_closing = false;
    bool m_closed = false;
    std::uint64_t m_appliedFlush = 0;
};

}
