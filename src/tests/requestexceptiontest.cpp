#include "net/httpserver.h"
#include "ownaddress.h"
#include "tests/gatewayfixture.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <stdexcept>

using namespace bamboohold;

namespace {

constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint16_t s_port = 18449;

/// A server whose handler throws where the path asks for it, and accepts heads of a megabyte.
struct ThrowingServer {
    ThrowingServer()
        : server(pool, options(), [](HttpExchange &exchange) {
            return handle(exchange);
        })
    {
        BOOST_REQUIRE(server.open().ok());
    }

    static HttpServer::Options options()
    {
        HttpServer::Options options{.address = ownAddress(), .port = s_port, .exclusive = true};
        options.limits = [] {
            return HttpLimits{.maxHeaderBytes = 1024 * 1024};
        };
        return options;
    }

    static asio::awaitable<void> handle(HttpExchange &exchange)
    {
        if (exchange.path() == "/at-once") {
            throw std::length_error("at once");
        }
        if (exchange.path() == "/midway") {
            std::vector<HttpHeader> headers;
            co_await exchange.beginStream(200, "text/plain", std::move(headers));
            co_await exchange.writeChunk("part");
            throw std::length_error("midway");
        }
        std::string body = "sound";
        co_await exchange.respond(200, "text/plain", std::move(body));
    }

    asio::awaitable<void> call(std::string bytes, std::string &answer)
    {
        asio::ip::tcp::socket socket(pool.mainLoop());
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(ownAddress()), s_port);
        co_await socket.async_connect(endpoint, s_tuple);
        co_await asio::async_write(socket, asio::buffer(bytes), s_tuple);
        co_await asio::async_read(socket, asio::dynamic_buffer(answer), s_tuple);
    }

    std::string exchange(std::string bytes)
    {
        std::string answer;
        asio::co_spawn(pool.mainLoop(), call(std::move(bytes), answer), [this](const std::exception_ptr &) {
            pool.stop();
        });
        pool.run();
        pool.mainLoop().restart();
        return answer;
    }

    WorkerPool pool{1};
    HttpServer server;
};

std::string get(const std::string &path, const std::string &headers = "")
{
    return absl::StrCat("GET ", path, " HTTP/1.1\r\nHost: router\r\nConnection: close\r\n", headers, "\r\n");
}

}

BOOST_AUTO_TEST_SUITE(RequestExceptionTest)

// Guards against an exception in one request that ends the process with all others, or that leaves its caller without an end.
BOOST_AUTO_TEST_CASE(exceptionEndsItsRequestOnly)
{
    ThrowingServer server;
    BOOST_TEST(server.exchange(get("/at-once")).starts_with("HTTP/1.1 502 "));
    const std::string cut = server.exchange(get("/midway"));
    BOOST_TEST(cut.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(!cut.ends_with("0\r\n\r\n"));
    BOOST_TEST(server.exchange(get("/")).ends_with("sound"));
}

// Guards against a field of a request that is longer than a container of fields holds, in a head or among trailers, and ends the process.
BOOST_AUTO_TEST_CASE(longFieldsOfRequestsAreRefused)
{
    ThrowingServer server;
    const std::string head = "POST / HTTP/1.1\r\nHost: router\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::size_t size : {70'000U, 200'000U}) {
        const std::string text(size, 'a');
        for (const std::string &field : {"X-Long: " + text + "\r\n", text + ": long\r\n"}) {
            BOOST_TEST(server.exchange(get("/", field)).starts_with("HTTP/1.1 431 "));
            BOOST_TEST(server.exchange(head + "4\r\nbody\r\n0\r\n" + field + "\r\n").starts_with("HTTP/1.1 431 "));
        }
    }
    BOOST_TEST(server.exchange(get("/", "X-Long: " + std::string(60'000, 'a') + "\r\n")).ends_with("sound"));
}

// Guards against a request that fails inside the router and keeps what it holds of its target and of its host.
BOOST_AUTO_TEST_CASE(exceptionInAnAttemptEndsTheRequest)
{
    for (const std::string path : {"/once/", "/again/", "/resume/"}) {
        GatewayFixture fixture(
            {{{.bytes = completeResponse(200, "X-Id: r1\r\nX-Seal: s\r\nX-Limit: none\r\n", "answer")}, sealedResponse()},
             {{.bytes = completeResponse(200, "X-Id: r1\r\nX-Seal: s\r\nX-Limit: none\r\n", "answer")}, sealedResponse()}});
        BOOST_TEST(fixture.exchange(request(path)).starts_with("HTTP/1.1 502 "));
        BOOST_TEST(fixture.receivedRequests() == 1U);
        BOOST_TEST(contains(fixture.metrics().text(), "outcome=\"target_lost\""));
    }
}

BOOST_AUTO_TEST_SUITE_END()
