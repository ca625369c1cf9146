#include "net/httpserver.h"

#include "clock/steadytime.h"
#include "net/kernelbuffers.h"
#include "net/pause.h"
#include "net/requestreader.h"
#include "operations/log.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <exception>

namespace bamboohold {

namespace {

constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t s_backlog = 4096;
/// Maximum number of connections that are accepted in one turn of the loop after the first.
constexpr std::size_t s_maxAcceptBatch = 64;
constexpr Duration s_acceptPause = std::chrono::milliseconds(20);
/// While connections end for others.
constexpr Duration s_yieldPause = std::chrono::milliseconds(1);

using ReuseAddress = asio::ip::tcp::acceptor::reuse_address;
/// Lets every loop listen on the same port; the kernel distributes connections among them.
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// After the last answer, remaining input from the caller is read and discarded for this long. Closing a socket with unread input resets
/// the connection, and a reset can destroy an answer that the caller has not read yet.
constexpr Duration s_lingerTime = std::chrono::milliseconds(500);
/// A caller sends its first request right after it has connected, so a connection that is younger than this is not idle.
constexpr Duration s_firstRequestTime = std::chrono::milliseconds(500);
constexpr std::size_t s_lingerPartBytes = 16 * 1024;
constexpr std::size_t s_maxLingerBytes = 64 * 1024;

/// What a client is told whose request cannot be read.
struct Refusal {
    unsigned status = 400;
    ClientRefusal cause = ClientRefusal::Invalid;
    std::string_view detail;
};

Refusal refusalOf(ReadProblem problem)
{
    switch (problem) {
    case ReadProblem::TooSlow:
        return {.status = 408, .cause = ClientRefusal::TooSlow, .detail = "the request did not come in time"};
    case ReadProblem::BodyOverLimit:
        return {.status = 413, .cause = ClientRefusal::BodyOverLimit, .detail = "the body is longer than allowed"};
    case ReadProblem::HeadOverLimit:
        return {.status = 431, .cause = ClientRefusal::HeadOverLimit, .detail = "the head or the trailers are longer than allowed"};
    case ReadProblem::NoRoom:
        return {.status = 503, .cause = ClientRefusal::NoRoom, .detail = "there is no room for the request"};
    case ReadProblem::Stalled:
        return {.status = 503, .cause = ClientRefusal::Stalled, .detail = "the request made no progress, and others needed its room"};
    case ReadProblem::None:
    case ReadProblem::ConnectionLost:
    case ReadProblem::Invalid:
        break;
    }
    return {.status = 400, .cause = ClientRefusal::Invalid, .detail = "the request is not valid HTTP, or consists mostly of framing"};
}

/// Logs what ended a request or its connection. Nothing else is concerned: both release what they hold as they are destroyed.
void logException(const std::exception_ptr &problem)
{
    std::string detail = "an unknown exception";
    try {
        std::rethrow_exception(problem);
    } catch (const std::exception &exception) {
        detail = exception.what();
    } catch (...) {
    }
    logLine(Severity::Error, "server.exception", {{"detail", detail}});
}

}

HttpServer::HttpServer(WorkerPool &pool, Options options, HttpHandler handler)
    : m_pool(pool)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
{
}

absl::Status HttpServer::open()
{
    boost::system::error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_options.address, error), m_options.port);
    if (error) {
        return failed(FailureKind::InvalidSetting, absl::StrCat("'", m_options.address, "' is not an IP address"));
    }
    m_endpoint = endpoint;
    for (std::size_t index = 0; index < m_pool.size(); ++index) {
        auto listener = std::make_unique<Listener>(m_pool.loop(index));
        error = listen(listener->acceptor);
        if (error) {
            return failed(FailureKind::InvalidSetting,
                          absl::StrCat("cannot listen on ", m_options.address, ":", m_options.port, ": ", error.message()));
        }
        m_listeners.push_back(std::move(listener));
    }
    for (const auto &listener : m_listeners) {
        ++m_openListeners;
        asio::co_spawn(listener->acceptor.get_executor(), accept(*listener), asio::detached);
    }
    return absl::OkStatus();
}

