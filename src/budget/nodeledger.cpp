#include "budget/nodeledger.h"

#include "budget/budgetrows.h"
#include "budget/ledgerpage.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace bamboohold {

NodeLedger::NodeLedger(Options options)
    : m_options(std::move(options))
{
}

BudgetAccount &NodeLedger::account(std::string_view budget)
{
    m_active.emplace(budget);
    const auto found = m_accounts.find(budget);
    if (found != m_accounts.end()) {
        return found->second;
    }
    return m_accounts.emplace(std::string(budget), BudgetAccount(std::string(budget), m_options.policy)).first->second;
}

void NodeLedger::addCharge(Charge charge)
{
    m_charges.push_back(std::move(charge));
}

bool NodeLedger::needsUrgentFlush(Instant now) const
{
    return std::any_of(m_active.begin(), m_active.end(), [this, now](const std::string &name) {
        return m_accounts.find(name)->second.needsUrgentFlush(now);
    });
}

bool NodeLedger::idle() const
{
    const bool settled = std::all_of(m_accounts.begin(), m_accounts.end(), [](const auto &entry) {
        return entry.second.unsettled() == 0 && entry.second.reserved() == 0;
    });
    return settled && m_charges.empty() && !m_pendingFlush;
}

template<typename Visit>
void NodeLedger::forEachActive(Visit visit)
{
    auto name = m_active.upper_bound(m_lastActiveVisited);
    for (std::size_t visited = 0; visited < m_active.size(); ++visited, ++name) {
        if (name == m_active.end()) {
            name = m_active.begin();
        }
        visit(m_accounts.find(*name)->second);
    }
}

template<typename Visit>
void NodeLedger::visitInactive(Visit visit)
{
    const std::size_t steps = std::min(s_inactivePerFlush, m_accounts.size());
    auto entry = m_accounts.upper_bound(m_lastInactiveVisited);
    for (std::size_t step = 0; step < steps; ++step, ++entry) {
        if (entry == m_accounts.end()) {
            entry = m_accounts.begin();
        }
        m_lastInactiveVisited = entry->first;
        if (!m_active.contains(entry->first)) {
            visit(entry->second);
        }
    }
}

void NodeLedger::deactivateIdle(const FleetView &fleet, Instant now)
{
    std::erase_if(m_active, [&](const std::string &name) {
        BudgetAccount &account = m_accounts.find(name)->second;
        const bool hasPendingTokens = account.waiting() > 0 || account.reserved() > 0 || account.unsettled() > 0 || account.returning() > 0;
        return !hasPendingTokens && !account.needsUrgentFlush(now) && !account.wantsDraw(fleet, now);
    });
}

std::vector<std::string> NodeLedger::budgetsToRead(const FleetView &fleet, Instant now)
{
    std::vector<std::string> budgets;
    if (m_pendingFlush || m_fenced || m_closing || !registered()) {
        return budgets;
    }
    // Budgets with waiting requests come first: otherwise those that only want to hold more in advance could fill every flush.
    for (const bool hasWaitingRequests : {true, false}) {
        forEachActive([&](BudgetAccount &account) {
            const bool chosen = (account.waiting() > 0) == hasWaitingRequests && account.wantsDraw(fleet, now);
            if (chosen && budgets.size() < s_budgetsPerFlush) {
                budgets.push_back(account.budget());
            }
        });
    }
    return budgets;
}

bool NodeLedger::holdsNothing() const
{
    return idle() && std::all_of(m_accounts.begin(), m_accounts.end(), [](const auto &entry) {
               return entry.second.holding() == 0;
           });
}

void NodeLedger::addGrantRowRemovals(FlushPlan &plan) const
{
    for (const auto &[budget, ignored] : m_budgetsWithGrantRow) {
        if (plan.transaction.operations.size() < s_budgetsPerFlush * 4) {
            plan.transaction.operations.push_back(
                {.kind = TableOperation::Kind::Remove, .key = grantKey(m_options.identity.incarnation, budget)});
        }
    }
}

TableOperation NodeLedger::nodeOperation(const std::string &flushId, const std::string &newestPageKey, std::string_view state) const
{
    boost::json::object fields{{"state", boost::json::string(state.data(), state.size())},
                               {"flush", flushId},
                               {"ledger", newestPageKey},
                               {"host", m_options.identity.host},
                               {"address", m_options.identity.linkAddress}};
    return putRow(nodeKey(m_options.identity.incarnation), std::move(fields), m_nodeVersion);
}

void NodeLedger::addBudgetUpdate(FlushPlan &plan, const BudgetUpdate &update)
{
    auto &operations = plan.transaction.operations;
    const std::string key = budgetKey(update.budget);
    const Tokens holdingChange = update.draw - update.returnAmount - update.settled;
    // The lower bound of 0 on the free tokens prevents granting the same tokens twice, whatever this router assumed when it planned the
    // draw.
    operations.push_back(addToField(key, "free", update.returnAmount - update.draw, 0));
    operations.push_back(addToField(key, "granted", holdingChange, 0));
    operations.push_back(addToField(key, "consumed", update.settled, 0));
    const std::string grant = grantKey(m_options.identity.incarnation, update.budget);
    if (m_budgetsWithGrantRow.contains(update.budget)) {
        operations.push_back(addToField(grant, "unspent", holdingChange, 0));
    } else {
        operations.push_back(
            putRow(grant, {{"unspent", holdingChange}, {"budget", update.budget}, {"holder", m_options.identity.incarnation}}, 0));
    }
    plan.budgetUpdates.push_back(update);
}

