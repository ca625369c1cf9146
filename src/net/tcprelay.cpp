#include "net/tcprelay.h"

#include "clock/steadytime.h"
#include "failure/failure.h"
#include "net/pause.h"
#include "net/sendstate.h"
#include "operations/log.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace bamboohold {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);
/// Buffer size per direction. Calls to the store and their answers are a few hundred bytes; larger ones are forwarded in several parts.
constexpr std::size_t s_chunkBytes = 8192;
/// Pause after a failed accept. The most likely cause is a lack of file descriptors, and the pause gives open connections time to end.
constexpr Duration s_acceptPause = std::chrono::milliseconds(100);
constexpr Duration s_refusalLogInterval = std::chrono::seconds(1);
/// Descriptors for files, and those for listening.
constexpr double s_ownDescriptors = 232;
/// The most bytes that the kernel holds for a connection while they are not forwarded.
constexpr int s_kernelBufferBytes = 64 * 1024;

}

struct TcpRelay::Session {
    explicit Session(tcp::socket accepted)
        : caller(std::move(accepted))
        , upstream(caller.get_executor())
        , timer(caller.get_executor())
    {
    }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    /// The relay stops.
    ~Session()
    {
        closeBoth();
    }

    /// Closes both connections. An answer may end with its connection, so the caller's one is closed in order only if the upstream was.
    void closeBoth()
    {
        boost::system::error_code ignored;
        if (!upstreamClosedInOrder) {
            caller.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        caller.close(ignored);
        upstream.close(ignored);
        timer.cancel();
    }

    tcp::socket caller;
    tcp::socket upstream;
    asio::steady_timer timer;
    /// The time at which the session is closed unless data is forwarded before.
    Instant deadline{};
    bool hasCarried = false;
    /// When it carried something last, or was accepted.
    Instant carriedAt = steadyNow();
    SendState toUpstream = SendState::Sent;
    bool upstreamClosedInOrder = false;
};

TcpRelay::TcpRelay(asio::any_io_executor executor, Options options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_acceptor(m_executor)
{
}

absl::Status TcpRelay::open()
{
    boost::system::error_code error;
    m_acceptor.open(m_options.listen.protocol(), error);
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        m_acceptor.bind(m_options.listen, error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failed(FailureKind::InvalidSetting, absl::StrCat("the relay cannot listen: ", error.message()));
    }
    asio::co_spawn(m_executor, accept(), asio::detached);
    return absl::OkStatus();
}

void TcpRelay::close()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

std::uint16_t TcpRelay::port() const
{
    return m_acceptor.local_endpoint().port();
}

asio::awaitable<void> TcpRelay::accept()
{
    while (m_acceptor.is_open()) {
        auto [error, socket] = co_await m_acceptor.async_accept(s_tuple);
        if (error && m_acceptor.is_open()) {
            logLine(Severity::Warning, "relay.accept_failed", {{"detail", error.message()}});
            co_await pause(s_acceptPause);
        }
        if (error || !makePlace()) {
            // The caller sees its connection closed and can try another relay at once.
            continue;
        }
        auto session = std::make_shared<Session>(std::move(socket));
        asio::co_spawn(m_executor, serve(std::move(session)), asio::detached);
    }
}

asio::awaitable<void> TcpRelay::serve(SessionPtr session)
{
    m_sessions.insert(session);
    session->deadline = steadyNow() + m_options.connectTimeout;
    asio::co_spawn(m_executor, enforceDeadline(session), asio::detached);
    auto [error] = co_await session->upstream.async_connect(m_options.upstream, s_tuple);
    if (!error) {
        boost::system::error_code ignored;
        session->caller.set_option(tcp::no_delay(true), ignored);
        session->caller.set_option(asio::socket_base::receive_buffer_size(s_kernelBufferBytes), ignored);
        session->upstream.set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(m_executor, forwardBytes(session, false), asio::detached);
        co_await forwardBytes(session, true);
    }
    session->closeBoth();
    m_sessions.erase(session);
}

std::size_t TcpRelay::connectionsFor(double maxDescriptors)
{
    constexpr double descriptorsPerConnection = 2;
    if (maxDescriptors <= 0) {
        return Options{}.maxConnections;
    }
    const double connections = (maxDescriptors - s_ownDescriptors) / descriptorsPerConnection;
    return static_cast<std::size_t>(std::clamp(connections, 1.0, static_cast<double>(Options{}.maxConnections)));
}

bool TcpRelay::makePlace()
{
    if (m_sessions.size() < m_options.maxConnections) {
        return true;
    }
    const auto order = [](const SessionPtr &session) {
        return std::pair(session->hasCarried, session->carriedAt);
    };
    const auto first = std::ranges::min_element(m_sessions, {}, order);
    const bool yields = first != m_sessions.end() && steadyNow() - (*first)->carriedAt >= m_options.yieldTime;
    const Instant now = steadyNow();
    ++m_refused;
    if (now - m_refusalLoggedAt >= s_refusalLogInterval) {
        m_refusalLoggedAt = now;
        logLine(Severity::Warning,
                "relay.full",
                {{"connections", static_cast<std::int64_t>(m_sessions.size())},
                 {"refused", m_refused},
                 {"idle_yields", static_cast<std::int64_t>(yields)}});
    }
    if (yields) {
        (*first)->closeBoth();
        m_sessions.erase(first);
    }
    return yields;
}

asio::awaitable<void> TcpRelay::enforceDeadline(SessionPtr session)
{
    while (session->caller.is_open() && steadyNow() < session->deadline) {
        session->timer.expires_after(session->deadline - steadyNow());
        co_await session->timer.async_wait(s_tuple);
    }
    session->closeBoth();
}

asio::awaitable<void> TcpRelay::forwardBytes(SessionPtr session, bool fromCaller)
{
    tcp::socket &from = fromCaller ? session->caller : session->upstream;
    tcp::socket &to = fromCaller ? session->upstream : session->caller;
    SendState toCaller = SendState::Sent;
    SendState &sent = fromCaller ? session->toUpstream : toCaller;
    std::array<char, s_chunkBytes> chunk{};
    bool open = true;
    while (open) {
        session->deadline = steadyNow() + m_options.idleTimeout;
        auto [readError, size] = co_await from.async_read_some(asio::buffer(chunk), s_tuple);
        if (readError) {
            session->upstreamClosedInOrder = !fromCaller && readError == asio::error::eof && isOrderlyClose(session->toUpstream);
            break;
        }
        session->hasCarried = true;
        session->carriedAt = steadyNow();
        sent = SendState::Sending;
        auto [writeError, written] = co_await asio::async_write(to, asio::buffer(chunk.data(), size), s_tuple);
        open = !writeError;
        sent = open ? SendState::Sent : SendState::Failed;
    }
    // When one end has closed, the connection to the other end is of no use, and a call that can no longer be answered must not appear to
    // be pending.
    session->closeBoth();
}

}
