#pragma once

#include "store/table.h"

#include <map>
#include <string>
#include <string_view>

namespace bamboohold {

/// An in-memory implementation of the platform's table and object store. The platform stand-in serves it over HTTP; tests and scenario
/// drivers call it directly, so both run against the same semantics. Not thread-safe.
class MemoryTable
{
public:
    /// Checks every operation against the current rows, then applies either all operations or none.
    absl::StatusOr<TableTransactionResult> transact(const TableTransaction &transaction);

    /// Returns the row with this key; its version is 0 when the row does not exist.
    absl::StatusOr<TableRow> read(std::string_view key) const;

    /// Returns all rows whose key starts with the prefix, in key order.
    absl::StatusOr<std::vector<TableRow>> scan(std::string_view prefix) const;

    /// Stores an object, replacing any earlier object with the same key.
    absl::Status putObject(std::string_view key, std::string content);

    /// Returns the object with this key. Fails with NotFound when none was ever stored.
    absl::StatusOr<std::string> readObject(std::string_view key) const;

    /// Returns the number of transactions applied so far.
    std::uint64_t writes() const
    {
        return m_writes;
    }

private:
    std::optional<TableObstacle> obstacleTo(const TableOperation &operation, std::size_t index) const;
    void apply(const TableOperation &operation);

    std::map<std::string, TableRow, std::less<>> m_rows;
    std::map<std::string, std::string, std::less<>> m_objects;
    /// Versions are never reused, so a row that was removed and written again is not mistaken for the earlier one.
    std::uint64_t m_lastVersion = 0;
    std::uint64_t m_writes = 0;
};

static_assert(Platform<MemoryTable>);

}
