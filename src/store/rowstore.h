#pragma once

#include "clock/instant.h"

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace bamboohold {

/// Identifies a row. All rows of a transaction must belong to the same part.
struct RowAddress {
    std::string table;
    std::string part;
    std::string key;

    bool operator==(const RowAddress &) const = default;

    bool operator<(const RowAddress &other) const
    {
        return std::tie(table, part, key) < std::tie(other.table, other.part, other.key);
    }
};

/// A row and its version in the store.
struct StoredRow {
    RowAddress address;
    std::string value;
    /// 0 when the row does not exist.
    std::uint64_t version = 0;
};

/// A precondition of a transaction: the version that the row must have. 0 means that the row must not exist.
struct RowCondition {
    RowAddress address;
    std::uint64_t version = 0;
};

/// A new value for a row. An empty optional removes the row.
struct RowChange {
    RowAddress address;
    std::optional<std::string> value;
};

/// Conditions and changes within one part. Either all changes are applied or none.
struct RowTransaction {
    std::vector<RowCondition> conditions;
    std::vector<RowChange> changes;
};

/// Counts how often the store has come back from an older copy of itself. What it had acknowledged since that copy was made is then gone,
/// and versions are given out again: versions of different generations cannot be compared.
using StoreGeneration = std::uint64_t;

/// A state of the store. Of two states, the one of the later generation is newer, whatever their versions are.
struct StorePosition {
    StoreGeneration generation = 0;
    std::uint64_t version = 0;

    bool operator==(const StorePosition &) const = default;

    auto operator<=>(const StorePosition &other) const
    {
        return std::tie(generation, version) <=> std::tie(other.generation, other.version);
    }
};

/// Time of the store's monotonic clock, in milliseconds. The clock has its own origin and keeps running while hosts are suspended.
using StoreTimeMs = std::int64_t;

/// The result of a transaction that the store processed.
struct RowTransactionResult {
    bool applied = false;
    /// If applied: the new version of the changed rows.
    std::uint64_t version = 0;
    /// If not applied: the current rows that the conditions refer to. Rows that do not exist are omitted.
    std::vector<StoredRow> current;
    StoreTimeMs storeTime = 0;
    /// The store's generation when it answered.
    StoreGeneration generation = 0;
};

/// A consistent snapshot of rows.
struct RowsSnapshot {
    std::vector<StoredRow> rows;
    /// The version of the store at the time of the snapshot. A change feed can continue from it.
    std::uint64_t version = 0;
    StoreTimeMs storeTime = 0;
    StoreGeneration generation = 0;

    StorePosition position() const
    {
        return {.generation = generation, .version = version};
    }
};

/// The changes of a table after a given version.
struct RowsFeed {
    /// Changed rows in the order of the changes. A removed row has version 0.
    std::vector<StoredRow> rows;
    /// The version from which the next call continues.
    std::uint64_t version = 0;
    /// True when the store no longer has the changes after the requested version. The table has to be read again.
    bool historyCompacted = false;
    /// True when the changes are larger than the whole table and were not read. The table has to be read instead.
    bool longerThanTable = false;
    /// If it is not the one of the requested version, the rows say nothing about the changes since then. The table has to be read again.
    StoreGeneration generation = 0;
};

/// Statistics of one call to the store over the network, successful or not.
struct StoreCall {
    enum class Kind {
        Read,
        Write,
        Follow,
    };
    Kind kind = Kind::Read;
    /// The table that the call was made for.
    std::string_view table;
    /// Sizes of the request and response bodies, in bytes. receivedBytes is 0 when no response arrived.
    std::size_t sentBytes = 0;
    std::size_t receivedBytes = 0;
};

std::string_view storeCallName(StoreCall::Kind kind);

/// Marks each change, given in order, whose value has at least minBytes bytes and which is followed by a newer change of the same row.
std::vector<bool> supersededLargeRows(std::span<const StoredRow> changes, std::size_t minBytes);

/// Interface of a store of versioned rows. A call fails with TableUnreachable: with Executed::No when the store rejected it, and with
/// Executed::Unknown when a transaction may have taken effect or may still do so.
template<typename T>
concept RowStore = requires(T store, const RowTransaction &transaction, const std::string &text, std::uint64_t version, Duration wait)
{
    {
        store.transact(transaction)
        } -> std::same_as<boost::asio::awaitable<absl::StatusOr<RowTransactionResult>>>;
    {
        store.read(text, text)
        } -> std::same_as<boost::asio::awaitable<absl::StatusOr<RowsSnapshot>>>;
    {
        store.follow(text, version, wait)
        } -> std::same_as<boost::asio::awaitable<absl::StatusOr<RowsFeed>>>;
};

}
