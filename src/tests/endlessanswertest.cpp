#include "gateway/answerbounds.h"
#include "net/endpoint.h"
#include "net/httpclient.h"
#include "tests/gatewayfixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace bamboohold;

namespace {

const std::string s_headers = "X-Id: r1\r\nX-Seal: s\r\n";
const std::string s_many(16 * 1024, 'a');
/// Much more than a router may read of an answer without end before it gives it up, where its bytes show that it has none.
constexpr std::uint64_t s_boundedBytes = 2 * 1024 * 1024;
/// Only a failing run takes this long: callers wait for three seconds.
constexpr Duration s_longestRun = std::chrono::seconds(8);

std::string repeat(const std::string &text, int times)
{
    std::string all;
    for (int time = 0; time < times; ++time) {
        all += text;
    }
    return all;
}

std::string eventWithId()
{
    return "id: 1\ndata: x\n\n";
}

/// What a target sends, the last part without end, and whether its bytes alone show that it has no end.
struct Endless {
    std::string what;
    std::string path;
    std::string bytes;
    std::string repeated;
    bool bounded = true;
    std::string requestHeaders = "X-Key: key\r\n";
};

std::vector<Endless> endlessAnswers()
{
    const std::string untilClose = "HTTP/1.1 200 OK\r\n" + s_headers + "\r\n";
    const std::string stream = streamResponseHead(s_headers);
    return {
        {"a head line", "/once/", "HTTP/1.1 200 OK\r\nX-A: ", s_many},
        {"header fields", "/once/", "HTTP/1.1 200 OK\r\n", repeat("X-A: b\r\n", 2000)},
        {"interim answers", "/once/", "", repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 500)},
        {"a body", "/once/", untilClose, s_many},
        {"chunks", "/once/", stream, chunk(s_many)},
        {"an answer to another request", "/once/", "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\n\r\n", s_many},
        {"answers to other requests", "/once/", "", repeat(completeResponse(200, "X-Id: other\r\nX-Seal: s\r\n", "x"), 200)},
        {"a chunk extension", "/once/", stream + "5;", s_many},
        {"a chunk extension of a stream", "/stream/", stream + "5;", s_many},
        {"chunk extensions of a stream", "/stream/", stream, repeat("1;" + std::string(4000, 'x') + "\r\n:\r\n", 4)},
        {"trailers", "/once/", stream + chunk("x") + "0\r\n", repeat("X-A: b\r\n", 2000)},
        {"trailers of a stream", "/stream/", stream + chunk(eventWithId()) + "0\r\n", repeat("X-A: b\r\n", 2000)},
        {"an event", "/stream/", stream + chunk("id: 1\ndata: "), chunk(s_many)},
        {"lines of an event", "/stream/", stream + chunk("id: 1\n"), chunk(repeat("data: x\n", 2000))},
        {"comments", "/stream/", stream, chunk(repeat(": x\n\n", 3000))},
        {"a comment line", "/stream/", stream + chunk(": "), chunk(s_many)},
        {"blank lines", "/stream/", stream, chunk(repeat("\n", 16000))},
        {"more events than tokens", "/stream/", stream, chunk(repeat(eventWithId(), 500)), true, "X-Key: key\r\nX-Prompt: 5\r\n"},
        {"a reason", "/once/", "HTTP/1.1 200 ", s_many},
        {"blank lines before the head", "/once/", "", repeat("\r\n", 8000)},
        {"a field name", "/once/", "HTTP/1.1 200 OK\r\n", s_many},
        {"lines that continue a field", "/once/", "HTTP/1.1 200 OK\r\nX-A: b\r\n", repeat(" c\r\n", 4000)},
        {"interim answers with fields",
         "/stream/",
         "",
         repeat("HTTP/1.1 103 Early Hints\r\nX-A: " + std::string(4000, 'a') + "\r\n\r\n", 4)},
        {"bytes after an answer without a body", "/once/", "HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n" + s_headers + "\r\n", s_many},
        {"zeros of a chunk's size", "/once/", stream, std::string(16 * 1024, '0')},
        {"chunks of a byte", "/once/", stream, repeat("1;" + std::string(60, 'x') + "\r\n:\r\n", 250)},
        {"a trailer", "/once/", stream + chunk("x") + "0\r\nX-A: ", s_many},
        {"a trailer of a stream", "/stream/", stream + "0\r\nX-A: ", s_many},
        {"an id", "/resume/", stream + chunk(eventWithId() + "id: "), chunk(s_many)},
        {"a length beyond all memory", "/once/", "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n" + s_headers + "\r\n", s_many},
        {"events", "/stream/", stream, chunk(repeat(eventWithId(), 500)), false},
    };
}

/// The request of another caller.
std::string soundRequest()
{
    return request("/once/");
}

}

