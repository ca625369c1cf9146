#include "net/httpserver.h"
#include "ownaddress.h"
#include "tests/gatewayfixture.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace bamboohold;

namespace {

constexpr std::uint16_t s_port = 18457;
/// Only a failing run takes this long.
constexpr Duration s_longestWait = std::chrono::seconds(3);

asio::awaitable<void> respondEmpty(HttpExchange &exchange)
{
    std::string body;
    co_await exchange.respond(200, "text/plain", std::move(body));
}

/// A gateway whose host has been overloaded until it refuses as many requests as it may.
struct OverloadedGateway : GatewayFixture {
    OverloadedGateway()
        : GatewayFixture({{sealedResponse()}})
    {
        for (int count = 0; count < 40; ++count) {
            gateway().recordHostDelay(std::chrono::seconds(1));
        }
    }
};

/// A request of which only the head and a part of the body are sent.
std::string unfinishedRequest()
{
    return "POST /once/1 HTTP/1.1\r\nHost: app.example\r\nX-Id: r1\r\nX-Key: key\r\nContent-Length: 100000\r\n\r\nbody";
}

boost::system::error_code connectError(asio::io_context &callers)
{
    asio::ip::tcp::socket socket(callers);
    boost::system::error_code error;
    socket.connect({asio::ip::make_address(ownAddress()), s_port}, error);
    return error;
}

}

BOOST_AUTO_TEST_SUITE(HostRefusalTest)

// Guards against a host without time or room that reads whole requests before it refuses them.
BOOST_AUTO_TEST_CASE(anOverloadedHostRefusesBeforeItHasReadTheBody)
{
    OverloadedGateway fixture;
    std::string answer;
    fixture.schedule(s_longestWait, [&fixture] {
        fixture.kill();
    });
    answer = fixture.exchange(unfinishedRequest());
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "), answer);
}

// Guards against refused callers that stay: on an open connection their next request reaches the same host.
BOOST_AUTO_TEST_CASE(aRefusedCallerLosesItsConnection)
{
    OverloadedGateway fixture;
    fixture.schedule(s_longestWait, [&fixture] {
        fixture.kill();
    });
    const std::string answer =
        fixture.exchange("POST /once/1 HTTP/1.1\r\nHost: app.example\r\nX-Id: r1\r\nX-Key: key\r\nContent-Length: 4\r\n\r\nbody");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "), answer);
    BOOST_TEST(contains(answer, "Connection: close\r\n"), answer);
}

// Guards against a request that is refused for another reason and costs its caller the connection.
BOOST_AUTO_TEST_CASE(aRequestWithoutARouteKeepsItsConnection)
{
    GatewayFixture fixture({{sealedResponse()}});
    const std::string answer = fixture.exchange(
        "POST /none/1 HTTP/1.1\r\nHost: app.example\r\nX-Id: r1\r\nX-Key: key\r\nContent-Length: 4\r\n\r\nbody" + request("/none/"));
    BOOST_TEST(!contains(answer.substr(0, answer.size() / 2), "Connection: close\r\n"), answer);
    BOOST_TEST(contains(answer.substr(1), "HTTP/1.1 404 "), answer);
}

// Guards against a host that accepts more connections than it may, or none ever again, and against a stopping one that accepts again.
BOOST_AUTO_TEST_CASE(connectionsBeyondTheLimitAreRefused)
{
    WorkerPool pool(1);
    HttpServer server(pool, {.address = ownAddress(), .port = s_port, .exclusive = true}, respondEmpty);
    BOOST_REQUIRE(server.open().ok());
    asio::io_context callers;
    server.limitConnections(2);
    pool.mainLoop().poll();
    BOOST_TEST(!connectError(callers));
    pool.mainLoop().poll();
    BOOST_TEST(!connectError(callers));
    pool.mainLoop().poll();
    BOOST_TEST(server.accepted() == 2U);
    BOOST_TEST(connectError(callers) == asio::error::connection_refused);
    BOOST_TEST(server.listening());
    server.limitConnections(std::nullopt);
    pool.mainLoop().poll();
    for (int connection = 0; connection < 3; ++connection) {
        BOOST_TEST(!connectError(callers));
    }
    server.limitConnections(0);
    pool.mainLoop().poll();
    BOOST_TEST(connectError(callers) == asio::error::connection_refused);
    server.close();
    pool.mainLoop().poll();
    BOOST_TEST(!server.listening());
    server.limitConnections(std::nullopt);
    pool.mainLoop().poll();
    BOOST_TEST(connectError(callers) == asio::error::connection_refused);
}

BOOST_AUTO_TEST_SUITE_END()
