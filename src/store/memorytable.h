#pragma once

#include "store/table.h"

#include <map>
#include <string>
#include <string_view>

namespace bamboohold {

/// The table's and the object store's rules, in memory. The platform stand-in serves it over HTTP; tests and scenario drivers use it
/// directly, so that both meet the same semantics. Not thread-safe.
class MemoryTable
{
public:
    /// Checks every operation against the rows as they are, then applies all or none.
    absl::StatusOr<TableTransactionResult> transact(const TableTransaction &transaction);

    /// The row under the key; version 0 when absent.
    absl::StatusOr<TableRow> read(std::string_view key) const;

    /// All rows whose key begins with the prefix, in key order.
    absl::StatusOr<std::vector<TableRow>> scan(std::string_view prefix) const;

    /// Stores an object; a second write under the key replaces it.
    absl::Status putObject(std::string_view key, std::string content);

    /// Fails with NotFound for a key never written.
    absl::StatusOr<std::string> readObject(std::string_view key) const;

    /// Transactions applied so far.
    std::uint64_t writes() const
    {
        return m_writes;
    }

private:
    std::optional<TableObstacle> obstacleTo(const TableOperation &operation, std::size_t index) const;
    void apply(const TableOperation &operation);

    std::map<std::string, TableRow, std::less<>> m_rows;
    std::map<std::string, std::string, std::less<>> m_objects;
    /// Versions never restart, so that a row removed and written again is not mistaken for the earlier one.
    std::uint64_t m_lastVersion = 0;
    std::uint64_t m_writes = 0;
};

static_assert(Platform<MemoryTable>);

}
