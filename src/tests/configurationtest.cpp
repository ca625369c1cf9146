#include "configuration/configuration.h"
#include "inventory/teamkey.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(ConfigurationTest)

BOOST_AUTO_TEST_CASE(authenticatesByKey)
{
    Inventory inventory;
    inventory.teams = {{.name = "one"}, {.name = "two"}};
    const std::string first = issueKey(inventory.teams[0]);
    const std::string second = issueKey(inventory.teams[1]);
    const Configuration configuration(3, inventory);
    BOOST_TEST(configuration.version() == 3);
    BOOST_TEST(configuration.authenticate(first)->name == "one");
    BOOST_TEST(configuration.authenticate(second)->name == "two");
    for (const std::string &key :
         {std::string(), std::string("one"), std::string("one."), "two" + first.substr(3), std::string("three.abc")}) {
        BOOST_TEST(configuration.authenticate(key) == nullptr);
    }
}

BOOST_AUTO_TEST_SUITE_END()
