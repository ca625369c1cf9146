#include "membership/routerregistry.h"

#include "failure/failure.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

constexpr StoreTimeMs s_now = 1'000'000;

/// A store with the rows that the test adds; it accepts every write.
struct ScriptedRows {
    boost::asio::awaitable<absl::StatusOr<RowTransactionResult>> transact(const RowTransaction &)
    {
        co_return RowTransactionResult{.applied = true, .version = 1, .storeTime = s_now};
    }

    boost::asio::awaitable<absl::StatusOr<RowsSnapshot>> read(const std::string &, const std::string &)
    {
        co_return RowsSnapshot{.rows = rows, .version = 1, .storeTime = s_now};
    }

    boost::asio::awaitable<absl::StatusOr<RowsFeed>> follow(const std::string &, std::uint64_t, Duration)
    {
        co_return failed(FailureKind::TableUnreachable, "not used here");
    }

    void put(std::string key, std::string value)
    {
        rows.push_back({.address = {.table = "routers", .part = "", .key = std::move(key)}, .value = std::move(value), .version = 1});
    }

    std::vector<StoredRow> rows;
};

/// The routers that a registry counts among these rows.
std::vector<std::string> countedRouters(ScriptedRows &rows)
{
    boost::asio::io_context loop;
    std::vector<std::string> live;
    RouterRegistry<ScriptedRows> registry(rows, {.router = "10.0.0.1:7400", .onCounted = [&](const std::vector<std::string> &routers) {
                                                     live = routers;
                                                     loop.stop();
                                                 }});
    boost::asio::co_spawn(loop, registry.run(false), boost::asio::detached);
    loop.run();
    return live;
}

}

BOOST_AUTO_TEST_SUITE(RouterRegistryTest)

BOOST_AUTO_TEST_CASE(countsRoutersWithRecentRows)
{
    ScriptedRows rows;
    rows.put("10.0.0.1:7400", "999000");
    rows.put("10.0.0.2:7400", "995000");
    rows.put("10.0.0.3:7400", "900000");
    rows.put("10.0.0.4:7400", "0");
    BOOST_TEST((countedRouters(rows) == std::vector<std::string>{"10.0.0.1:7400", "10.0.0.2:7400", "10.0.0.4:7400"}));
}

// Guards against rows of another writer: keys that are not an address, and times that are not a number or years in the future. Every router
// would count them among the routers that share budgets and retries, connect to them and ask them for loans for as long as the rows exist.
BOOST_AUTO_TEST_CASE(ignoresInvalidRows)
{
    ScriptedRows rows;
    rows.put("10.0.0.1:7400", "999000");
    rows.put("", "999000");
    rows.put("no address", "999000");
    rows.put("router.example:7400", "999000");
    rows.put("10.0.0.2:99999", "999000");
    rows.put("10.0.0.5:7400", "999x");
    rows.put("10.0.0.6:7400", "");
    rows.put("10.0.0.7:7400", "999000000");
    rows.put("10.0.0.8:7400", "9223372036854775807");
    rows.put("10.0.0.9:7400", "-9223372036854775808");
    BOOST_TEST((countedRouters(rows) == std::vector<std::string>{"10.0.0.1:7400"}));
}

BOOST_AUTO_TEST_SUITE_END()
