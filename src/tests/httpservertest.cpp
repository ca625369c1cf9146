#include "net/httpserver.h"
#include "ownaddress.h"

#include "net/workerpool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(HttpServerTest)

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
    HttpServer server(
        pool, {.address = ownAddress(), .port = s_port, .exclusive = true}, [](HttpExchange &exchange) -> asio::awaitable<void> {
            std::string body;
            co_await exchange.respond(200, "text/plain", std::move(body));
        });
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
