#include "store/tablewatcher.h"

#include "store/memoryrows.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

constexpr std::size_t s_rowBytes = 500'000;
constexpr StoreTimeMs s_storeTime = 1000;

/// A store behind a slow link, in simulated time: the duration of a transfer grows with its size, and the row keeps changing meanwhile.
struct SlowLinkStore {
    boost::asio::awaitable<absl::StatusOr<RowsSnapshot>> read(const std::string &table, const std::string &part)
    {
        co_await pause(Duration::zero());
        RowsSnapshot read = rows.read(table, part, s_storeTime);
        changeDuringTransfer(read.rows);
        co_return read;
    }

    boost::asio::awaitable<absl::StatusOr<RowsFeed>> follow(const std::string &table, std::uint64_t version, Duration)
    {
        co_await pause(Duration::zero());
        if (rows.changesSince(table, version).rows.empty()) {
            writeRow();
        }
        RowsFeed feed = rows.changesSince(table, version);
        changeDuringTransfer(feed.rows);
        co_return feed;
    }

    boost::asio::awaitable<absl::StatusOr<RowTransactionResult>> transact(const RowTransaction &transaction)
    {
        co_return rows.transact(transaction, s_storeTime);
    }

    /// Simulates a transfer: each row of half a megabyte takes as long as two changes.
    void changeDuringTransfer(const std::vector<StoredRow> &rowsSent)
    {
        largestAnswer = std::max(largestAnswer, rowsSent.size());
        for (std::size_t index = 0; index < rowsSent.size(); ++index) {
            writeRow();
            writeRow();
        }
    }

    void writeRow()
    {
        ++changes;
        const RowAddress address{.table = "t", .part = "", .key = "k"};
        (void)rows.transact({.changes = {{.address = address, .value = std::string(s_rowBytes, 'x')}}}, s_storeTime);
    }

    MemoryRows rows;
    int changes = 0;
    std::size_t largestAnswer = 0;
};

}

BOOST_AUTO_TEST_SUITE(TableWatcherTest)

// Guards against a growing backlog when a large document changes faster than it can be transferred. Each feed contains all changes made
// during the previous transfer, so each would be twice as long as the one before and the watcher would fall further and further behind.
// After a feed with superseded versions the whole table is read instead.
BOOST_AUTO_TEST_CASE(backlogOfLargeChangesDoesNotGrow)
{
    boost::asio::io_context loop;
    SlowLinkStore store;
    int delivered = 0;
    const auto countDelivery = [&loop, &delivered] {
        if (++delivered > 20) {
            loop.stop();
        }
    };
    TableWatcher<SlowLinkStore> watcher(store,
                                        {.table = "t",
                                         .onSnapshot =
                                             [&countDelivery](const std::vector<StoredRow> &) {
                                                 countDelivery();
                                             },
                                         .onChange =
                                             [&countDelivery](const StoredRow &) {
                                                 countDelivery();
                                             },
                                         .onReachable = [](bool) {}});
    store.writeRow();
    boost::asio::co_spawn(loop, watcher.run(), boost::asio::detached);
    loop.run();
    BOOST_TEST(store.largestAnswer <= 2U);
    BOOST_TEST(delivered > 20);
}

// A target may announce that it is leaving and disappear soon after, within one feed. Small changes are therefore all delivered, in order.
BOOST_AUTO_TEST_CASE(smallChangesAreAllDelivered)
{
    const RowAddress address{.table = "t", .part = "", .key = "k"};
    const std::vector<StoredRow> changes{{.address = address, .value = "leaving", .version = 1}, {.address = address, .version = 0}};
    BOOST_TEST((supersededLargeRows(changes, 16) == std::vector<bool>{false, false}));
    BOOST_TEST((supersededLargeRows(changes, 5) == std::vector<bool>{true, false}));
}

BOOST_AUTO_TEST_SUITE_END()
