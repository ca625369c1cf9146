#include "store/tablewatcher.h"

#include "store/memoryrows.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

constexpr std::size_t s_large = 500'000;
constexpr StoreTimeMs s_storeTime = 1000;

/// A store behind a slow link, in a time of its own: every answer takes as long as its size, and the row changes all the while.
struct BusyStore {
    boost::asio::awaitable<absl::StatusOr<RowsSnapshot>> read(const std::string &table, const std::string &part)
    {
        co_await pause(Duration::zero());
        RowsSnapshot read = rows.read(table, part, s_storeTime);
        carry(read.rows);
        co_return read;
    }

    boost::asio::awaitable<absl::StatusOr<RowsFeed>> follow(const std::string &table, std::uint64_t version, Duration)
    {
        co_await pause(Duration::zero());
        if (rows.changesSince(table, version).rows.empty()) {
            change();
        }
        RowsFeed feed = rows.changesSince(table, version);
        carry(feed.rows);
        co_return feed;
    }

    boost::asio::awaitable<absl::StatusOr<RowTransactionResult>> transact(const RowTransaction &transaction)
    {
        co_return rows.transact(transaction, s_storeTime);
    }

    /// Half a megabyte takes as long as two changes.
    void carry(const std::vector<StoredRow> &carried)
    {
        largestAnswer = std::max(largestAnswer, carried.size());
        for (std::size_t index = 0; index < carried.size(); ++index) {
            change();
            change();
        }
    }

    void change()
    {
        ++changes;
        const RowAddress address{.table = "t", .part = "", .key = "k"};
        (void)rows.transact({.changes = {{.address = address, .value = std::string(s_large, 'x')}}}, s_storeTime);
    }

    MemoryRows rows;
    int changes = 0;
    std::size_t largestAnswer = 0;
};

}

BOOST_AUTO_TEST_SUITE(TableWatcherTest)

// A large document changes faster than it crosses the link. Each feed brings all that changed during the last one, so each is twice as long
// as the one before, and what is in force falls ever further behind. After a feed with passed-over states the table is read whole.
BOOST_AUTO_TEST_CASE(aBacklogOfLargeChangesDoesNotGrow)
{
    boost::asio::io_context loop;
    BusyStore store;
    int taken = 0;
    const auto take = [&loop, &taken] {
        if (++taken > 20) {
            loop.stop();
        }
    };
    TableWatcher<BusyStore> watcher(store,
                                    {.table = "t",
                                     .onSnapshot =
                                         [&take](const std::vector<StoredRow> &) {
                                             take();
                                         },
                                     .onChange =
                                         [&take](const StoredRow &) {
                                             take();
                                         },
                                     .onReachable = [](bool) {}});
    store.change();
    boost::asio::co_spawn(loop, watcher.run(), boost::asio::detached);
    loop.run();
    BOOST_TEST(store.largestAnswer <= 2U);
    BOOST_TEST(taken > 20);
}

// A target says that it leaves and is gone soon after, in one answer: small changes are all taken, in order.
BOOST_AUTO_TEST_CASE(smallChangesAreAllTaken)
{
    const RowAddress address{.table = "t", .part = "", .key = "k"};
    const std::vector<StoredRow> changes{{.address = address, .value = "leaving", .version = 1}, {.address = address, .version = 0}};
    BOOST_TEST((supersededLargeRows(changes, 16) == std::vector<bool>{false, false}));
    BOOST_TEST((supersededLargeRows(changes, 5) == std::vector<bool>{true, false}));
}

BOOST_AUTO_TEST_SUITE_END()
