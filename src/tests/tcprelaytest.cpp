#include "net/tcprelay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <optional>
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

/// How the upstream ends an answer that it has sent in part.
enum class Ending {
    Close,
    Reset,
    Silence,
};

/// Accepts one connection, sends a part of an answer and ends it in this way.
asio::awaitable<void> replyInPart(tcp::acceptor &acceptor, Ending ending)
{
    auto [error, socket] = co_await acceptor.async_accept(s_tuple);
    BOOST_REQUIRE(!error);
    co_await asio::async_write(socket, asio::buffer(std::string("po")), s_tuple);
    std::array<char, 8> bytes{};
    co_await socket.async_read_some(asio::buffer(bytes), s_tuple);
    if (ending == Ending::Silence) {
        co_await socket.async_read_some(asio::buffer(bytes), s_tuple);
    }
    socket.set_option(asio::socket_base::linger(ending == Ending::Reset, 0));
    socket.close();
}

/// Sends four bytes once a part of the answer has arrived, and waits for the end of the connection.
asio::awaitable<void> readToTheEnd(std::uint16_t port, std::optional<boost::system::error_code> &end)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(loopback(port), s_tuple);
    std::array<char, 2> bytes{};
    co_await asio::async_read(socket, asio::buffer(bytes), s_tuple);
    co_await asio::async_write(socket, asio::buffer(std::string("ping")), s_tuple);
    const auto [error, size] = co_await asio::async_read(socket, asio::buffer(bytes), s_tuple);
    end = error;
}

/// Tells when a part of the answer has arrived, and waits for the end of the connection.
asio::awaitable<void> readUntilStop(std::uint16_t port, bool &arrived, std::optional<boost::system::error_code> &end)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(loopback(port), s_tuple);
    std::array<char, 2> bytes{};
    co_await asio::async_read(socket, asio::buffer(bytes), s_tuple);
    arrived = true;
    const auto [error, size] = co_await asio::async_read(socket, asio::buffer(bytes), s_tuple);
    end = error;
}

/// The bytes that a connection takes whose other end reads nothing.
std::size_t heldByTheKernel(tcp::acceptor &acceptor)
{
    tcp::socket socket(acceptor.get_executor());
    socket.connect(acceptor.local_endpoint());
    const tcp::socket accepted = acceptor.accept();
    socket.non_blocking(true);
    const std::string chunk(8192, 'u');
    std::size_t held = 0;
    boost::system::error_code error;
    while (!error) {
        held += socket.write_some(asio::buffer(chunk), error);
    }
    return held;
}

/// Accepts one connection, sends a part of an answer while a long request is being written, of which it reads nothing, and resets it.
asio::awaitable<void> replyBeforeTheRequest(tcp::acceptor &acceptor)
{
    auto [error, socket] = co_await acceptor.async_accept(s_tuple);
    BOOST_REQUIRE(!error);
    asio::steady_timer timer(acceptor.get_executor(), std::chrono::milliseconds(20));
    co_await timer.async_wait(s_tuple);
    co_await asio::async_write(socket, asio::buffer(std::string("po")), s_tuple);
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
}

/// Sends a request of this length, and reads to the end of the connection.
asio::awaitable<void> sendLongRequest(std::uint16_t port, std::size_t bytes, std::optional<boost::system::error_code> &end)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(loopback(port), s_tuple);
    const std::string request(bytes, 'u');
    const auto [writeError, written] = co_await asio::async_write(socket, asio::buffer(request), s_tuple);
    std::string answer;
    const auto [readError, size] = co_await asio::async_read(socket, asio::dynamic_buffer(answer), s_tuple);
    end = writeError ? writeError : readError;
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

// Guards against an answer without a length that was reset or fell silent, and that the relay closes in order, as if it were complete.
BOOST_AUTO_TEST_CASE(brokenAnswersAreNotClosedInOrder)
{
    for (const Ending ending : {Ending::Close, Ending::Reset, Ending::Silence}) {
        asio::io_context loop;
        tcp::acceptor store(loop, loopback(0));
        TcpRelay relay(loop.get_executor(),
                       {.listen = loopback(0), .upstream = store.local_endpoint(), .idleTimeout = std::chrono::milliseconds(100)});
        BOOST_REQUIRE(relay.open().ok());
        std::optional<boost::system::error_code> end;
        asio::co_spawn(loop, replyInPart(store, ending), asio::detached);
        asio::co_spawn(loop, readToTheEnd(relay.port(), end), asio::detached);
        while (!end) {
            loop.run_one();
        }
        BOOST_TEST((*end == asio::error::eof) == (ending == Ending::Close));
    }
}

// Guards against the reset of an answer without a length that only the forwarding of its request has seen, so that the relay closes the
// answer in order. It resets by itself where it has not read the whole request, so the requests here end where the kernel takes no more.
BOOST_AUTO_TEST_CASE(resetDuringTheRequestIsNotClosedInOrder)
{
    asio::io_context measuring;
    tcp::acceptor unread(measuring, loopback(0));
    const std::size_t held = heldByTheKernel(unread);
    for (std::size_t more = 0; more < 40; ++more) {
        asio::io_context loop;
        tcp::acceptor store(loop, loopback(0));
        TcpRelay relay(loop.get_executor(), {.listen = loopback(0), .upstream = store.local_endpoint()});
        BOOST_REQUIRE(relay.open().ok());
        std::optional<boost::system::error_code> end;
        asio::co_spawn(loop, replyBeforeTheRequest(store), asio::detached);
        asio::co_spawn(loop, sendLongRequest(relay.port(), held - 80'000 + 4096 * more, end), asio::detached);
        while (!end) {
            loop.run_one();
        }
        BOOST_TEST((*end != asio::error::eof), more);
    }
}

// Guards against an answer without a length that looks complete because the relay stops in the middle of it.
BOOST_AUTO_TEST_CASE(stoppingRelayDoesNotCloseAnswersInOrder)
{
    asio::io_context ends;
    tcp::acceptor store(ends, loopback(0));
    std::optional<boost::system::error_code> end;
    {
        asio::io_context loop;
        TcpRelay relay(loop.get_executor(), {.listen = loopback(0), .upstream = store.local_endpoint()});
        BOOST_REQUIRE(relay.open().ok());
        bool arrived = false;
        asio::co_spawn(ends, replyInPart(store, Ending::Silence), asio::detached);
        asio::co_spawn(ends, readUntilStop(relay.port(), arrived, end), asio::detached);
        while (!arrived) {
            loop.poll_one();
            ends.poll_one();
        }
    }
    while (!end) {
        ends.run_one();
    }
    BOOST_TEST((*end != asio::error::eof));
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
