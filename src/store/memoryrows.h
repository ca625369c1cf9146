#pragma once

#include "store/rowstore.h"

#include <deque>
#include <map>

namespace bamboohold {

/// The rules of a store of versioned rows, in memory: conditions, one part a transaction, one version counter, a feed with a bounded
/// history. Tests and stand-ins use it. Not thread-safe.
class MemoryRows
{
public:
    /// Applies all changes if every condition holds. Fails with InvalidRequest when the entries are of several parts.
    absl::StatusOr<RowTransactionResult> transact(const RowTransaction &transaction, StoreTimeMs now);

    /// All rows of a table's part, in key order.
    RowsSnapshot read(std::string_view table, std::string_view part, StoreTimeMs now) const;

    /// The changes of a table since a version.
    RowsFeed changesSince(std::string_view table, std::uint64_t version) const;

    /// Drops the history up to now, as a store may do at any time.
    void compact();

    /// The newest version.
    std::uint64_t version() const
    {
        return m_version;
    }

private:
    std::uint64_t versionOf(const RowAddress &address) const;

    std::map<RowAddress, StoredRow> m_rows;
    /// Changes in order; a removal has version 0 in its row.
    std::deque<std::pair<std::uint64_t, StoredRow>> m_history;
    std::uint64_t m_version = 0;
    std::uint64_t m_compactedVersion = 0;
};

}
