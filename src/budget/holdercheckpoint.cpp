#include "budget/holdercheckpoint.h"

#include <algorithm>
#include <utility>

namespace bamboohold {

namespace {

/// Maximum number of dead processes whose checkpoints are kept. More of them mean a router that dies repeatedly before it recovers
/// anything; all that the oldest ones held then counts as spent.
constexpr std::size_t s_maxPredecessors = 8;
/// Step of the search for the time at which a limit is reached.
constexpr Duration s_limitStep = std::chrono::milliseconds(50);

std::int64_t inMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}

HolderCheckpoint::HolderCheckpoint(Options options)
    : m_options(std::move(options))
{
}

RowAddress HolderCheckpoint::address() const
{
    return {.table = std::string(s_checkpointTable), .part = m_options.holder, .key = std::string(s_checkpointKey)};
}

void HolderCheckpoint::handleRead(const RowsSnapshot &read)
{
    if (m_read) {
        return;
    }
    m_read = true;
    const auto found = std::ranges::find(read.rows, address(), &StoredRow::address);
    adopt(found == read.rows.end() ? nullptr : &*found, read.generation);
}

void HolderCheckpoint::beginGeneration(StoreGeneration generation)
{
    m_generation = generation;
    for (Checkpoint &checkpoint : m_predecessors) {
        checkpoint.generation = generation;
    }
}

void HolderCheckpoint::adopt(const StoredRow *row, StoreGeneration generation)
{
    m_generation = generation;
    m_version = row == nullptr ? 0 : row->version;
    m_predecessors.clear();
    if (row == nullptr) {
        return;
    }
    CheckpointRow seen = checkpointRowFrom(*row);
    m_predecessors = std::move(seen.predecessors);
    if (!seen.own.incarnation.empty()) {
        m_predecessors.insert(m_predecessors.begin(), std::move(seen.own));
    }
    std::erase_if(m_predecessors, [generation](const Checkpoint &checkpoint) {
        return checkpoint.generation != generation;
    });
    m_predecessors.resize(std::min(m_predecessors.size(), s_maxPredecessors));
}

StoreTimeMs HolderCheckpoint::minStoreTime(Instant now) const
{
    return m_storeTime + inMs(now - m_storeTimeAt);
}

std::optional<RowTransaction> HolderCheckpoint::planWrite(const Commitments &teams, Instant now)
{
    if (!m_read || m_fenced) {
        return std::nullopt;
    }
    if (m_inFlight) {
        m_inFlight->sentAt = now;
        return m_inFlight->transaction;
    }
    CheckpointRow row{
        .own = {.incarnation = m_options.incarnation, .sequence = ++m_sequence, .generation = m_generation, .baseline = minStoreTime(now)}};
    if (predecessorsFenced()) {
        // The first write contains no commitments, because the store's time, and so their baseline, is not known yet.
        row.own.teams = teams;
    }
    row.predecessors = m_predecessors;
    Write write{.timed = {.checkpoint = row.own, .start = now}, .sentAt = now};
    write.transaction.conditions.push_back({.address = address(), .version = m_version});
    write.transaction.changes.push_back({.address = address(), .value = toText(row)});
    m_inFlight = std::move(write);
    return m_inFlight->transaction;
}

bool HolderCheckpoint::writeAnswered(const RowTransactionResult &verdict, Instant now)
{
    if (!m_inFlight) {
        return false;
    }
    const bool returned = verdict.generation > m_generation;
    if (returned && (verdict.applied || predecessorsFenced())) {
        beginGeneration(verdict.generation);
    }
    if (verdict.applied) {
        acknowledge(verdict, verdict.version, now);
        return true;
    }
    const auto current = std::ranges::find(verdict.current, address(), &StoredRow::address);
    const StoredRow *row = current == verdict.current.end() ? nullptr : &*current;
    const Checkpoint seen = row == nullptr ? Checkpoint{} : checkpointRowFrom(*row).own;
    if (row != nullptr && seen.incarnation == m_options.incarnation && seen.sequence == m_inFlight->timed.checkpoint.sequence) {
        // The store applied this write earlier, and its answer was lost.
        acknowledge(verdict, row->version, now);
        return true;
    }
    m_inFlight.reset();
    if (!predecessorsFenced()) {
        adopt(row, verdict.generation);
    } else if (row == nullptr ? returned : seen.generation < m_generation) {
        // The store has returned from a copy that has an older row of this address, or none. The next write replaces it.
        m_version = row == nullptr ? 0 : row->version;
    } else {
        // Only a process that could bind this address writes this row.
        m_fenced = true;
    }
    return false;
}

void HolderCheckpoint::acknowledge(const RowTransactionResult &verdict, std::uint64_t version, Instant now)
{
    m_storeTime = verdict.storeTime;
    m_storeTimeAt = now;
    if (!m_startedBefore) {
        // The store answered after the write was sent, so this is an upper limit of its clock at the start. A suspension in between only
        // makes the measured time since the start too short and the limit too late, which is safe.
        m_startedBefore = m_storeTime - inMs(m_inFlight->sentAt - m_options.startedAt);
        for (Checkpoint &checkpoint : m_predecessors) {
            checkpoint.diedBefore = std::min(*m_startedBefore, checkpoint.diedBefore.value_or(*m_startedBefore));
        }
    }
    m_version = version;
    m_acknowledged = std::move(m_inFlight->timed);
    m_inFlight.reset();
}

void HolderCheckpoint::writeDeclined()
{
    if (m_inFlight && !m_inFlight->outcomeUnknown) {
        m_inFlight.reset();
    }
}

void HolderCheckpoint::writeLost()
{
    if (m_inFlight) {
        m_inFlight->outcomeUnknown = true;
    }
}

Tokens HolderCheckpoint::limit(std::string_view team, Instant now) const
{
    if (!m_acknowledged || m_fenced) {
        return 0;
    }
    const auto allowed = [&](const TimedCheckpoint &timed) {
        const auto found = timed.checkpoint.teams.find(team);
        return found == timed.checkpoint.teams.end() ? 0 : found->second.limitAfter(seconds(now - timed.start));
    };
    // The store contains the last acknowledged checkpoint or already the one in flight; a successor may rely on either.
    const Tokens acknowledged = allowed(*m_acknowledged);
    return m_inFlight ? std::min(acknowledged, allowed(m_inFlight->timed)) : acknowledged;
}

std::optional<Duration> HolderCheckpoint::timeUntil(std::string_view team, Tokens committed, Instant now, Duration horizon) const
{
    for (Duration wait{}; wait <= horizon; wait += s_limitStep) {
        if (limit(team, now + wait) >= committed) {
            return wait;
        }
    }
    return std::nullopt;
}

Tokens HolderCheckpoint::committedAtCheckpoint(std::string_view incarnation, std::string_view team) const
{
    const auto found = std::ranges::find(m_predecessors, incarnation, &Checkpoint::incarnation);
    if (found == m_predecessors.end()) {
        return 0;
    }
    const auto commitment = found->teams.find(team);
    return commitment == found->teams.end() ? 0 : commitment->second.committed;
}

std::optional<Tokens> HolderCheckpoint::maxSpentBy(std::string_view incarnation, std::string_view team) const
{
    const auto found = std::ranges::find(m_predecessors, incarnation, &Checkpoint::incarnation);
    if (found == m_predecessors.end() || !m_startedBefore) {
        return std::nullopt;
    }
    return found->maxCommitted(team, *m_startedBefore);
}

}
