#include "clock/steadytime.h"
#include "tests/gatewayfixture.h"

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace bamboohold;

namespace {

constexpr Duration s_ms = std::chrono::milliseconds(1);
/// The routes of the fixture have a timeout of three seconds.
constexpr Duration s_tooShort = 2000 * s_ms;
constexpr Duration s_enough = 4000 * s_ms;

PeerAction declined()
{
    return {.bytes = completeResponse(503, "X-Id: r1\r\nX-Not-Run: 1\r\n", "")};
}

PeerAction events(int first, int last, PeerEnding ending = PeerEnding::Keep)
{
    std::string bytes = streamResponseHead("X-Id: r1\r\nX-Seal: s\r\n");
    for (int event = first; event <= last; ++event) {
        bytes += chunk("id: " + std::to_string(event) + "\ndata: piece\n\n");
    }
    return {.bytes = bytes + (ending == PeerEnding::Keep ? chunk("") : std::string()), .ending = ending};
}

/// A router that is asked to stop once its first target has received a request and before the router has read the target's answer.
struct Fixture : GatewayFixture {
    Fixture(const PeerAction &first, const PeerAction &second, Duration untilShutdown)
        : GatewayFixture({{first}, {second}})
    {
        waitForRequest(untilShutdown);
    }

    void waitForRequest(Duration untilShutdown)
    {
        asio::post(executor(), [this, untilShutdown] {
            if (receivedRequests() == 0) {
                waitForRequest(untilShutdown);
            } else {
                beginDrain(untilShutdown);
            }
        });
    }
};

}

BOOST_AUTO_TEST_SUITE(DrainRecheckTest)

// Guards against sending a request to another target that was admitted before SIGTERM, has not run, and would be cut off.
BOOST_AUTO_TEST_CASE(declinedRequestThatWouldNotEndIsRefused)
{
    for (const std::string path : {"/once/", "/again/", "/stream/", "/resume/"}) {
        Fixture fixture(declined(), declined(), s_tooShort);
        const std::string answer = fixture.exchange(request(path));
        BOOST_TEST(answer.starts_with("HTTP/1.1 503 "), answer);
        BOOST_TEST(contains(answer, "X-Retry-Ms: "), answer);
        BOOST_TEST(contains(answer, "this router ends before the request would"), answer);
        BOOST_TEST(fixture.receivedRequests() == 1U);
    }
}

// Guards against refusing a declined request that the router still ends itself.
BOOST_AUTO_TEST_CASE(declinedRequestThatEndsInTimeGoesOn)
{
    for (const std::string path : {"/once/", "/again/"}) {
        Fixture fixture(declined(), sealedResponse(), s_enough);
        BOOST_TEST(fixture.exchange(request(path)).starts_with("HTTP/1.1 200 "));
    }
}

// Guards against a refusal as not run of a request that may have run, and against giving up a stream midway that can go on.
BOOST_AUTO_TEST_CASE(requestThatMayHaveRunGoesOn)
{
    {
        Fixture again({.ending = PeerEnding::Reset}, sealedResponse(), s_tooShort);
        BOOST_TEST(again.exchange(request("/again/")).starts_with("HTTP/1.1 200 "));
    }
    Fixture resumed(events(1, 2, PeerEnding::Reset), events(3, 4), s_tooShort);
    const std::string answer = resumed.exchange(request("/resume/"));
    BOOST_TEST((contains(answer, "id: 4") || resumed.target(0).requests().empty()), answer);
}

// Guards against a request that is passed on late in a planned stop and cut at its end: one that arrives late, on a new or a kept
// connection, and one whose body arrives late.
BOOST_AUTO_TEST_CASE(lateRequestsAreRefused)
{
    for (const std::string path : {"/once/", "/again/", "/stream/", "/resume/"}) {
        const std::string whole = request(path);
        std::string kept = whole;
        kept.replace(kept.find("Connection: close\r\n"), std::string("Connection: close\r\n").size(), "");
        const std::size_t bodyAt = whole.size() - 4;
        GatewayFixture fixture({{events(1, 2)}});
        fixture.schedule(20 * s_ms, [&fixture] {
            fixture.beginDrain(s_tooShort);
        });
        const std::vector<std::string> answers =
            fixture.exchangeAll({{.request = whole, .at = 40 * s_ms},
                                 {.request = whole, .at = 500 * s_ms},
                                 {.request = kept + whole, .at = 60 * s_ms},
                                 {.request = whole.substr(0, bodyAt), .rest = whole.substr(bodyAt), .restAfter = 100 * s_ms},
                                 {.request = whole.substr(0, 20), .rest = whole.substr(20), .restAfter = 200 * s_ms}});
        for (const std::string &answer : answers) {
            BOOST_TEST(answer.starts_with("HTTP/1.1 503 "), path << answer);
            BOOST_TEST(contains(answer, "X-Retry-Ms: "), answer);
        }
        BOOST_TEST(fixture.receivedRequests() == 0U);
    }
}

// Guards against a request that is admitted in a planned stop, whose target is silent, and that gets no answer before the stop.
BOOST_AUTO_TEST_CASE(admittedRequestsAreAnsweredBeforeTheStop)
{
    for (const std::string path : {"/once/", "/again/"}) {
        for (const PeerAction &action : {PeerAction{.ending = PeerEnding::Silent},
                                         PeerAction{.bytes = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n", .ending = PeerEnding::Silent}}) {
            GatewayFixture fixture({{action}});
            fixture.beginDrain(s_enough);
            const Instant begun = steadyNow();
            const std::string answer = fixture.exchange(request(path));
            BOOST_TEST((answer.starts_with("HTTP/1.1 504 ") || answer.starts_with("HTTP/1.1 502 ")), answer);
            BOOST_TEST((steadyNow() - begun < s_enough));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
