#include "clock/steadytime.h"
#include "tests/gatewayfixture.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace bamboohold;

namespace {

PeerAction declined()
{
    return {.bytes = completeResponse(503, "X-Not-Run: 1\r\n", "")};
}

std::string event(int id)
{
    return absl::StrCat("id: ", id, "\ndata: piece", id, "\n\n");
}

/// The body of a chunked answer is whole only with its last chunk.
bool isCompleteStream(const std::string &answer)
{
    return answer.ends_with("0\r\n\r\n");
}

}

BOOST_AUTO_TEST_SUITE(GatewayTest)

BOOST_AUTO_TEST_CASE(forwardsResponse)
{
    GatewayFixture fixture({{sealedResponse()}});
    const std::string answer = fixture.exchange(request("/once/", "X-Key: key\r\nKeep-Alive: 9\r\nX-Other: kept\r\n"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(contains(answer, "X-Seal: s\r\n"));
    BOOST_TEST(answer.ends_with("\r\n\r\nanswer"));
    BOOST_REQUIRE(fixture.target(0).requests().size() == 1U);
    const std::string sent = fixture.target(0).requests().front();
    BOOST_TEST(sent.starts_with("POST /once/1 HTTP/1.1\r\n"));
    BOOST_TEST(contains(sent, "X-Team: team\r\n"));
    BOOST_TEST(contains(sent, "X-Other: kept\r\n"));
    BOOST_TEST(!contains(sent, "Keep-Alive"));
    BOOST_TEST(sent.ends_with("body"));
}

// Refusals that a router makes itself; no target is bothered.
BOOST_AUTO_TEST_CASE(refusesWithoutContactingTargets)
{
    struct Case {
        std::string path;
        std::string headers;
        std::string status;
    };
    for (const Case &item : {Case{"/once/", "X-Key: wrong\r\n", "401"}, Case{"/nowhere/", "X-Key: key\r\n", "404"}}) {
        GatewayFixture fixture({{sealedResponse()}});
        BOOST_TEST(fixture.exchange(request(item.path, item.headers)).starts_with("HTTP/1.1 " + item.status));
        BOOST_TEST(fixture.receivedRequests() == 0U);
    }
}

// A router that has just started knows no configuration. "No such route" or "no such key" could be false, and callers would not try again.
BOOST_AUTO_TEST_CASE(withoutPlanAsksCallersToRetry)
{
    GatewayFixture fixture({{sealedResponse()}}, false);
    const std::string answer = fixture.exchange(request("/once/"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(contains(answer, "X-Retry-Ms: "));
}

// All routers restart, and every caller that could not connect meanwhile comes at once, some milliseconds before the first configuration.
// They were refused and late when they came back; now they are served.
BOOST_AUTO_TEST_CASE(requestsWaitForTheFirstPlan)
{
    GatewayFixture fixture({{sealedResponse()}}, false, std::chrono::seconds(30));
    fixture.setPlanAfterDelay();
    BOOST_TEST(fixture.exchange(request("/once/")).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(fixture.receivedRequests() == 1U);
}

// A target declines; the request has not run and goes elsewhere, also when it must not run twice.
BOOST_AUTO_TEST_CASE(declinedRequestIsSentToAnotherTarget)
{
    GatewayFixture fixture({{declined()}, {sealedResponse()}});
    BOOST_TEST(fixture.exchange(request("/once/")).starts_with("HTTP/1.1 200 "));
}

// All targets decline: the caller hears "not run", with a time to come back.
BOOST_AUTO_TEST_CASE(declinedByAllIsReportedAsNotRun)
{
    GatewayFixture fixture({{declined()}, {declined()}});
    const std::string answer = fixture.exchange(request("/once/"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(contains(answer, "X-Retry-Ms: "));
}

// A target takes a submission and its connection is reset: it may have run. The router must neither send it again nor say that it was not
// run.
BOOST_AUTO_TEST_CASE(lostAnswerIsNotRepeated)
{
    GatewayFixture fixture({{{.bytes = "", .ending = PeerEnding::Reset}}, {{.bytes = "", .ending = PeerEnding::Reset}}});
    const std::string answer = fixture.exchange(request("/once/"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 502 "));
    BOOST_TEST(fixture.receivedRequests() == 1U);
}

// The same for a request that may run again: the other target serves it.
BOOST_AUTO_TEST_CASE(lostResponseOfIdempotentRequestIsRetried)
{
    GatewayFixture fixture({{{.bytes = "", .ending = PeerEnding::Reset}}, {sealedResponse()}});
    BOOST_TEST(fixture.exchange(request("/again/")).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(fixture.receivedRequests() == 2U);
}

// A target runs a repeatable request and fails it; the second one does too, and its failure is passed on as it stands.
BOOST_AUTO_TEST_CASE(failureOfTargetIsForwarded)
{
    const PeerAction failing{.bytes = completeResponse(500, "X-Id: r1\r\nX-Seal: f\r\n", "broken")};
    GatewayFixture fixture({{failing}, {failing}, {sealedResponse()}});
    const std::string answer = fixture.exchange(request("/again/"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 500 "));
    BOOST_TEST(answer.ends_with("broken"));
    BOOST_TEST(fixture.receivedRequests() == 2U);
}

// Answers that are not the target's whole answer must not reach the caller as a success.
BOOST_AUTO_TEST_CASE(invalidResponsesAreNotForwarded)
{
    const std::vector<PeerAction> invalidResponses{
        {.bytes = completeResponse(200, "X-Id: r1\r\n", "answer")},
        {.bytes = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Length: 60\r\n\r\nans", .ending = PeerEnding::Close},
        {.bytes = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n\r\nans", .ending = PeerEnding::Reset},
        {.bytes = "rubbish\r\n\r\n", .ending = PeerEnding::Close},
    };
    for (const PeerAction &action : invalidResponses) {
        GatewayFixture fixture({{action}});
        const std::string answer = fixture.exchange(request("/once/"));
        BOOST_TEST(answer.starts_with("HTTP/1.1 502 "), answer);
        BOOST_TEST(!contains(answer, "X-Seal"));
    }
}

// The answer to an earlier request comes a second time, where the answer to this one is expected.
BOOST_AUTO_TEST_CASE(responseToAnotherRequestIsSkipped)
{
    const std::string foreign = completeResponse(200, "X-Id: r0\r\nX-Seal: s0\r\n", "not yours");
    GatewayFixture fixture({{{.bytes = foreign + sealedResponse().bytes}}});
    const std::string answer = fixture.exchange(request("/once/"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(!contains(answer, "not yours"));
    BOOST_TEST(answer.ends_with("answer"));
}

// A target sends bytes behind a complete answer: they belong to nobody, and the connection is not used again.
BOOST_AUTO_TEST_CASE(extraBytesAreDiscarded)
{
    GatewayFixture fixture(
        {{{.bytes = sealedResponse().bytes + "HTTP/1.1 200 OK\r\nX-Seal: late\r\nContent-Length: 3\r\n\r\nxyz"}, sealedResponse()}});
    BOOST_TEST(fixture.exchange(request("/once/")).ends_with("\r\n\r\nanswer"));
    BOOST_TEST(fixture.exchange(request("/once/")).ends_with("\r\n\r\nanswer"));
    BOOST_TEST(fixture.target(0).closedByCaller() >= 1U);
}

// A target vanishes without closing its connections, and its address goes over to another process. A connection that was kept to the first
// one would swallow a request for the second, which then could not be repeated.
BOOST_AUTO_TEST_CASE(newProcessGetsNewConnections)
{
    GatewayFixture fixture({{sealedResponse()}});
    BOOST_TEST(fixture.exchange(request("/once/")).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(fixture.exchange(request("/once/")).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(fixture.target(0).connections() == 1U);
    fixture.replaceFirstTarget();
    BOOST_TEST(fixture.exchange(request("/once/")).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(fixture.target(0).connections() == 2U);
}

// A target's host loses power with a request on its way and starts again under its name; no reset comes. The caller waited to its
// deadline, although the list showed the new life, which knew nothing of the request and had room for it.
BOOST_AUTO_TEST_CASE(idempotentRequestLeavesARestartedTarget)
{
    GatewayFixture fixture(
        {{{.bytes = "", .ending = PeerEnding::Silent}}, {{.bytes = completeResponse(200, "X-Id: r1\r\nX-Seal: s\r\n", "ok")}}});
    fixture.removeSecondTarget();
    fixture.restartFirstTarget();
    BOOST_TEST(fixture.exchange(request("/patient/")).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(fixture.target(0).requests().size() == 1U);
    BOOST_TEST(fixture.target(1).requests().size() == 1U);
}

// The same with a request that may not run twice: it is not sent again.
BOOST_AUTO_TEST_CASE(nonIdempotentRequestStaysWithARestartedTarget)
{
    GatewayFixture fixture(
        {{{.bytes = "", .ending = PeerEnding::Silent}}, {{.bytes = completeResponse(200, "X-Id: r1\r\nX-Seal: s\r\n", "ok")}}});
    fixture.removeSecondTarget();
    fixture.restartFirstTarget();
    BOOST_TEST(!fixture.exchange(request("/once/")).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(fixture.target(1).requests().empty());
}

BOOST_AUTO_TEST_CASE(forwardsStream)
{
    GatewayFixture fixture({{{.bytes = streamResponseHead("X-Id: r1\r\nX-Seal: s\r\n") + chunk(event(1)) + chunk(event(2)) + chunk("")}}});
    const std::string answer = fixture.exchange(request("/stream/"));
    BOOST_TEST(contains(answer, "piece1"));
    BOOST_TEST(contains(answer, "piece2"));
    BOOST_TEST(isCompleteStream(answer));
}

// A stream that cannot be resumed breaks off midway: what the caller has must not look complete, and no torn event is passed on.
BOOST_AUTO_TEST_CASE(interruptedStreamDoesNotLookComplete)
{
    GatewayFixture fixture({{{.bytes = streamResponseHead("X-Id: r1\r\nX-Seal: s\r\n") + chunk(event(1)) + chunk("id: 2\ndata: pie"),
                              .ending = PeerEnding::Reset}}});
    const std::string answer = fixture.exchange(request("/stream/"));
    BOOST_TEST(!isCompleteStream(answer));
    BOOST_TEST(!contains(answer, "id: 2"));
    BOOST_TEST(fixture.receivedRequests() == 1U);
}

// A resumable stream breaks off within an event; another target goes on after the last whole one, within the same answer.
BOOST_AUTO_TEST_CASE(resumableStreamContinuesAtAnotherTarget)
{
    const PeerAction first{.bytes = streamResponseHead("X-Id: r1\r\nX-Seal: s1\r\n") + chunk(event(1)) + chunk("id: 2\nda"),
                           .ending = PeerEnding::Close};
    const PeerAction second{.bytes = streamResponseHead("X-Id: r1\r\nX-Seal: s2\r\n") + chunk(event(2)) + chunk(event(3)) + chunk("")};
    GatewayFixture fixture({{first}, {second}});
    const std::string answer = fixture.exchange(request("/resume/"));
    BOOST_TEST(isCompleteStream(answer));
    for (int id = 1; id <= 3; ++id) {
        const std::string piece = absl::StrCat("data: piece", id, "\n");
        BOOST_TEST(contains(answer, piece));
        BOOST_TEST(answer.find(piece) == answer.rfind(piece));
    }
    BOOST_TEST(contains(answer, "X-Seal: s1\r\n"));
    BOOST_TEST(!contains(answer, "X-Seal: s2\r\n"));
    BOOST_TEST(contains(fixture.target(1).requests().back(), "X-Resume: 1\r\n"));
}

// The caller leaves while its stream runs: the target's connection is closed, so that it stops working on an answer nobody wants.
BOOST_AUTO_TEST_CASE(disconnectedCallerStopsTarget)
{
    GatewayFixture fixture({{{.bytes = streamResponseHead("X-Id: r1\r\nX-Seal: s\r\n") + chunk(event(1)), .ending = PeerEnding::Silent}}});
    fixture.exchange(request("/stream/"), std::chrono::milliseconds(50));
    BOOST_TEST(fixture.receivedRequests() == 1U);
    BOOST_TEST(fixture.target(0).closedByCaller() == 1U);
}

// A router that is short of processor time reads requests late, some after their callers have given up. Work that nobody waits for would
// take the targets' time from those who do.
BOOST_AUTO_TEST_CASE(requestOfDisconnectedCallerIsNotForwarded)
{
    for (const char *path : {"/once/", "/again/", "/stream/"}) {
        GatewayFixture fixture({{sealedResponse()}});
        fixture.exchange(request(path), Duration::zero());
        BOOST_TEST(fixture.receivedRequests() == 0U, path);
    }
}

// Requests whose end is unclear, or which hide another one: refused, and nothing reaches a target.
BOOST_AUTO_TEST_CASE(ambiguousFramingIsRefused)
{
    const std::string head = "POST /once/1 HTTP/1.1\r\nHost: app.example\r\nX-Id: r1\r\nX-Key: key\r\n";
    const std::vector<std::string> ambiguousRequests{
        head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
        head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: gzip\r\n\r\nbody",
        head + "Content-Length: -1\r\n\r\n",
        "GARBAGE\r\n\r\n",
    };
    for (const std::string &bytes : ambiguousRequests) {
        GatewayFixture fixture({{sealedResponse()}});
        const std::string answer = fixture.exchange(bytes);
        BOOST_TEST(answer.starts_with("HTTP/1.1 400 "), bytes);
        BOOST_TEST(fixture.receivedRequests() == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
