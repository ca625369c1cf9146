#include "store/memoryrows.h"

#include "failure/failure.h"

#include <algorithm>

namespace bamboohold {

namespace {

bool inOnePart(const RowTransaction &transaction)
{
    std::optional<std::string_view> part;
    const auto same = [&part](const auto &entry) {
        if (!part) {
            part = entry.address.part;
        }
        return *part == entry.address.part;
    };
    return std::ranges::all_of(transaction.conditions, same) && std::ranges::all_of(transaction.changes, same);
}

}

std::uint64_t MemoryRows::versionOf(const RowAddress &address) const
{
    const auto found = m_state.rows.find(address);
    return found == m_state.rows.end() ? 0 : found->second.version;
}

absl::StatusOr<RowTransactionResult> MemoryRows::transact(const RowTransaction &transaction, StoreTimeMs now)
{
    if (!inOnePart(transaction)) {
        return failed(FailureKind::InvalidRequest, "a transaction reaches one part only");
    }
    const auto holds = [this](const RowCondition &condition) {
        return versionOf(condition.address) == condition.version;
    };
    RowTransactionResult result{
        .applied = std::ranges::all_of(transaction.conditions, holds), .storeTime = now, .generation = m_generation};
    if (!result.applied) {
        for (const RowCondition &condition : transaction.conditions) {
            const auto found = m_state.rows.find(condition.address);
            if (found != m_state.rows.end()) {
                result.current.push_back(found->second);
            }
        }
        return result;
    }
    result.version = ++m_state.version;
    for (const RowChange &change : transaction.changes) {
        StoredRow row{.address = change.address, .value = change.value.value_or(""), .version = change.value ? m_state.version : 0};
        if (change.value) {
            m_state.rows.insert_or_assign(change.address, row);
        } else {
            m_state.rows.erase(change.address);
        }
        m_state.history.emplace_back(m_state.version, std::move(row));
    }
    return result;
}

RowsSnapshot MemoryRows::read(std::string_view table, std::string_view part, StoreTimeMs now) const
{
    RowsSnapshot read{.version = m_state.version, .storeTime = now, .generation = m_generation};
    for (const auto &[address, row] : m_state.rows) {
        if (address.table == table && address.part == part) {
            read.rows.push_back(row);
        }
    }
    return read;
}

RowsFeed MemoryRows::changesSince(std::string_view table, std::uint64_t version) const
{
    // A version that was not reached yet belongs to an earlier generation.
    const bool unknown = version < m_state.compactedVersion || version > m_state.version;
    RowsFeed feed{.version = m_state.version, .historyCompacted = unknown, .generation = m_generation};
    for (const auto &[changed, row] : m_state.history) {
        if (changed > version && row.address.table == table) {
            feed.rows.push_back(row);
        }
    }
    return feed;
}

void MemoryRows::makeCopy()
{
    m_copy = m_state;
}

void MemoryRows::returnToCopy()
{
    m_state = m_copy;
    ++m_generation;
}

void MemoryRows::compact()
{
    m_state.history.clear();
    m_state.compactedVersion = m_state.version;
}

}
