#include "membership/peerdirectory.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(PeerDirectoryTest)

namespace {

Instant at(int seconds)
{
    return Instant(std::chrono::seconds(seconds));
}

TableRow row(const char *incarnation, std::uint64_t version, const char *state = "live")
{
    return {.key = std::string("node/") + incarnation, .version = version, .fields = {{"state", state}, {"address", "127.0.0.1:1"}}};
}

}

// Guards against declaring a healthy router dead. One that cannot reach the table does not change its row but sends heartbeats; one that is
// cut off from its peers sends none but writes its row. Only a router that does neither is suspected.
BOOST_AUTO_TEST_CASE(suspectsOnlyRoutersWithoutHeartbeatsAndRowChanges)
{
    PeerDirectory directory({.self = "me", .suspicionTimeout = std::chrono::seconds(10)});
    directory.updateRows(std::vector{row("me", 1), row("cut-from-table", 2), row("cut-from-peers", 3), row("zz-dead", 4)}, at(0));
    directory.recordMessage("cut-from-table", at(12));
    directory.updateRows(std::vector{row("me", 1), row("cut-from-table", 2), row("cut-from-peers", 9), row("zz-dead", 4)}, at(12));
    const auto suspects = directory.suspects(at(16));
    BOOST_REQUIRE(suspects.size() == 1);
    BOOST_TEST(suspects[0].key == "node/zz-dead");
}

BOOST_AUTO_TEST_CASE(countsLiveRoutersAndRecentPeers)
{
    PeerDirectory directory({.self = "me"});
    directory.updateRows(std::vector{row("me", 1), row("a", 2), row("b", 3, "sealing"), row("c", 4, "closed")}, at(0));
    BOOST_TEST(directory.liveRouterCount() == 2);
    BOOST_TEST(directory.peers().size() == 1);
    BOOST_TEST(directory.recentPeers(at(1)).empty());
    directory.recordMessage("a", at(1));
    BOOST_TEST(directory.recentPeers(at(2)).size() == 1);
    BOOST_TEST(directory.recentPeers(at(9)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