std::optional<FlushPlan>
NodeLedger::planFlush(const std::map<std::string, BudgetRow, std::less<>> &rows, const FleetView &fleet, Instant now)
{
    if (m_inFlight || m_fenced) {
        return std::nullopt;
    }
    if (m_pendingFlush) {
        m_inFlight = true;
        return m_pendingFlush;
    }
    FlushPlan plan{.flushId = absl::StrCat(m_nextFlush)};
    plan.transaction.operations.emplace_back();
    const auto include = [&](BudgetAccount &account, const std::optional<BudgetRow> &row) {
        const bool hasRoom = plan.budgetUpdates.size() < s_budgetsPerFlush && registered();
        const BudgetUpdate update = hasRoom ? account.planFlush(row, fleet, now) : BudgetUpdate{};
        if (!update.empty()) {
            addBudgetUpdate(plan, update);
        }
    };
    for (const auto &[budget, row] : rows) {
        include(account(budget), row);
    }
    std::string last = m_lastActiveVisited;
    forEachActive([&](BudgetAccount &account) {
        if (!rows.contains(account.budget()) && plan.budgetUpdates.size() < s_budgetsPerFlush) {
            include(account, std::nullopt);
            last = account.budget();
        }
    });
    m_lastActiveVisited = last;
    visitInactive([&](BudgetAccount &account) {
        include(account, std::nullopt);
    });
    deactivateIdle(fleet, now);
    const bool heartbeatDue = now - m_appliedAt >= m_options.heartbeatInterval;
    if (m_closed || (registered() && plan.budgetUpdates.empty() && m_charges.empty() && !heartbeatDue && !m_closing)) {
        return std::nullopt;
    }
    for (Charge &charge : m_charges) {
        const bool covered = std::any_of(plan.budgetUpdates.begin(), plan.budgetUpdates.end(), [&charge](const BudgetUpdate &update) {
            return update.budget == charge.budget;
        });
        if (covered || charge.tokens == 0) {
            plan.charges.push_back(charge);
        }
    }
    if (!plan.charges.empty()) {
        plan.objectKey = ledgerKey(m_options.identity.incarnation, plan.flushId);
        plan.object = serializeLedgerPage({.previous = m_newestPageKey, .charges = plan.charges});
    }
    const bool closesNode = m_closing && registered() && plan.budgetUpdates.empty() && plan.charges.empty() && holdsNothing();
    if (closesNode) {
        addGrantRowRemovals(plan);
    }
    plan.transaction.operations.front() =
        nodeOperation(plan.flushId, plan.objectKey.empty() ? m_newestPageKey : plan.objectKey, closesNode ? "closed" : "live");
    ++m_nextFlush;
    m_pendingFlush = std::move(plan);
    m_inFlight = true;
    return m_pendingFlush;
}

std::vector<Charge> NodeLedger::completeFlush(const FlushPlan &plan, std::uint64_t nodeVersion, Instant now)
{
    m_nodeVersion = nodeVersion;
    m_appliedAt = now;
    m_appliedFlush = std::stoull(plan.flushId);
    m_closed = textField(plan.transaction.operations.front().fields, "state") == "closed";
    for (const BudgetUpdate &update : plan.budgetUpdates) {
        m_budgetsWithGrantRow.emplace(update.budget, true);
        account(update.budget).onFlushApplied(update, now);
    }
    absl::flat_hash_set<std::string> billedIds;
    for (const Charge &charge : plan.charges) {
        billedIds.insert(charge.requestId);
    }
    std::erase_if(m_charges, [&billedIds](const Charge &charge) {
        return billedIds.contains(charge.requestId);
    });
    if (!plan.objectKey.empty()) {
        m_newestPageKey = plan.objectKey;
    }
    std::vector<Charge> billed = plan.charges;
    m_supersededFlushes.clear();
    m_pendingFlush.reset();
    return billed;
}

void NodeLedger::rejectPendingFlush(const TableTransactionResult &verdict, Instant now)
{
    for (const BudgetUpdate &update : m_pendingFlush->budgetUpdates) {
        account(update.budget).onFlushRejected();
    }
    for (const TableObstacle &obstacle : verdict.obstacles) {
        if (obstacle.guard && obstacle.row.key.starts_with(s_budgetPrefix)) {
            account(obstacle.row.key.substr(s_budgetPrefix.size())).onDrawRefused(parseBudgetRow(obstacle.row), now);
        }
    }
    m_supersededFlushes.push_back(*std::exchange(m_pendingFlush, std::nullopt));
}

std::vector<Charge> NodeLedger::onFlushAnswered(const TableTransactionResult &verdict, Instant now)
{
    assert(m_pendingFlush);
    m_inFlight = false;
    if (verdict.applied) {
        return completeFlush(FlushPlan(*m_pendingFlush), verdict.versions.front(), now);
    }
    const auto nodeObstacle = std::find_if(verdict.obstacles.begin(), verdict.obstacles.end(), [](const TableObstacle &obstacle) {
        return obstacle.operation == 0;
    });
    if (nodeObstacle == verdict.obstacles.end()) {
        rejectPendingFlush(verdict, now);
        return {};
    }
    // The node's row has another version: either an earlier flush whose answer was lost did take effect, or another router has declared
    // this one dead.
    const std::string flushId = textField(nodeObstacle->row.fields, "flush");
    std::vector<FlushPlan> candidates = m_supersededFlushes;
    candidates.push_back(*m_pendingFlush);
    for (const FlushPlan &candidate : candidates) {
        if (candidate.flushId == flushId && textField(nodeObstacle->row.fields, "state") != "sealing") {
            return completeFlush(FlushPlan(candidate), nodeObstacle->row.version, now);
        }
    }
    m_fenced = true;
    return {};
}

void NodeLedger::onFlushAnswerLost()
{
    m_inFlight = false;
}

}
