#include "tests/scriptedpeer.h"

#include "net/pause.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace bamboohold {

namespace {

namespace asio = boost::asio;

constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view s_lengthHeader = "Content-Length: ";

/// Length in bytes of the head of the first request; 0 while it is incomplete.
std::size_t headSize(const std::string &bytes)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    return end == std::string::npos ? 0 : end + 4;
}

/// Length in bytes of the first complete request; 0 while it is incomplete.
std::size_t requestSize(const std::string &bytes)
{
    const std::size_t headEnd = bytes.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        return 0;
    }
    std::size_t body = 0;
    const std::size_t at = bytes.find(s_lengthHeader);
    if (at != std::string::npos && at < headEnd) {
        const std::size_t begin = at + s_lengthHeader.size();
        (void)absl::SimpleAtoi(bytes.substr(begin, bytes.find("\r\n", begin) - begin), &body);
    }
    const std::size_t size = headEnd + 4 + body;
    return bytes.size() >= size ? size : 0;
}

}

ScriptedPeer::ScriptedPeer(WorkerPool &pool, std::vector<PeerAction> script)
    : m_acceptor(pool.mainLoop(), asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , m_address(absl::StrCat("127.0.0.1:", m_acceptor.local_endpoint().port()))
    , m_script(std::move(script))
{
    asio::co_spawn(pool.mainLoop(), accept(), asio::detached);
}

std::string ScriptedPeer::address() const
{
    return m_address;
}

void ScriptedPeer::crash(Duration lingering)
{
    m_crashed = true;
    if (lingering == Duration::zero()) {
        m_acceptor.close();
    } else {
        const auto timer = std::make_shared<asio::steady_timer>(m_acceptor.get_executor(), lingering);
        timer->async_wait([this, timer](const boost::system::error_code &error) {
            if (!error) {
                m_acceptor.close();
            }
        });
    }
    for (asio::ip::tcp::socket *socket : *m_sockets) {
        socket->close();
    }
}

asio::awaitable<void> ScriptedPeer::accept()
{
    while (true) {
        auto [error, socket] = co_await m_acceptor.async_accept(s_tuple);
        if (error) {
            co_return;
        }
        ++m_connections;
        asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
    }
}

const PeerAction &ScriptedPeer::nextAction() const
{
    return m_script.at(std::min(m_requests.size(), m_script.size() - 1));
}

asio::awaitable<void> ScriptedPeer::serve(asio::ip::tcp::socket socket)
{
    std::string bytes;
    std::array<char, 4096> buffer{};
    m_sockets->insert(&socket);
    const absl::Cleanup leave = [sockets = m_sockets, &socket] {
        sockets->erase(&socket);
    };
    while (true) {
        while ((nextAction().early ? headSize(bytes) : requestSize(bytes)) == 0) {
            const auto [error, size] = co_await socket.async_read_some(asio::buffer(buffer), s_tuple);
            if (error) {
                ++m_closedByCaller;
                co_return;
            }
            bytes.append(buffer.data(), size);
        }
        const PeerAction action = nextAction();
        const std::size_t size = action.early ? headSize(bytes) : requestSize(bytes);
        const std::size_t number = m_requests.size();
        m_requests.push_back(bytes.substr(0, size));
        if (!action.early) {
            bytes.erase(0, size);
        }
        if (!m_crashText.empty() && m_requests.back().find(m_crashText) != std::string::npos) {
            crash(m_lingering);
            co_return;
        }
        co_await asio::async_write(socket, asio::buffer(action.bytes), s_tuple);
        if (!action.afterPause.empty()) {
            co_await bamboohold::pause(action.pause);
            co_await asio::async_write(socket, asio::buffer(action.afterPause), s_tuple);
        }
        while (!action.repeated.empty()) {
            if (action.repeatInterval > Duration::zero()) {
                co_await bamboohold::pause(action.repeatInterval);
            }
            const auto [error, size] = co_await asio::async_write(socket, asio::buffer(action.repeated), s_tuple);
            if (error) {
                ++m_closedByCaller;
                co_return;
            }
        }
        if (action.ending == PeerEnding::Close) {
            co_return;
        }
        if (action.ending == PeerEnding::Reset) {
            socket.set_option(asio::socket_base::linger(true, 0));
            socket.close();
            co_return;
        }
        if (action.ending == PeerEnding::Finish) {
            socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        }
        while (action.early && requestSize(bytes) == 0) {
            const auto [error, received] = co_await socket.async_read_some(asio::buffer(buffer), s_tuple);
            if (error) {
                ++m_closedByCaller;
                co_return;
            }
            bytes.append(buffer.data(), received);
        }
        if (action.early) {
            m_requests[number] = bytes.substr(0, requestSize(bytes));
            bytes.erase(0, m_requests[number].size());
        }
    }
}

std::string completeResponse(unsigned status, const std::string &headers, const std::string &body)
{
    return absl::StrCat("HTTP/1.1 ", status, " X\r\n", headers, "Content-Length: ", body.size(), "\r\n\r\n", body);
}

std::string streamResponseHead(const std::string &headers)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", headers, "Transfer-Encoding: chunked\r\n\r\n");
}

std::string chunk(const std::string &data)
{
    return absl::StrCat(absl::Hex(data.size()), "\r\n", data, "\r\n");
}

}