boost::system::error_code HttpServer::listen(asio::ip::tcp::acceptor &acceptor) const
{
    boost::system::error_code error;
    acceptor.open(m_endpoint.protocol(), error);
    acceptor.set_option(ReuseAddress(true), error);
    if (!m_options.exclusive) {
        acceptor.set_option(ReusePort(true), error);
    }
    if (m_options.resources) {
        limitKernelBuffers(acceptor);
    }
    acceptor.bind(m_endpoint, error);
    if (!error) {
        acceptor.listen(static_cast<int>(s_backlog), error);
    }
    if (!error) {
        acceptor.non_blocking(true, error);
    }
    return error;
}

void HttpServer::close()
{
    for (const auto &listener : m_listeners) {
        asio::post(listener->acceptor.get_executor(), [this, &listener = *listener] {
            listener.remaining.reset();
            acceptPending(listener, s_backlog);
            if (!std::exchange(listener.closed, true)) {
                boost::system::error_code ignored;
                listener.acceptor.close(ignored);
                --m_openListeners;
            }
        });
    }
}

void HttpServer::limitConnections(std::optional<std::size_t> most)
{
    for (const auto &listener : m_listeners) {
        asio::dispatch(listener->acceptor.get_executor(), [this, &listener = *listener, most] {
            limitConnections(listener, most);
        });
    }
}

void HttpServer::limitConnections(Listener &listener, std::optional<std::size_t> most)
{
    if (listener.closed) {
        return;
    }
    listener.remaining = most;
    const bool accepts = most != std::size_t(0);
    boost::system::error_code error;
    if (!accepts && listener.acceptor.is_open()) {
        listener.acceptor.close(error);
    } else if (accepts && !listener.acceptor.is_open()) {
        error = listen(listener.acceptor);
    }
    if (error) {
        logLine(
            Severity::Error, "server.cannot_listen", {{"port", static_cast<std::int64_t>(m_options.port)}, {"detail", error.message()}});
        listener.acceptor.close(error);
    }
}

bool HttpServer::mayAcceptMore(Listener &listener)
{
    if (listener.remaining && *listener.remaining > 0 && --*listener.remaining == 0) {
        boost::system::error_code ignored;
        listener.acceptor.close(ignored);
    }
    return listener.acceptor.is_open();
}

bool HttpServer::hasPlaces() const
{
    return !m_options.resources || m_options.resources->acceptsMore();
}

asio::awaitable<void> HttpServer::accept(Listener &listener)
{
    while (!listener.closed) {
        if (!listener.acceptor.is_open()) {
            co_await pause(s_acceptPause);
            continue;
        }
        if (!hasPlaces()) {
            co_await pause(s_yieldPause);
            continue;
        }
        auto [failure, first] = co_await listener.acceptor.async_accept(s_tuple);
        if (failure) {
            // The most likely cause is a lack of file descriptors. The pause gives open connections time to end.
            co_await pause(s_acceptPause);
            continue;
        }
        startSession(listener, std::move(first));
        if (!mayAcceptMore(listener)) {
            continue;
        }
        // Pending connections are accepted in batches, because the loop returns here only after it has handled everything else that is
        // ready. On a busy loop that takes tens of milliseconds. When one connection was accepted per turn, callers waited for seconds in
        // the kernel's backlog, invisible to measurements of the loop: on a host with a tenth of a core, 3,591 callers disconnected within
        // 34 seconds before their request was read.
        acceptPending(listener, s_maxAcceptBatch);
    }
}

void HttpServer::acceptPending(Listener &listener, std::size_t most)
{
    bool more = listener.acceptor.is_open();
    // Before the listener is closed, all are accepted.
    for (std::size_t accepted = 0; more && accepted < most && (most == s_backlog || hasPlaces()); ++accepted) {
        boost::system::error_code error;
        asio::ip::tcp::socket next(listener.acceptor.get_executor());
        listener.acceptor.accept(next, error);
        if (error) {
            break;
        }
        startSession(listener, std::move(next));
        more = mayAcceptMore(listener);
    }
}

void HttpServer::startSession(Listener &listener, asio::ip::tcp::socket socket)
{
    ++m_connections;
    ++m_accepted;
    count(&CallerCounts::connections);
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const asio::any_io_executor executor = socket.get_executor();
    asio::co_spawn(executor, serveConnection(listener, std::move(socket)), [this](const std::exception_ptr &problem) {
        --m_connections;
        if (problem) {
            logException(problem);
        }
    });
}

