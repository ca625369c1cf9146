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

/// Who a router is for as long as its process lives. A restarted router is a new incarnation.
struct NodeIdentity {
    std::string incarnation;
    std::string host;
    /// Where peers reach its link, as address:port.
    std::string linkAddress;
};

/// One flush on its way: the object to store first, then the transaction that makes it count.
struct FlushPlan {
    std::string flushId;
    std::string objectKey;
    std::string object;
    TableTransaction transaction;
    std::vector<BudgetUpdate> budgetUpdates;
    std::vector<Charge> charges;
};

/// All budgets of one router, and the single flush that carries their draws, settlements and returns to the table.
///
/// One transaction per node and interval: the node's own row, written over its expected version, makes the flush exactly-once and fences a
/// router that was declared dead; budget rows change by guarded additions, which commute, so routers do not conflict on a hot budget.
///
/// Pure. The driver stores the plan's object, sends its transaction and reports what came back. A lost answer is never guessed at: the same
/// transaction is sent again until the table answers, and an earlier plan that turns out to have been applied is recognised by its flush id
/// in the node's row.
class NodeLedger
{
public:
    /// Budgets in one flush; each costs four row operations, and transactional tables take about a hundred in one transaction.
    static constexpr std::size_t s_budgetsPerFlush = 24;

    /// Accounts with nothing in motion that one flush looks at.
    static constexpr std::size_t s_inactivePerFlush = 32;

    struct Options {
        NodeIdentity identity;
        AccountPolicy policy;
        /// An idle router writes its row this often, so that its row's age means something.
        Duration heartbeatInterval = std::chrono::seconds(5);
    };

    explicit NodeLedger(Options options);

    /// The account of a budget, opened on first use.
    BudgetAccount &account(std::string_view budget);

    /// Budgets with something in motion: waiting, reserved or unsettled tokens, or a draw wanted. What is done often looks at these only; a
    /// router can hold tens of thousands of budgets, of which few move at a time.
    const std::set<std::string, std::less<>> &activeBudgets() const
    {
        return m_active;
    }

    /// All accounts, in name order.
    const std::map<std::string, BudgetAccount, std::less<>> &accounts() const
    {
        return m_accounts;
    }

    /// Adds a settled request's line to the next flush. The tokens were charged by the account's settle().
    void addCharge(Charge charge);

    /// Budgets whose rows should be read before the next flush is planned, because they want a draw.
    std::vector<std::string> budgetsToRead(const FleetView &fleet, Instant now);

    /// True when someone waits for a flush.
    bool needsUrgentFlush(Instant now) const;

    /// Makes the next flush from the rows just read. Empty when there is nothing to do, a flush is on its way, or the node is fenced. A
    /// flush whose answer was lost is returned again as it was.
    std::optional<FlushPlan> planFlush(const std::map<std::string, BudgetRow, std::less<>> &rows, const FleetView &fleet, Instant now);

    /// The table answered. Returns the charges that are now billed.
    std::vector<Charge> onFlushAnswered(const TableVerdict &verdict, Instant now);

    /// No answer: it is unknown whether the flush took effect.
    void onFlushAnswerLost();

    /// The router ends in good order: once nothing is held any more, the last flush closes its row, so that no peer has to recover it.
    void beginClose()
    {
        m_closing = true;
    }

    /// True once the table shows this incarnation as closed.
    bool closed() const
    {
        return m_closed;
    }

    /// Number of the newest flush that the table applied.
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

    /// True when the table knows this incarnation.
    bool registered() const
    {
        return m_nodeVersion != 0;
    }

    /// True when every charge is in the table and no flush is on its way.
    bool idle() const;

    /// The incarnation this ledger belongs to.
    const NodeIdentity &identity() const
    {
        return m_options.identity;
    }

private:
    /// Visits the active accounts, beginning after the one that the last flush ended with, so that a long list of budgets takes turns.
    template<typename Visit>
    void forEachActive(Visit visit);
    /// Visits a few of the others, a different few each time: their surplus grows as their demand fades.
    template<typename Visit>
    void visitInactive(Visit visit);
    void deactivateIdle(const FleetView &fleet, Instant now);
    void addBudgetUpdate(FlushPlan &plan, const BudgetUpdate &update);
    TableOperation nodeOperation(const std::string &flushId, const std::string &newestPageKey, std::string_view state) const;
    bool holdsNothing() const;
    void addGrantRowRemovals(FlushPlan &plan) const;
    std::vector<Charge> completeFlush(const FlushPlan &plan, std::uint64_t nodeVersion, Instant now);
    void rejectPendingFlush(const TableVerdict &verdict, Instant now);

    Options m_options;
    std::map<std::string, BudgetAccount, std::less<>> m_accounts;
    std::set<std::string, std::less<>> m_active;
    std::string m_lastInactiveVisited;
    /// Budgets for which a grant row exists in the table.
    std::map<std::string, bool, std::less<>> m_budgetsWithGrantRow;
    std::vector<Charge> m_charges;
    /// The flush on its way, or to be sent again.
    std::optional<FlushPlan> m_pendingFlush;
    /// Earlier plans over the same node version that a delayed message could still apply.
    std::vector<FlushPlan> m_supersededFlushes;
    /// Newest page of this incarnation's ledger that the table knows.
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
