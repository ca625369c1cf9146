#include "clock/steadytime.h"
#include "tests/gatewayfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace bamboohold;

namespace {

/// The most requests that a target with a limit of `perSecond` may get in a span. The users' rule applies to spans of at least
/// four seconds.
double maxRequestsInSpan(double perSecond, Duration span)
{
    constexpr double leastSeconds = 4;
    return 1.5 * perSecond * std::max(leastSeconds, seconds(span)) + 5;
}

PeerAction limited(const std::string &perSecond)
{
    return {.bytes = completeResponse(200, "X-Id: r1\r\nX-Seal: s\r\nX-Limit: " + perSecond + "\r\n", "answer")};
}

}

BOOST_AUTO_TEST_SUITE(TargetLimitTest)

// Guards against requests beyond the rate limit that a target states in its answers.
BOOST_AUTO_TEST_CASE(targetGetsNoMoreThanItsRateLimit)
{
    constexpr int requests = 40;
    GatewayFixture scene({{limited("1")}});
    const Instant begun = steadyNow();
    int refused = 0;
    for (int sent = 0; sent < requests; ++sent) {
        const std::string answer = scene.exchange(request("/once/"));
        refused += answer.starts_with("HTTP/1.1 503 ") && contains(answer, "X-Retry-Ms: ") ? 1 : 0;
    }
    const auto arrived = static_cast<int>(scene.target(0).requests().size());
    BOOST_TEST(arrived <= maxRequestsInSpan(1, steadyNow() - begun));
    BOOST_TEST(refused == requests - arrived);
}

// Guards against requests that are refused because of one target's rate limit although another target accepts them.
BOOST_AUTO_TEST_CASE(excessRequestsGoToOtherTargets)
{
    constexpr int requests = 40;
    GatewayFixture scene({{limited("1")}, {sealedResponse()}});
    const Instant begun = steadyNow();
    for (int sent = 0; sent < requests; ++sent) {
        BOOST_TEST(scene.exchange(request("/once/")).starts_with("HTTP/1.1 200 "));
    }
    const auto arrived = static_cast<int>(scene.target(0).requests().size());
    BOOST_TEST(arrived <= maxRequestsInSpan(1, steadyNow() - begun));
}

BOOST_AUTO_TEST_SUITE_END()
