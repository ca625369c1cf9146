#include "store/memoryrows.h"

#include "failure/failure.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

RowAddress address(std::string key, std::string part = "p")
{
    return {.table = "t", .part = std::move(part), .key = std::move(key)};
}

}

BOOST_AUTO_TEST_SUITE(MemoryRowsTest)

BOOST_AUTO_TEST_CASE(appliesAllChangesOrNone)
{
    MemoryRows rows;
    const RowTransaction create{.conditions = {{.address = address("a"), .version = 0}},
                                .changes = {{.address = address("a"), .value = "1"}, {.address = address("b"), .value = "2"}}};
    BOOST_TEST(rows.transact(create, 10)->applied);
    const auto again = rows.transact(create, 11);
    BOOST_TEST(!again->applied);
    BOOST_REQUIRE(again->current.size() == 1U);
    BOOST_TEST(again->current.front().value == "1");
    BOOST_TEST(rows.read("t", "p", 12).rows.size() == 2U);
}

BOOST_AUTO_TEST_CASE(rejectsTransactionAcrossParts)
{
    MemoryRows rows;
    const RowTransaction across{.changes = {{.address = address("a"), .value = "1"}, {.address = address("a", "q"), .value = "1"}}};
    BOOST_TEST((toFailure(rows.transact(across, 1).status()).kind == FailureKind::InvalidRequest));
}

BOOST_AUTO_TEST_CASE(feedReportsRemovalsAndCompaction)
{
    MemoryRows rows;
    BOOST_TEST(rows.transact({.changes = {{.address = address("a"), .value = "1"}}}, 1).ok());
    const std::uint64_t seen = rows.version();
    BOOST_TEST(rows.transact({.changes = {{.address = address("a"), .value = std::nullopt}}}, 2).ok());
    const RowsFeed feed = rows.changesSince("t", seen);
    BOOST_REQUIRE(feed.rows.size() == 1U);
    BOOST_TEST(feed.rows.front().version == 0U);
    rows.compact();
    BOOST_TEST(rows.changesSince("t", seen).historyCompacted);
    BOOST_TEST(!rows.changesSince("t", rows.version()).historyCompacted);
}

BOOST_AUTO_TEST_SUITE_END()
