#include "clock/steadytime.h"
#include "tests/gatewayfixture.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

const std::string s_headers = "X-Id: r1\r\nX-Seal: s\r\n";

std::string event(int id)
{
    return absl::StrCat("id: ", id, "\ndata: piece", id, "\n\n");
}

/// A successful answer without a length and without chunks.
PeerAction untilClose(const std::string &body, PeerEnding ending = PeerEnding::Close)
{
    return {.bytes = absl::StrCat("HTTP/1.1 200 OK\r\n", s_headers, "\r\n", body), .ending = ending};
}

/// The same body by each of the framings that say that it is complete.
std::vector<PeerAction> framedAsComplete(const std::string &body)
{
    return {untilClose(body),
            {.bytes = completeResponse(200, s_headers, body)},
            {.bytes = streamResponseHead(s_headers) + chunk(body) + chunk("")}};
}

bool isCompleteStream(const std::string &answer)
{
    return answer.ends_with("0\r\n\r\n");
}

std::size_t occurrences(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

const std::vector<std::string> s_incompleteEvents{
    "id: 2\ndata: pie", "id: 2", "id: 2\ndata: piece2\n", "data: piece2\r\n", ": note\nid: 2\n"};

}

BOOST_AUTO_TEST_SUITE(AnswersBrokenOffTest)

// Guards against a stream that a crash broke off inside an event, and that reached its caller as complete.
BOOST_AUTO_TEST_CASE(streamThatEndsInsideAnEventIsNotComplete)
{
    for (const std::string &incomplete : s_incompleteEvents) {
        for (const PeerAction &action : framedAsComplete(event(1) + incomplete)) {
            GatewayFixture fixture({{action}});
            const std::string answer = fixture.exchange(request("/stream/"));
            BOOST_TEST(contains(answer, "piece1"));
            BOOST_TEST(!isCompleteStream(answer), action.bytes);
            BOOST_TEST(!contains(answer, "id: 2"));
            BOOST_TEST(!contains(answer, "piece2"));
            BOOST_TEST(contains(fixture.metrics().text(), "outcome=\"stream_cut\""));
        }
    }
}

// Guards against a crash before the first event that is taken for an answer without events.
BOOST_AUTO_TEST_CASE(streamThatClosesBeforeItsFirstEventIsNotComplete)
{
    for (const std::string body : {"", "id: 1", "id: 1\ndata: x\n"}) {
        BOOST_TEST(GatewayFixture({{untilClose(body)}}).exchange(request("/stream/")).starts_with("HTTP/1.1 502 "), body);
        const std::string answer = GatewayFixture({{untilClose(body)}, {untilClose(event(1) + event(2))}}).exchange(request("/resume/"));
        BOOST_TEST(isCompleteStream(answer));
        BOOST_TEST(occurrences(answer, "data: piece1\n") == 1U);
    }
}

// Guards against a broken-off stream that is not continued although its route may be resumed.
BOOST_AUTO_TEST_CASE(resumableStreamThatEndsInsideAnEventGoesOnElsewhere)
{
    for (const std::string &incomplete : s_incompleteEvents) {
        for (const PeerAction &action : framedAsComplete(event(1) + incomplete)) {
            GatewayFixture fixture({{action}, {untilClose(event(2) + event(3))}});
            const std::string answer = fixture.exchange(request("/resume/"));
            BOOST_TEST(isCompleteStream(answer), action.bytes);
            for (const char *piece : {"data: piece1\n", "data: piece2\n", "data: piece3\n"}) {
                BOOST_TEST(occurrences(answer, piece) == 1U);
            }
            BOOST_REQUIRE(fixture.target(1).requests().size() == 1U);
            BOOST_TEST(contains(fixture.target(1).requests().front(), "X-Resume: 1\r\n"));
        }
    }
}

BOOST_AUTO_TEST_CASE(streamThatEndsBetweenEventsIsComplete)
{
    const std::vector<std::string> endings{"", ": the end\n", "\n", "\r\n"};
    for (const std::string &ending : endings) {
        for (const PeerAction &action : framedAsComplete(event(1) + event(2) + ending)) {
            GatewayFixture fixture({{action}});
            const std::string answer = fixture.exchange(request("/stream/"));
            BOOST_TEST(isCompleteStream(answer), action.bytes);
            BOOST_TEST(contains(answer, "piece2"));
            BOOST_TEST(contains(answer, ending));
        }
    }
}

// A caller that has all events of the stream that it resumes gets none.
BOOST_AUTO_TEST_CASE(resumedStreamMayBeEmpty)
{
    GatewayFixture fixture({{untilClose("")}});
    BOOST_TEST(isCompleteStream(fixture.exchange(request("/resume/", "X-Key: key\r\nX-Last: 9\r\n"))));
}

// Guards against a reset or a silence that is taken for the end of an answer that ends with its connection.
BOOST_AUTO_TEST_CASE(resetAndSilenceDoNotEndAnAnswer)
{
    for (const PeerEnding ending : {PeerEnding::Reset, PeerEnding::Silent}) {
        for (const std::string &body : {event(1), event(1) + "id: 2"}) {
            BOOST_TEST(!isCompleteStream(GatewayFixture({{untilClose(body, ending)}}).exchange(request("/stream/"))));
        }
        BOOST_TEST(!GatewayFixture({{untilClose("answer", ending)}}).exchange(request("/once/")).starts_with("HTTP/1.1 200 "));
    }
    BOOST_TEST(GatewayFixture({{untilClose("answer")}}).exchange(request("/once/")).ends_with("\r\n\r\nanswer"));
}

