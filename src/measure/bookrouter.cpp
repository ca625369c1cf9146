#include "measure/bookrouter.h"

#include <algorithm>
#include <utility>

namespace bamboohold {

namespace {

constexpr Duration s_checkpointInterval = std::chrono::milliseconds(250);
constexpr Duration s_idleCheckpointInterval = std::chrono::seconds(3);
/// Names, versions and punctuation of a row in a call, in bytes: a table, a part, a key of an address.
constexpr std::uint64_t s_rowOverhead = 90;

/// Base64 makes four letters of three bytes.
std::uint64_t encodedSize(std::size_t bytes)
{
    return bytes * 4 / 3;
}

}

BookRouter::BookRouter(std::string holder, std::string incarnation, SimulatedStore &store)
    : m_holder(std::move(holder))
    , m_incarnation(std::move(incarnation))
    , m_store(store)
    , m_checkpoint({.holder = m_holder, .incarnation = m_incarnation, .startedAt = store.now})
{
}

std::string BookRouter::teamName(int budget)
{
    return "team-" + std::to_string(budget);
}

TeamHolding &BookRouter::open(int budget, const PrepaidStatement &statement, bool keeps, std::size_t keepers)
{
    const TeamHolding::Options options{.team = teamName(budget), .holder = m_holder, .incarnation = m_incarnation};
    auto holding = std::make_unique<TeamHolding>(options, m_checkpoint);
    holding->setPrepaid(statement);
    holding->setAssigned(keeps, keepers);
    holding->servingSince(m_store.now);
    return *(m_holdings[budget] = std::move(holding));
}

std::optional<Reservation> BookRouter::reserve(int budget, Tokens bound)
{
    TeamHolding &held = holding(budget);
    for (const bool written : {false, true}) {
        const auto result = held.reserve(bound, m_store.now);
        if (const auto *made = std::get_if<Reservation>(&result)) {
            return *made;
        }
        if (written || std::get<HoldingRefusal>(result) != HoldingRefusal::CommitLimited || !m_store.reachable) {
            break;
        }
        held.addWaiting(bound);
        writeCheckpoint();
        held.removeWaiting(bound);
    }
    return std::nullopt;
}

Tokens BookRouter::lend(int budget, Tokens asked)
{
    TeamHolding &held = holding(budget);
    const Tokens wanted = held.unused() > 0 ? std::min(asked, held.unused()) : asked;
    if (const std::optional<Reservation> made = reserve(budget, wanted)) {
        held.lendReserved(*made);
        held.recordDemand(wanted, m_store.now);
        return wanted;
    }
    return held.lend(asked, m_store.now);
}

void BookRouter::keep(std::size_t routers)
{
    if (!m_store.reachable) {
        return;
    }
    for (const auto &[budget, holding] : m_holdings) {
        if (holding->needsRead(m_store.now)) {
            const RowsSnapshot rows = m_store.rows.read(s_budgetTable, teamName(budget), m_store.time);
            ++m_store.use.reads;
            for (const StoredRow &row : rows.rows) {
                m_store.use.bytes += s_rowOverhead + encodedSize(row.value.size());
            }
            holding->handleRead(rows, m_store.now);
        }
        const std::optional<Instant> due = holding->nextFlush(routers, m_store.now);
        if (due && *due <= m_store.now) {
            flush(*holding, routers);
        }
    }
    const bool holds = std::ranges::any_of(m_holdings, [](const auto &entry) {
        return entry.second->unused() > 0;
    });
    const Duration interval = holds ? s_checkpointInterval : s_idleCheckpointInterval;
    if (!m_lastCheckpoint || m_store.now - *m_lastCheckpoint >= interval) {
        writeCheckpoint();
    }
}

void BookRouter::beginClose()
{
    for (const auto &[budget, holding] : m_holdings) {
        holding->beginClose();
    }
}

bool BookRouter::closed() const
{
    return std::ranges::all_of(m_holdings, [](const auto &entry) {
        return entry.second->closed();
    });
}

void BookRouter::flush(TeamHolding &holding, std::size_t routers)
{
    const std::optional<RowTransaction> transaction = holding.planFlush(routers, m_store.now);
    if (!transaction) {
        return;
    }
    ++m_store.use.flushes;
    addBytes(*transaction);
    holding.flushAnswered(*m_store.rows.transact(*transaction, m_store.time), m_store.now);
}

void BookRouter::writeCheckpoint()
{
    if (m_checkpoint.needsRead()) {
        m_checkpoint.handleRead(m_store.rows.read(s_checkpointTable, m_holder, m_store.time));
    }
    m_lastCheckpoint = m_store.now;
    HolderCheckpoint::Commitments commitments;
    bool recovered = true;
    for (const auto &[budget, holding] : m_holdings) {
        if (const std::optional<Commitment> commitment = holding->commitment(m_store.now)) {
            commitments.emplace(teamName(budget), *commitment);
        }
        recovered = recovered && holding->recovered();
    }
    if (recovered) {
        m_checkpoint.discardPredecessors();
    }
    if (const std::optional<RowTransaction> transaction = m_checkpoint.planWrite(commitments, m_store.now)) {
        ++m_store.use.checkpoints;
        addBytes(*transaction);
        m_checkpoint.writeAnswered(*m_store.rows.transact(*transaction, m_store.time), m_store.now);
    }
}

void BookRouter::addBytes(const RowTransaction &transaction)
{
    m_store.use.bytes += s_rowOverhead * transaction.conditions.size();
    for (const RowChange &change : transaction.changes) {
        m_store.use.bytes += s_rowOverhead + (change.value ? encodedSize(change.value->size()) : 0);
    }
}

}