/// A connection of a caller.
struct HttpServer::Session {
    Session(asio::ip::tcp::socket socket, const Options &options, ReadTurns &readTurns)
        : stream(std::move(socket))
        , client(options.resources,
                 options.socket,
                 stream.get_executor(),
                 [this] {
                     stream.cancel();
                 })
        , turns(readTurns)
        , acceptedAt(steadyNow())
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    ClientConnection client;
    ReadTurns &turns;
    Instant acceptedAt{};
    bool hasServed = false;
};

void HttpServer::closeIdleConnections()
{
    for (std::size_t index = 0; index < m_pool.size(); ++index) {
        const asio::any_io_executor executor = m_pool.loop(index).get_executor();
        asio::dispatch(executor, [this, executor] {
            closeIdleConnectionsOf(executor);
        });
    }
}

void HttpServer::closeIdleConnectionsOf(const asio::any_io_executor &executor)
{
    const std::lock_guard lock(m_idleMutex);
    const Instant now = steadyNow();
    for (Session *session : m_idle) {
        const bool mayClose = session->hasServed || now - session->acceptedAt >= s_firstRequestTime;
        // Only the wait for the next request is ended. A request that has arrived in the meantime is served.
        if (mayClose && session->stream.get_executor() == executor) {
            session->stream.cancel();
        }
    }
}

void HttpServer::count(std::atomic<std::uint64_t> CallerCounts::*number)
{
    if (m_options.counts) {
        ++((*m_options.counts).*number);
    }
}

void HttpServer::measure(std::atomic<std::uint64_t> CallerCounts::*total, std::atomic<std::uint64_t> CallerCounts::*longest, Instant since)
{
    if (m_options.counts) {
        const auto us = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(steadyNow() - since).count());
        (*m_options.counts).*total += us;
        auto &most = (*m_options.counts).*longest;
        most = std::max<std::uint64_t>(most, us);
    }
}

void HttpServer::countReceived(std::size_t bytes)
{
    if (m_options.traffic) {
        m_options.traffic->received += bytes;
    }
}

asio::awaitable<bool> HttpServer::awaitRequest(Session &session, const HttpLimits &limits)
{
    if (session.buffer.size() > 0) {
        co_return true;
    }
    session.buffer.max_size(RequestReader::s_firstReadBytes);
    {
        const std::lock_guard lock(m_idleMutex);
        m_idle.insert(&session);
    }
    session.stream.expires_after(limits.idleTimeout);
    const auto [error, size] = co_await session.stream.async_read_some(session.buffer.prepare(RequestReader::s_firstReadBytes), s_tuple);
    session.buffer.commit(size);
    countReceived(size);
    {
        const std::lock_guard lock(m_idleMutex);
        m_idle.erase(&session);
    }
    boost::system::error_code unavailable;
    const bool cancelled = error == asio::error::operation_aborted;
    co_return !error || (cancelled && session.stream.socket().available(unavailable) > 0);
}

asio::awaitable<void> HttpServer::respondUnreadable(Session &session, HttpExchange &exchange, ReadProblem problem)
{
    const Refusal refusal = refusalOf(problem);
    session.client.countRefusal(refusal.cause);
    exchange.setConnectionClose();
    const bool comesBack = problem == ReadProblem::NoRoom || problem == ReadProblem::Stalled;
    Failure failure{.kind = comesBack ? FailureKind::Overloaded : FailureKind::InvalidRequest, .detail = std::string(refusal.detail)};
    std::vector<HttpHeader> headers;
    if (comesBack) {
        failure.executed = Executed::No;
        failure.retryAfterMs = std::chrono::ceil<std::chrono::milliseconds>(session.client.retryTime()).count();
        appendRetryAfter(headers, failure);
    }
    std::string body = errorBody(failure, "");
    co_await exchange.respond(refusal.status, "application/json", std::move(body), std::move(headers));
}

