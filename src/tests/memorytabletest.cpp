#include "store/memorytable.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(MemoryTableTest)

BOOST_AUTO_TEST_CASE(appliesAllOrNothing)
{
    MemoryTable table;
    (void)table.transact({.operations = {putRow("a", {{"free", 10}}, 0), putRow("b", {{"free", 1}}, 0)}});
    const auto result = table.transact({.operations = {addToField("a", "free", -5, 0), addToField("b", "free", -5, 0)}});
    BOOST_TEST(!result->applied);
    BOOST_REQUIRE(result->obstacles.size() == 1);
    BOOST_TEST(result->obstacles[0].guard);
    BOOST_TEST(result->obstacles[0].operation == 1);
    BOOST_TEST(integerField((*table.read("a")).fields, "free") == 10);
}

BOOST_AUTO_TEST_CASE(versionsAreNotReused)
{
    MemoryTable table;
    (void)table.transact({.operations = {putRow("a", {}, 0)}});
    const std::uint64_t first = (*table.read("a")).version;
    (void)table.transact({.operations = {{.kind = TableOperation::Kind::Remove, .key = "a"}}});
    (void)table.transact({.operations = {putRow("a", {}, 0)}});
    BOOST_TEST((*table.read("a")).version > first);
    BOOST_TEST(!table.transact({.operations = {putRow("a", {}, first)}})->applied);
}

BOOST_AUTO_TEST_CASE(transactionsRoundTripThroughJson)
{
    const TableTransaction transaction{.operations = {checkVersion("a", 0),
                                                      putRow("b", {{"x", "y"}}, 3),
                                                      addToField("c", "free", -4, 0),
                                                      {.kind = TableOperation::Kind::Remove, .key = "d", .expectedVersion = 9}}};
    const auto again = transactionFromJson(toJson(transaction));
    BOOST_REQUIRE(again.ok());
    BOOST_TEST(toJson(*again) == toJson(transaction));
    BOOST_TEST(!transactionFromJson(boost::json::object{}).ok());
    BOOST_TEST(!transactionFromJson(boost::json::object{{"operations", {{{"op", "burn"}, {"key", "a"}}}}}).ok());
}

BOOST_AUTO_TEST_SUITE_END()
