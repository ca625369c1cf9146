#include "net/tcprelay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <string>

using namespace bamboohold;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);

tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::address_v4::loopback(), port};
}

/// Accepts one connection, reads four bytes, replies with four others and closes it.
asio::awaitable<void> replyOnce(tcp::acceptor &acceptor, std::string &received)
{
    auto [error, socket] = co_await acceptor.async_accept(s_tuple);
    BOOST_REQUIRE(!error);
    std::array<char, 4> bytes{};
    co_await asio::async_read(socket, asio::buffer(bytes), s_tuple);
    received.assign(bytes.data(), bytes.size());
    const std::string answer = "pong";
    co_await asio::async_write(socket, asio::buffer(answer), s_tuple);
}

/// Sends four bytes through the relay and reads everything that comes back until the connection ends.
asio::awaitable<void> sendPing(std::uint16_t port, std::string &answer, bool &closed)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    auto [error] = co_await socket.async_connect(loopback(port), s_tuple);
    BOOST_REQUIRE(!error);
    const std::string ping = "ping";
    co_await asio::async_write(socket, asio::buffer(ping), s_tuple);
    auto [readError, size] = co_await asio::async_read(socket, asio::dynamic_buffer(answer), s_tuple);
    closed = readError == asio::error::eof || readError == asio::error::connection_reset;
}

}

BOOST_AUTO_TEST_SUITE(TcpRelayTest)

BOOST_AUTO_TEST_CASE(forwardsBytesAndCloseInBothDirections)
{
    asio::io_context loop;
    tcp::acceptor store(loop, loopback(0));
    TcpRelay relay(loop.get_executor(), {.listen = loopback(0), .upstream = store.local_endpoint()});
    BOOST_REQUIRE(relay.open().ok());
    std::string received;
    std::string answer;
    bool closed = false;
    asio::co_spawn(loop, replyOnce(store, received), asio::detached);
    asio::co_spawn(loop, sendPing(relay.port(), answer, closed), asio::detached);
    while (!closed) {
        loop.run_one();
    }
    BOOST_TEST(received == "ping");
    BOOST_TEST(answer == "pong");
}

// The relay's host cannot reach the store either. The relay closes the router's connection at once, so that the router tries another relay
// instead of waiting for its own timeout.
BOOST_AUTO_TEST_CASE(callerIsDisconnectedWhenStoreIsUnreachable)
{
    asio::io_context loop;
    std::uint16_t unused = 0;
    {
        const tcp::acceptor gone(loop, loopback(0));
        unused = gone.local_endpoint().port();
    }
    TcpRelay relay(loop.get_executor(), {.listen = loopback(0), .upstream = loopback(unused)});
    BOOST_REQUIRE(relay.open().ok());
    std::string answer;
    bool closed = false;
    asio::co_spawn(loop, sendPing(relay.port(), answer, closed), asio::detached);
    while (!closed) {
        loop.run_one();
    }
    BOOST_TEST(answer.empty());
}

BOOST_AUTO_TEST_CASE(addressInUseIsAnInvalidSetting)
{
    asio::io_context loop;
    const tcp::acceptor other(loop, loopback(0));
    TcpRelay relay(loop.get_executor(), {.listen = other.local_endpoint(), .upstream = other.local_endpoint()});
    BOOST_TEST(!relay.open().ok());
}

BOOST_AUTO_TEST_SUITE_END()
