#include "tests/gatewayfixture.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

constexpr int s_requests = 10;

PeerAction leaving()
{
    return {.bytes = completeResponse(200, "X-Id: r1\r\nX-Seal: s\r\nX-Leaving: 1\r\n", "answer")};
}

}

BOOST_AUTO_TEST_SUITE(TargetLeavingTest)

// Guards against requests to a leaving target while the store is unreachable, so that the list does not show that the target is leaving.
BOOST_AUTO_TEST_CASE(announcedShutdownIsHonoured)
{
    GatewayFixture scene({{leaving()}, {sealedResponse()}});
    for (int sent = 0; sent < s_requests; ++sent) {
        BOOST_TEST(scene.exchange(request("/once/")).starts_with("HTTP/1.1 200 "));
    }
    BOOST_TEST(scene.target(0).requests().size() <= 1U);
}

// Guards against an older record in the list that brings a leaving target back into service.
BOOST_AUTO_TEST_CASE(listRecordDoesNotUndoLeaving)
{
    GatewayFixture scene({{leaving()}});
    BOOST_TEST(scene.exchange(request("/once/")).starts_with("HTTP/1.1 200 "));
    for (int sent = 0; sent < s_requests; ++sent) {
        scene.listFirstTargetAgain();
        BOOST_TEST(scene.exchange(request("/once/")).starts_with("HTTP/1.1 503 "));
    }
    BOOST_TEST(scene.target(0).requests().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