// Guards against a refusal whose body was broken off, and that is then taken for a request that may have run.
BOOST_AUTO_TEST_CASE(brokenRefusalRemainsARefusal)
{
    for (const PeerEnding ending : {PeerEnding::Close, PeerEnding::Reset}) {
        const PeerAction refusal{.bytes = "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 60\r\n\r\nfu", .ending = ending};
        GatewayFixture fixture({{refusal}, {sealedResponse()}});
        BOOST_TEST(fixture.exchange(request("/once/")).starts_with("HTTP/1.1 200 "));
    }
}

// Guards against an answer to another request that is broken off, and whose rest is taken for the awaited answer.
BOOST_AUTO_TEST_CASE(brokenForeignAnswerIsNotFollowedByAnAnswer)
{
    for (const PeerEnding ending : {PeerEnding::Close, PeerEnding::Reset}) {
        for (const std::string head : {"Content-Length: 900\r\n", ""}) {
            const std::string foreign = absl::StrCat("HTTP/1.1 200 OK\r\nX-Id: r0\r\nX-Seal: s0\r\n", head, "\r\nnot yours");
            GatewayFixture fixture({{{.bytes = foreign + sealedResponse().bytes, .ending = ending}}});
            const std::string answer = fixture.exchange(request("/once/"));
            BOOST_TEST(answer.starts_with("HTTP/1.1 502 "), answer);
        }
    }
}

// Guards against an event whose id no request can hold, and that ends the router when the stream goes on elsewhere.
BOOST_AUTO_TEST_CASE(streamIsCutAfterAnIdThatCannotBeSentOn)
{
    for (const std::string &id : {std::string(70'000, '4'), std::string(5'000, '4'), std::string("4\x01"), std::string()}) {
        const std::string events = event(1) + "id: " + id + "\ndata: piece2\n\n";
        {
            GatewayFixture fixture({{untilClose(events, PeerEnding::Reset)}, {untilClose(event(3))}});
            const std::string answer = fixture.exchange(request("/resume/"));
            BOOST_TEST(contains(answer, events.substr(events.size() - 16)));
            BOOST_TEST(!isCompleteStream(answer));
            BOOST_TEST(fixture.receivedRequests() == 1U);
        }
        GatewayFixture later({{untilClose(events + event(3), PeerEnding::Reset)}, {untilClose(event(4))}});
        BOOST_TEST(isCompleteStream(later.exchange(request("/resume/"))));
        BOOST_TEST(contains(later.target(1).requests().front(), "X-Resume: 3\r\n"));
    }
}

// Guards against a field among the trailers of an answer that ends the router by its size, or that reaches the caller as a field of the
// head.
BOOST_AUTO_TEST_CASE(trailersAreDropped)
{
    constexpr std::size_t mostFraming = 60'000;
    for (const std::size_t size : {std::size_t(1), std::size_t(1000), mostFraming, std::size_t(70'000), std::size_t(120'000)}) {
        const std::string trailer = absl::StrCat("X-Trailer: ", std::string(size, 't'), "\r\n");
        for (const std::string path : {"/once/", "/stream/"}) {
            for (const std::string &body : {event(1), std::string()}) {
                const std::string chunks = body.empty() ? body : chunk(body);
                GatewayFixture fixture({{{.bytes = streamResponseHead(s_headers) + chunks + "0\r\n" + trailer + "\r\n"}}});
                const std::string answer = fixture.exchange(request(path));
                BOOST_TEST(answer.starts_with(size <= mostFraming ? "HTTP/1.1 200 " : "HTTP/1.1 "));
                BOOST_TEST((contains(answer, body) || size > mostFraming));
                BOOST_TEST(!contains(answer, "X-Trailer"));
            }
        }
    }
}

// Guards against an empty body in chunks whose end arrives in parts and ends the router.
BOOST_AUTO_TEST_CASE(lastChunkMayArriveInParts)
{
    for (const std::string path : {"/once/", "/stream/", "/resume/"}) {
        const PeerAction parts{.bytes = streamResponseHead(s_headers) + "0\r\n",
                               .ending = PeerEnding::Close,
                               .pause = std::chrono::milliseconds(20),
                               .afterPause = "\r"};
        BOOST_TEST(GatewayFixture({{parts}}).exchange(request(path)).starts_with("HTTP/1.1 502 "));
    }
}

// Guards against a target that breaks off its streams and keeps getting them because each counts as a success.
BOOST_AUTO_TEST_CASE(brokenStreamsCountAgainstTheirTarget)
{
    GatewayFixture fixture({{untilClose(event(1) + "id: 2\n")}});
    for (int sent = 0; sent < 3; ++sent) {
        fixture.exchange(request("/stream/"));
    }
    BOOST_TEST(fixture.gateway().board().inBackoff("target-1", steadyNow()));
}

// Guards against a request that crashes its targets inside an event, and that the quarantine does not learn of.
BOOST_AUTO_TEST_CASE(quarantineLearnsOfABrokenStream)
{
    GatewayFixture fixture({{untilClose(event(1) + "id: 2\n")}});
    unsigned announced = 0;
    fixture.gateway().guard().setAnnouncers(
        [&announced](const CrashReport &) {
            ++announced;
        },
        [](const QuarantineChange &) {});
    // The second call keeps the event loop running while the target is probed.
    fixture.exchangeAll({{.request = request("/stream/")}, {.request = request("/nowhere/"), .at = std::chrono::milliseconds(50)}});
    BOOST_TEST(announced >= 1U);
}

BOOST_AUTO_TEST_SUITE_END()