asio::awaitable<bool> HttpServer::serveRequest(Session &session)
{
    const HttpLimits limits = m_options.limits ? m_options.limits() : HttpLimits{};
    const bool requestStarted = co_await awaitRequest(session, limits);
    if (!requestStarted) {
        co_return false;
    }
    RequestReader reader(session.stream, session.buffer, session.client, session.turns, limits, m_options.traffic);
    ReadProblem problem = ReadProblem::NoRoom;
    if (session.client.setPhase(ClientPhase::Head)) {
        problem = co_await reader.readHead();
    }
    if (problem == ReadProblem::ConnectionLost) {
        count(&CallerCounts::leftInHead);
        co_return false;
    }
    count(&CallerCounts::heads);
    if (!session.hasServed) {
        measure(&CallerCounts::firstHeadUs, &CallerCounts::longestFirstHeadUs, session.acceptedAt);
    }
    HttpExchange exchange(session.stream, reader.request(), m_keepAliveDisabled, m_options.traffic, &session.client);
    if (problem == ReadProblem::None && !session.client.setPhase(reader.done() ? ClientPhase::Served : ClientPhase::Body)) {
        problem = ReadProblem::NoRoom;
    }
    if (problem != ReadProblem::None) {
        co_await respondUnreadable(session, exchange, problem);
        co_return false;
    }
    if (!reader.done()) {
        exchange.setBodyReader([this, &session, &reader](HttpExchange &read, BodyUse use) {
            return readBody(session, reader, read, use);
        });
    }
    if (!m_options.handlerReadsBodies) {
        const bool read = co_await exchange.readBody();
        if (!read) {
            co_return false;
        }
    }
    co_await handle(exchange);
    count(exchange.answered() ? &CallerCounts::answered : &CallerCounts::leftUnanswered);
    session.hasServed = true;
    co_return exchange.keepAlive();
}

asio::awaitable<void> HttpServer::handle(HttpExchange &exchange)
{
    std::exception_ptr problem;
    try {
        co_await m_handler(exchange);
    } catch (...) {
        problem = std::current_exception();
    }
    if (!problem) {
        co_return;
    }
    logException(problem);
    // The handler and its state are gone.
    exchange.ignoreCallerDisconnect();
    if (exchange.answered()) {
        exchange.abortConnection();
        co_return;
    }
    exchange.setConnectionClose();
    co_await respondFailure(exchange, FailureKind::EngineFailed, "the request could not be handled");
}

asio::awaitable<bool> HttpServer::readBody(Session &session, RequestReader &reader, HttpExchange &exchange, BodyUse use)
{
    const Instant headReadAt = steadyNow();
    ReadProblem problem = co_await reader.readBody(use);
    measure(&CallerCounts::bodyUs, &CallerCounts::longestBodyUs, headReadAt);
    if (problem == ReadProblem::None && !session.client.setPhase(ClientPhase::Served)) {
        problem = ReadProblem::NoRoom;
    }
    if (problem == ReadProblem::None) {
        co_return true;
    }
    exchange.setConnectionClose();
    if (problem == ReadProblem::ConnectionLost) {
        count(&CallerCounts::leftInBody);
    } else {
        co_await respondUnreadable(session, exchange, problem);
    }
    co_return false;
}

asio::awaitable<void> HttpServer::drainBeforeClose(Session &session)
{
    boost::system::error_code ignored;
    session.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    session.stream.expires_after(s_lingerTime);
    bool open = session.stream.socket().is_open();
    std::size_t discarded = 0;
    // Without the limit of the request.
    session.buffer = {};
    while (open) {
        session.buffer.clear();
        const auto [error, size] = co_await session.stream.async_read_some(session.buffer.prepare(s_lingerPartBytes), s_tuple);
        countReceived(size);
        discarded += size;
        open = !error && discarded < s_maxLingerBytes;
    }
}

asio::awaitable<void> HttpServer::serveConnection(Listener &listener, asio::ip::tcp::socket socket)
{
    Session session(std::move(socket), m_options, listener.turns);
    if (!session.client.accepted()) {
        session.client.countRefusal(ClientRefusal::NoPlace);
        co_return;
    }
    bool open = true;
    while (open) {
        open = co_await serveRequest(session);
        session.client.releaseRequest();
        if (session.buffer.size() == 0) {
            session.buffer.shrink_to_fit();
        }
        session.client.setPhase(open ? ClientPhase::Idle : ClientPhase::Closing);
    }
    // One that makes way for others has nothing more to send, or does not read.
    switch (session.client.yields()) {
    case ClientQuota::Yield::Idle:
        session.client.countRefusal(ClientRefusal::IdleYielded);
        break;
    case ClientQuota::Yield::Unread:
        session.client.countRefusal(ClientRefusal::Unread);
        break;
    case ClientQuota::Yield::Stalled:
        break;
    case ClientQuota::Yield::No:
        co_await drainBeforeClose(session);
    }
}

}
