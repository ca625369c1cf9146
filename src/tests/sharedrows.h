#pragma once

#include "failure/failure.h"
#include "store/memoryrows.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <utility>

namespace bamboohold {

/// The store shared by all routers of a test. It answers at once, with the store time that the test sets.
struct SharedRows {
    boost::asio::awaitable<absl::StatusOr<RowTransactionResult>> transact(const RowTransaction &transaction)
    {
        ++writes;
        co_return rows.transact(transaction, now);
    }

    boost::asio::awaitable<absl::StatusOr<RowsSnapshot>> read(const std::string &table, const std::string &part)
    {
        if (older) {
            co_return *older;
        }
        co_return rows.read(table, part, now);
    }

    boost::asio::awaitable<absl::StatusOr<RowsFeed>> follow(const std::string &table, std::uint64_t version, Duration)
    {
        co_return rows.changesSince(table, version);
    }

    /// Writes or removes a row without any condition, as another client would.
    void put(RowAddress address, std::optional<std::string> value)
    {
        (void)rows.transact({.changes = {{.address = std::move(address), .value = std::move(value)}}}, now);
    }

    MemoryRows rows;
    StoreTimeMs now = 5'000'000;
    int writes = 0;
    /// If set, an outdated result that every read returns.
    std::optional<RowsSnapshot> older;
};

}
