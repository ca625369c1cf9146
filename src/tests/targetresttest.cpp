#include "tests/gatewayfixture.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace bamboohold;

namespace {

constexpr int s_requests = 10;
/// Time between two requests. All of them together last longer than the back-off after a declined request without a requested rest.
constexpr Duration s_requestInterval = std::chrono::milliseconds(40);

PeerAction restingForMinutes()
{
    return {.bytes = completeResponse(503, "X-Id: r1\r\nX-Not-Run: 1\r\nX-Rest: 600\r\n", "")};
}

}

BOOST_AUTO_TEST_SUITE(TargetRestTest)

// Guards against requests to a target before the rest that it requested is over.
BOOST_AUTO_TEST_CASE(requestedRestIsHonoured)
{
    GatewayFixture scene({{restingForMinutes()}, {sealedResponse()}});
    for (int sent = 0; sent < s_requests; ++sent) {
        BOOST_TEST(scene.exchange(request("/once/")).starts_with("HTTP/1.1 200 "));
        std::this_thread::sleep_for(s_requestInterval);
    }
    BOOST_TEST(scene.target(0).requests().size() <= 1U);
}

// Guards against requests to a resting target because no other one is available. Callers are refused at once and told when the rest ends.
BOOST_AUTO_TEST_CASE(callersGetRetryTimeWhenAllTargetsRest)
{
    GatewayFixture scene({{restingForMinutes()}});
    for (int sent = 0; sent < s_requests; ++sent) {
        const std::string answer = scene.exchange(request("/once/"));
        BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
        const std::size_t at = answer.find("X-Retry-Ms: ");
        BOOST_REQUIRE(at != std::string::npos);
        const int waitMs = std::stoi(answer.substr(at + std::string("X-Retry-Ms: ").size()));
        BOOST_TEST(waitMs > 300'000);
        BOOST_TEST(waitMs <= 600'001);
    }
    BOOST_TEST(scene.target(0).requests().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
