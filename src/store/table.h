#pragma once

#include <absl/status/statusor.h>
#include <boost/json/object.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// A row of the platform's table: a JSON object under a key. Versions count from 1; 0 means that the row does not exist.
struct TableRow {
    std::string key;
    std::uint64_t version = 0;
    boost::json::object fields;
};

/// One row's part in a transaction.
struct TableOperation {
    enum class Kind {
        /// Fails unless the row has the expected version (0: is absent).
        Check,
        /// Writes the whole row.
        Put,
        /// Adds delta to a whole-number field; fails when the result would be below the minimum or the row is absent.
        Add,
        /// Deletes the row.
        Remove,
    };

    Kind kind = Kind::Check;
    std::string key;
    /// Version the row must have; empty means any. Applies to every kind.
    std::optional<std::uint64_t> expectedVersion;
    /// Put only.
    boost::json::object fields;
    /// Add only.
    std::string field;
    std::int64_t delta = 0;
    std::optional<std::int64_t> minimum;
};

/// Operations that take effect together or not at all.
struct TableTransaction {
    std::vector<TableOperation> operations;
};

/// Why one operation kept a transaction from taking effect.
struct TableObstacle {
    std::size_t operation = 0;
    /// True when an Add's minimum was not met, false when a version did not match.
    bool guard = false;
    /// The row as it is; version 0 when absent.
    TableRow row;
};

/// The table's answer to a transaction it did process.
struct TableTransactionResult {
    bool applied = false;
    /// When applied: the version of each operation's row afterwards, 0 for a removed or absent one.
    std::vector<std::uint64_t> versions;
    std::vector<TableObstacle> obstacles;
};

/// A host as the platform's lagging list shows it.
struct ListedHost {
    std::string host;
    bool leaving = false;
};

/// Makes the operation that fails unless the row has this version.
TableOperation checkVersion(std::string key, std::uint64_t version);

/// Makes the operation that writes a row; with a version, only over that version.
TableOperation putRow(std::string key, boost::json::object fields, std::optional<std::uint64_t> version);

/// Makes the operation that adds to a field, guarded from below.
TableOperation addToField(std::string key, std::string field, std::int64_t delta, std::optional<std::int64_t> minimum);

/// A whole-number field of a row, 0 when absent.
std::int64_t integerField(const boost::json::object &fields, std::string_view name);

/// A string field of a row, empty when absent.
std::string textField(const boost::json::object &fields, std::string_view name);

/// JSON forms used on the platform's HTTP interface; reading fails with InvalidDocument.
boost::json::object toJson(const TableTransaction &transaction);
absl::StatusOr<TableTransaction> transactionFromJson(const boost::json::value &value);
boost::json::object toJson(const TableRow &row);
TableRow rowFromJson(const boost::json::value &value);
boost::json::object toJson(const TableTransactionResult &result);
absl::StatusOr<TableTransactionResult> tableResultFromJson(const boost::json::value &value);

/// What the system asks of the platform, in the synchronous form that fakes and scenario drivers offer.
/// Errors: TableUnreachable when it is not known whether a transaction took effect.
template<typename T>
concept Platform = requires(T platform, const TableTransaction &transaction, std::string_view key, std::string content)
{
    {
        platform.transact(transaction)
        } -> std::same_as<absl::StatusOr<TableTransactionResult>>;
    {
        platform.read(key)
        } -> std::same_as<absl::StatusOr<TableRow>>;
    {
        platform.scan(key)
        } -> std::same_as<absl::StatusOr<std::vector<TableRow>>>;
    {
        platform.putObject(key, content)
        } -> std::same_as<absl::Status>;
    {
        platform.readObject(key)
        } -> std::same_as<absl::StatusOr<std::string>>;
};

}