BOOST_AUTO_TEST_SUITE(EndlessAnswerTest)

// Guards against a target that sends without end: its caller is told nothing, the host reads and keeps ever more, and other callers wait.
BOOST_AUTO_TEST_CASE(callersGetTheirEndAndOthersNoticeNothing)
{
    for (const Endless &answer : endlessAnswers()) {
        BOOST_TEST_CONTEXT(answer.what)
        {
            GatewayFixture fixture({{{.bytes = answer.bytes, .repeated = answer.repeated}, sealedResponse()}});
            bool killed = false;
            fixture.schedule(s_longestRun, [&fixture, &killed] {
                killed = true;
                fixture.kill();
            });
            const std::vector<std::string> answers =
                fixture.exchangeAll({{.request = request(answer.path, answer.requestHeaders)},
                                     {.request = soundRequest(), .at = std::chrono::milliseconds(100)}});
            BOOST_TEST(!killed);
            const bool refused = answers[0].starts_with("HTTP/1.1 50");
            const bool cut = answers[0].starts_with("HTTP/1.1 200") && !answers[0].ends_with("\r\n0\r\n\r\n");
            BOOST_TEST((answer.path == "/once/" ? refused : refused || cut), answers[0].substr(0, 200));
            BOOST_TEST(answers[1].starts_with("HTTP/1.1 200"), answers[1].substr(0, 200));
            BOOST_TEST(fixture.gateway().traffic()->held == 0);
            // The event loop stops with the last answer, which may be before the target has learned of the close.
            fixture.exchangeAll({{.request = request("/nowhere/"), .at = std::chrono::milliseconds(20)}});
            BOOST_TEST(fixture.target(0).closedByCaller() >= 1U);
            if (answer.bounded) {
                BOOST_TEST(fixture.gateway().traffic()->received <= s_boundedBytes);
            }
        }
    }
}

// Guards against the same in what a relay or the store answers, where nobody watches the bytes of a body.
BOOST_AUTO_TEST_CASE(wholeAnswersAreBounded)
{
    const std::string stream = streamResponseHead("");
    for (const Endless &answer : std::vector<Endless>{
             {"a head line", "", "HTTP/1.1 200 OK\r\nX-A: ", s_many},
             {"interim answers", "", "", repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 500)},
             {"a body", "", "HTTP/1.1 200 OK\r\n\r\n", s_many},
             {"chunks", "", stream, chunk(s_many)},
             {"a chunk extension", "", stream + "5;", s_many},
             {"chunk extensions", "", stream, repeat("1;" + std::string(4000, 'x') + "\r\n:\r\n", 4)},
             {"trailers", "", stream + chunk("x") + "0\r\n", repeat("X-A: b\r\n", 2000)},
         }) {
        BOOST_TEST_CONTEXT(answer.what)
        {
            WorkerPool pool(1);
            ScriptedPeer peer(pool, {{.bytes = answer.bytes, .repeated = answer.repeated}});
            const auto traffic = std::make_shared<Traffic>();
            HttpClient client(pool.mainLoop().get_executor(), *endpointFrom(peer.address()), traffic);
            HttpCallOptions options{.timeout = std::chrono::seconds(1), .replyTimeout = std::chrono::seconds(2)};
            std::optional<absl::StatusOr<HttpReply>> reply;
            asio::co_spawn(
                pool.mainLoop(), client.call(std::move(options)), [&](const std::exception_ptr &, absl::StatusOr<HttpReply> got) {
                    reply = std::move(got);
                    pool.stop();
                });
            pool.mainLoop().run_for(s_longestRun);
            BOOST_REQUIRE(reply.has_value());
            BOOST_TEST(!reply->ok());
            constexpr std::uint64_t mostBytes = 20 * 1024 * 1024;
            BOOST_TEST(traffic->received <= mostBytes);
        }
    }
}

// Guards against an interim answer of the store that is taken for the final one, so that the final one answers the next call.
BOOST_AUTO_TEST_CASE(interimAnswersAreSkipped)
{
    WorkerPool pool(1);
    ScriptedPeer peer(pool,
                      {{.bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + completeResponse(200, "", "final")}});
    HttpClient client(pool.mainLoop().get_executor(), *endpointFrom(peer.address()));
    std::optional<absl::StatusOr<HttpReply>> reply;
    asio::co_spawn(pool.mainLoop(), client.call({}), [&](const std::exception_ptr &, absl::StatusOr<HttpReply> got) {
        reply = std::move(got);
        pool.stop();
    });
    pool.mainLoop().run_for(s_longestRun);
    BOOST_REQUIRE((reply.has_value() && reply->ok()));
    BOOST_TEST((*reply)->status == 200U);
    BOOST_TEST((*reply)->body == "final");
}

BOOST_AUTO_TEST_SUITE_END()
