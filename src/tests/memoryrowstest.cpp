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

// Guards against a stand-in that keeps anything written after its copy: rows, versions or history.
BOOST_AUTO_TEST_CASE(returnsToItsCopy)
{
    MemoryRows rows;
    const auto write = [&rows](const char *key, const char *value, std::uint64_t version) {
        return *rows.transact(
            {.conditions = {{.address = address(key), .version = version}}, .changes = {{.address = address(key), .value = value}}}, 1);
    };
    BOOST_TEST(write("a", "1", 0).version == 1U);
    rows.makeCopy();
    BOOST_TEST(write("a", "2", 1).version == 2U);
    BOOST_TEST(write("b", "1", 0).version == 3U);
    rows.returnToCopy();
    const RowsSnapshot read = rows.read("t", "p", 1);
    BOOST_TEST(read.generation == 1U);
    BOOST_TEST(read.version == 1U);
    BOOST_REQUIRE(read.rows.size() == 1U);
    BOOST_TEST(read.rows.front().value == "1");
    BOOST_TEST(rows.changesSince("t", 0).rows.size() == 1U);
    BOOST_TEST(rows.changesSince("t", 1).rows.empty());
    BOOST_TEST(!rows.changesSince("t", 1).historyCompacted);
    BOOST_TEST(rows.changesSince("t", 3).historyCompacted);
    BOOST_TEST(rows.changesSince("t", 3).generation == 1U);
    BOOST_TEST(!write("a", "3", 2).applied);
    const RowTransactionResult again = write("a", "3", 1);
    BOOST_TEST(again.applied);
    BOOST_TEST(again.version == 2U);
    BOOST_TEST(again.generation == 1U);
    rows.returnToCopy();
    BOOST_TEST(rows.read("t", "p", 1).rows.front().value == "1");
    BOOST_TEST(rows.generation() == 2U);
}

BOOST_AUTO_TEST_CASE(returnsEmptyWithoutACopy)
{
    MemoryRows rows;
    BOOST_TEST(rows.transact({.changes = {{.address = address("a"), .value = "1"}}}, 1).ok());
    rows.returnToCopy();
    BOOST_TEST(rows.read("t", "p", 1).rows.empty());
    BOOST_TEST(rows.version() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
