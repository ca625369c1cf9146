#pragma once

#include "store/rowstore.h"

#include <deque>
#include <map>

namespace bamboohold {

/// An in-memory store of versioned rows with the semantics that RowStore requires: conditional transactions within one part, a single
/// version counter and a change feed with bounded history. It can return from an older copy of itself. Used by tests and stand-ins. Not
/// thread-safe.
class MemoryRows
{
public:
    /// Applies all changes if every condition holds, and none otherwise. Fails with InvalidRequest when the entries belong to more than one
    /// part.
    absl::StatusOr<RowTransactionResult> transact(const RowTransaction &transaction, StoreTimeMs now);

    /// Returns all rows of one part of a table, in key order.
    RowsSnapshot read(std::string_view table, std::string_view part, StoreTimeMs now) const;

    /// Returns the changes of a table after the given version.
    RowsFeed changesSince(std::string_view table, std::uint64_t version) const;

    /// Discards the change history up to the current version, as a real store may do at any time.
    void compact();

    /// Copies the current state, for returnToCopy().
    void makeCopy();

    /// Replaces the state by the copy that was made last. Everything written since then is lost, versions are given out again, and the next
    /// generation begins. Without a copy the store returns empty.
    void returnToCopy();

    /// Returns the version of the latest applied transaction.
    std::uint64_t version() const
    {
        return m_state.version;
    }

    /// Returns how often the store has returned from a copy.
    StoreGeneration generation() const
    {
        return m_generation;
    }

private:
    struct State {
        std::map<RowAddress, StoredRow> rows;
        /// The retained changes with their versions, oldest first. A removal is recorded as a row with version 0.
        std::deque<std::pair<std::uint64_t, StoredRow>> history;
        std::uint64_t version = 0;
        std::uint64_t compactedVersion = 0;
    };

    std::uint64_t versionOf(const RowAddress &address) const;

    State m_state;
    State m_copy;
    StoreGeneration m_generation = 0;
};

}
