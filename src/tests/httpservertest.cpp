#include "net/httpserver.h"
#include "ownaddress.h"

#include "net/workerpool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace bamboohold;

namespace {

constexpr std::string_view s_firstRequest = "GET / HTTP/1.1\r\nHost: router\r\n\r\n";
constexpr std::string_view s_request = "GET / HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n";

asio::awaitable<void> respondEmpty(HttpExchange &exchange)
{
    std::string body;
    co_await exchange.respond(200, "text/plain", std::move(body));
}

/// Ends the caller's side of the connection and returns what the server has sent on it. The server may have reset it already.
std::string receivedAfterShutdown(asio::ip::tcp::socket &connection, WorkerPool &pool)
{
    std::string answer;
    boost::system::error_code error;
    connection.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    pool.mainLoop().poll();
    asio::read(connection, asio::dynamic_buffer(answer), error);
    return answer;
}

}

BOOST_AUTO_TEST_SUITE(HttpServerTest)

// Guards against a client that ends an empty body in chunks byte by byte, and the process with it.
BOOST_AUTO_TEST_CASE(lastChunkMayArriveInParts)
{
    constexpr std::uint16_t port = 18450;
    WorkerPool pool(1);
    HttpServer server(pool, {.address = ownAddress(), .port = port, .exclusive = true}, respondEmpty);
    BOOST_REQUIRE(server.open().ok());
    asio::io_context callers;
    asio::ip::tcp::socket connection(callers);
    connection.connect({asio::ip::make_address(ownAddress()), port});
    connection.set_option(asio::ip::tcp::no_delay(true));
    const std::string head = "POST / HTTP/1.1\r\nHost: router\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &part : {head, std::string("0\r\n"), std::string("\r"), std::string("\n")}) {
        asio::write(connection, asio::buffer(part));
        pool.mainLoop().run_for(std::chrono::milliseconds(20));
    }
    BOOST_TEST(receivedAfterShutdown(connection, pool).starts_with("HTTP/1.1 200 "));
}

// Guards against accepting one connection per turn of the loop. On a host with little processor time a turn takes tens of milliseconds, so
// connections that were opened together waited in the kernel's backlog for seconds and their callers disconnected before a request was
// read.
BOOST_AUTO_TEST_CASE(pendingConnectionsAreAcceptedInBatches)
{
    constexpr std::uint16_t s_port = 18447;
    constexpr std::size_t s_callers = 50;
    // Far fewer turns of the loop than connections.
    constexpr std::size_t s_turns = 10;
    WorkerPool pool(1);
    HttpServer server(pool, {.address = ownAddress(), .port = s_port, .exclusive = true}, respondEmpty);
    BOOST_REQUIRE(server.open().ok());
    asio::io_context callers;
    std::vector<asio::ip::tcp::socket> connections;
    for (std::size_t caller = 0; caller < s_callers; ++caller) {
        connections.emplace_back(callers);
        connections.back().connect({asio::ip::make_address(ownAddress()), s_port});
    }
    for (std::size_t turn = 0; turn < s_turns; ++turn) {
        pool.mainLoop().poll_one();
    }
    BOOST_TEST(server.connections() == s_callers);
    connections.clear();
    server.close();
    pool.mainLoop().poll();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HttpServerCloseTest)

// Guards against requests that are reset in the kernel's backlog because the server stops listening before it has accepted them.
BOOST_AUTO_TEST_CASE(connectionsThatWaitWhenTheServerClosesAreServed)
{
    constexpr std::uint16_t s_port = 18448;
    constexpr std::size_t s_callers = 100;
    WorkerPool pool(1);
    HttpServer server(pool, {.address = ownAddress(), .port = s_port, .exclusive = true}, respondEmpty);
    BOOST_REQUIRE(server.open().ok());
    asio::io_context callers;
    std::vector<asio::ip::tcp::socket> connections;
    for (std::size_t caller = 0; caller < s_callers; ++caller) {
        connections.emplace_back(callers);
        connections.back().connect({asio::ip::make_address(ownAddress()), s_port});
        asio::write(connections.back(), asio::buffer(s_request));
    }
    server.close();
    pool.mainLoop().poll();
    for (asio::ip::tcp::socket &connection : connections) {
        BOOST_TEST(receivedAfterShutdown(connection, pool).starts_with("HTTP/1.1 200 "));
    }
}

// Guards against a request that has arrived on an idle connection and is lost because the connection is closed as idle.
BOOST_AUTO_TEST_CASE(requestThatArrivesAsIdleConnectionsCloseIsServed)
{
    constexpr std::uint16_t s_port = 18449;
    // The loop may be anywhere between the arrival of the bytes and the start of the handler.
    constexpr int s_turns = 6;
    for (int turns = 0; turns < s_turns; ++turns) {
        WorkerPool pool(1);
        HttpServer server(pool, {.address = ownAddress(), .port = s_port, .exclusive = true}, respondEmpty);
        BOOST_REQUIRE(server.open().ok());
        asio::io_context callers;
        asio::ip::tcp::socket connection(callers);
        connection.connect({asio::ip::make_address(ownAddress()), s_port});
        asio::write(connection, asio::buffer(s_firstRequest));
        pool.mainLoop().poll();
        std::string firstAnswer;
        asio::read_until(connection, asio::dynamic_buffer(firstAnswer), "\r\n\r\n");
        asio::write(connection, asio::buffer(s_request));
        for (int turn = 0; turn < turns; ++turn) {
            pool.mainLoop().poll_one();
        }
        server.closeIdleConnections();
        pool.mainLoop().poll();
        BOOST_TEST(receivedAfterShutdown(connection, pool).starts_with("HTTP/1.1 200 "));
        server.close();
        pool.mainLoop().poll();
    }
}

BOOST_AUTO_TEST_SUITE_END()
