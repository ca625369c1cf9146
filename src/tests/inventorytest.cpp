#include "inventory/inventory.h"
#include "inventory/teamkey.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(InventoryTest)

namespace {

std::string example(const std::string &name)
{
    std::ifstream file(std::string(BAMBOOHOLD_EXAMPLES) + "/" + name);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

}

BOOST_AUTO_TEST_CASE(examplesAreValidAndSurviveWriting)
{
    for (const char *name : {"himal.json", "samferda.json"}) {
        const InventoryReading reading = readInventory(example(name));
        BOOST_REQUIRE(reading.inventory.has_value());
        const std::string written = writeInventory(*reading.inventory);
        const InventoryReading again = readInventory(written);
        BOOST_REQUIRE(again.inventory.has_value());
        BOOST_TEST(writeInventory(*again.inventory) == written);
        BOOST_TEST(again.inventory->teams.size() == 10);
    }
}

BOOST_AUTO_TEST_CASE(listsEveryMistakeWithItsPath)
{
    const InventoryReading reading = readInventory(R"({
        "name": "x",
        "failure_domains": [{"name": "d"}, {"name": "d"}],
        "hosts": [{"name": "h", "failure_domain": "nowhere", "address": "not-an-address", "role": "spare"}],
        "models": [{"name": "m", "version": "1"}],
        "targets": [{"name": "t", "host": "gone", "model": "m", "service": "s", "slots": 0}],
        "budgets": [{"name": "b", "prepaid": -1}],
        "teams": [{"name": "a.b", "budget": "none", "weight": 0}],
        "access": [{"team": "ghost", "models": ["other"]}],
        "colour": 1})");
    BOOST_TEST(!reading.inventory.has_value());
    std::vector<std::string> paths;
    for (const DocumentError &error : reading.errors) {
        paths.push_back(error.path);
    }
    for (const char *path : {"/failure_domains/1/name",
                             "/hosts/0/failure_domain",
                             "/hosts/0/address",
                             "/hosts/0/role",
                             "/targets/0/host",
                             "/targets/0/model",
                             "/targets/0/slots",
                             "/budgets/0/prepaid",
                             "/teams/0/name",
                             "/teams/0/budget",
                             "/teams/0/weight",
                             "/access/0/team",
                             "/access/0/models",
                             "/colour"}) {
        BOOST_TEST_CONTEXT(path)
        {
            BOOST_TEST((std::find(paths.begin(), paths.end(), path) != paths.end()));
        }
    }
}

BOOST_AUTO_TEST_CASE(invalidDocumentsAreRejected)
{
    for (const char *text : {"", "[]", "{", "{\"name\": 3}", "{\"name\":\"x\",\"hosts\":{}}", "{\"name\":\"x\",\"hosts\":[1]}"}) {
        const InventoryReading reading = readInventory(text);
        BOOST_TEST(!reading.inventory.has_value());
        BOOST_TEST(!reading.errors.empty());
    }
}

BOOST_AUTO_TEST_CASE(keysMatchOnlyTheirTeam)
{
    Team team{.name = "audit"};
    const std::string key = issueKey(team);
    BOOST_TEST(teamOfKey(key) == "audit");
    BOOST_TEST(keyMatches(team, key));
    BOOST_TEST(!keyMatches(team, key + "0"));
    BOOST_TEST(!keyMatches(Team{.name = "audit"}, key));
    BOOST_TEST(team.keySha256.find(key) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(rulesDecideAccessAndIdempotence)
{
    const Inventory inventory = *readInventory(example("himal.json")).inventory;
    BOOST_TEST(inventory.mayUseModel("audit", "dossier-draft"));
    BOOST_TEST(inventory.mayUseService("objections", "filing"));
    BOOST_TEST(!inventory.mayUseService("audit", "filing"));
    BOOST_TEST(inventory.isNonIdempotent("filing", "POST", "/submissions/7"));
    BOOST_TEST(!inventory.isNonIdempotent("filing", "GET", "/submissions/7"));
    BOOST_TEST(inventory.latencyUs("baneshwor", "kirtipur") == 1500);
    BOOST_TEST(inventory.latencyUs("baneshwor", "baneshwor") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
