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

/// A row of the platform's table: a JSON object stored under a key. Versions start at 1; 0 means that the row does not exist.
struct TableRow {
    std::string key;
    std::uint64_t version = 0;
    boost::json::object fields;
};

/// An operation on one row within a transaction.
struct TableOperation {
    enum class Kind {
        /// Fails unless the row has the expected version (0: does not exist).
        Check,
        /// Replaces the whole row.
        Put,
        /// Adds delta to an integer field. Fails when the result would be below the minimum or when the row does not exist.
        Add,
        /// Deletes the row.
        Remove,
    };

    Kind kind = Kind::Check;
    std::string key;
    /// The version that the row must have. Empty accepts any version. Applies to every kind of operation.
    std::optional<std::uint64_t> expectedVersion;
    /// Used by Put only.
    boost::json::object fields;
    /// Used by Add only, as are delta and minimum.
    std::string field;
    std::int64_t delta = 0;
    std::optional<std::int64_t> minimum;
};

/// Operations that are applied either all together or not at all.
struct TableTransaction {
    std::vector<TableOperation> operations;
};

/// The reason why one operation prevented a transaction from being applied.
struct TableObstacle {
    std::size_t operation = 0;
    /// True when the minimum of an Add was not met, false when a version did not match.
    bool guard = false;
    /// The current row; version 0 when it does not exist.
    TableRow row;
};

/// The result of a transaction that the table processed.
struct TableTransactionResult {
    bool applied = false;
    /// If applied: the resulting version of each operation's row, 0 for a row that was removed or does not exist.
    std::vector<std::uint64_t> versions;
    std::vector<TableObstacle> obstacles;
};

/// A host in the platform's host list, which may lag behind the actual state.
struct ListedHost {
    std::string host;
    bool leaving = false;
};

/// Creates an operation that fails unless the row has this version.
TableOperation checkVersion(std::string key, std::uint64_t version);

/// Creates an operation that writes a row. If a version is given, the row must have that version.
TableOperation putRow(std::string key, boost::json::object fields, std::optional<std::uint64_t> version);

/// Creates an operation that adds delta to a field. If a minimum is given, the result must not be below it.
TableOperation addToField(std::string key, std::string field, std::int64_t delta, std::optional<std::int64_t> minimum);

/// Returns an integer field of a row, or 0 when it is absent or not an integer.
std::int64_t integerField(const boost::json::object &fields, std::string_view name);

/// Returns a string field of a row, or an empty string when it is absent or not a string.
std::string textField(const boost::json::object &fields, std::string_view name);

/// JSON representations used on the platform's HTTP interface. transactionFromJson fails with InvalidDocument for malformed input,
/// tableResultFromJson with TableUnreachable and Executed::Unknown.
boost::json::object toJson(const TableTransaction &transaction);
absl::StatusOr<TableTransaction> transactionFromJson(const boost::json::value &value);
boost::json::object toJson(const TableRow &row);
TableRow rowFromJson(const boost::json::value &value);
boost::json::object toJson(const TableTransactionResult &result);
absl::StatusOr<TableTransactionResult> tableResultFromJson(const boost::json::value &value);

/// Interface of the platform in the synchronous form that fakes and scenario drivers implement. Fails with TableUnreachable when it is
/// unknown whether a transaction took effect.
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
