#include "net/httpserver.h"

#include "clock/steadytime.h"
#include "net/pause.h"
#include "operations/log.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <exception>
#include <tuple>

namespace bamboohold {

namespace {

constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);
constexpr int s_backlog = 4096;
/// Maximum number of connections that are accepted in one turn of the loop after the first.
constexpr std::size_t s_maxAcceptBatch = 64;
constexpr Duration s_acceptPause = std::chrono::milliseconds(20);

using ReuseAddress = asio::ip::tcp::acceptor::reuse_address;
/// Lets every loop listen on the same port; the kernel distributes connections among them.
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

void appendHeader(std::string &head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

std::array<asio::const_buffer, 3> gatherBuffers(std::string_view first, std::string_view second, std::string_view third)
{
    return {asio::buffer(first), asio::buffer(second), asio::buffer(third)};
}

/// A caller that accepts no data for this long is gone or stuck. Its connection is closed to free the memory.
constexpr Duration s_writeTimeout = std::chrono::seconds(5);
/// After the last answer, remaining input from the caller is read and discarded for this long. Closing a socket with unread input resets
/// the connection, and a reset can destroy an answer that the caller has not read yet.
constexpr Duration s_lingerTime = std::chrono::milliseconds(500);
/// A caller sends its first request right after it has connected, so a connection that is younger than this is not idle.
constexpr Duration s_firstRequestTime = std::chrono::milliseconds(500);
constexpr std::size_t s_lingerPartBytes = 16 * 1024;
constexpr std::size_t s_maxLingerBytes = 64 * 1024;
/// Maximum number of bytes passed to the kernel at a time.
constexpr std::size_t s_writePartBytes = 64 * 1024;
/// Buffer size of the first read of a request. Most heads fit, and an idle connection does not hold more memory.
constexpr std::size_t s_firstReadBytes = 2048;
constexpr std::string_view s_continue = "HTTP/1.1 100 Continue\r\n\r\n";

}

namespace {

/// Answers a request that could not be read because it is too large, too slow or not valid HTTP.
asio::awaitable<void> respondUnreadable(HttpExchange &exchange, const boost::system::error_code &error)
{
    unsigned status = 400;
    if (error == http::error::body_limit) {
        status = 413;
    } else if (error == http::error::header_limit) {
        status = 431;
    } else if (error == beast::error::timeout) {
        status = 408;
    }
    const Failure failure{.kind = FailureKind::InvalidRequest, .detail = error ? error.message() : "unknown transfer coding"};
    std::string body = errorBody(failure, "");
    co_await exchange.respond(status, "application/json", std::move(body));
}

bool isConnectionLost(const boost::system::error_code &error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message
        || (error && error != beast::error::timeout && error.category() != http::make_error_code(http::error::bad_method).category());
}

}

/// Waits for the caller to close its side while an answer is in progress. Shared with the pending wait, which can outlive the exchange.
struct HttpExchange::DisconnectWatch {
    std::function<void()> callback;
};

HttpExchange::HttpExchange(beast::tcp_stream &stream, const HttpRequest &request, bool connectionClose, std::shared_ptr<Traffic> traffic)
    : m_stream(stream)
    , m_request(request)
    , m_traffic(std::move(traffic))
    , m_connectionClose(connectionClose)
{
}

HttpExchange::~HttpExchange()
{
    if (m_watch) {
        m_watch->callback = nullptr;
        boost::system::error_code ignored;
        m_stream.socket().cancel(ignored);
    }
}

std::string_view HttpExchange::path() const
{
    const std::string_view target(m_request.target().data(), m_request.target().size());
    return target.substr(0, target.find('?'));
}

std::string_view HttpExchange::header(std::string_view name) const
{
    const auto found = m_request.find({name.data(), name.size()});
    if (found == m_request.end()) {
        return {};
    }
    return {found->value().data(), found->value().size()};
}

asio::any_io_executor HttpExchange::executor()
{
    return m_stream.get_executor();
}

asio::awaitable<bool> HttpExchange::readBody()
{
    if (!m_bodyReader) {
        co_return true;
    }
    const bool read = co_await m_bodyReader(*this);
    m_bodyReader = nullptr;
    co_return read;
}

std::string HttpExchange::head(unsigned status, std::string_view contentType, const std::vector<HttpHeader> &headers) const
{
    std::string text = absl::StrCat("HTTP/1.1 ", status, " ");
    text.append(http::obsolete_reason(http::int_to_status(status))).append("\r\n");
    if (!contentType.empty()) {
        appendHeader(text, "Content-Type", contentType);
    }
    for (const HttpHeader &header : headers) {
        appendHeader(text, header.name, header.value);
    }
    if (!keepAlive()) {
        appendHeader(text, "Connection", "close");
    }
    return text;
}

asio::awaitable<bool> HttpExchange::send(std::string_view first, std::string_view second, std::string_view third)
{
    m_answered = true;
    if (m_responseDiscarded) {
        co_return true;
    }
    const std::array<asio::const_buffer, 3> buffers = gatherBuffers(first, second, third);
    const HeldBytes held(m_traffic, first.size() + second.size() + third.size());
    std::size_t counted = 0;
    // Counts each part as the connection accepts it: a long answer to a slow caller would otherwise count all at once, at its end.
    const auto countSent = [this, &counted](const boost::system::error_code &error, std::size_t sent) -> std::size_t {
        if (m_traffic) {
            m_traffic->sent += sent - std::exchange(counted, sent);
        }
        return error ? 0 : s_writePartBytes;
    };
    m_stream.expires_after(s_writeTimeout);
    const auto [error, written] = co_await asio::async_write(m_stream, buffers, countSent, s_tuple);
    m_stream.expires_never();
    countSent(error, written);
    if (error) {
        m_open = false;
    }
    co_return !error;
}

asio::awaitable<void>
HttpExchange::respond(unsigned status, std::string_view contentType, std::string body, std::vector<HttpHeader> headers)
{
    std::string text = head(status, contentType, headers);
    if (m_remainingBody) {
        co_await send(text.append("\r\n"));
        co_await sendUnframed(body);
        co_return;
    }
    appendHeader(text, "Content-Length", absl::StrCat(body.size()));
    text.append("\r\n");
    const std::string_view sentBody = m_request.method() == http::verb::head ? std::string_view() : std::string_view(body);
    co_await send(text, sentBody);
}

asio::awaitable<bool> HttpExchange::beginStream(unsigned status, std::string_view contentType, std::vector<HttpHeader> headers)
{
    std::string text = head(status, contentType, headers);
    if (!m_remainingBody) {
        appendHeader(text, "Transfer-Encoding", "chunked");
    }
    text.append("\r\n");
    co_return co_await send(text);
}

asio::awaitable<bool> HttpExchange::sendUnframed(std::string_view data)
{
    const std::string_view part = data.substr(0, *m_remainingBody);
    *m_remainingBody -= part.size();
    const bool sent = co_await send(part);
    co_return sent &&part.size() == data.size();
}

asio::awaitable<bool> HttpExchange::writeChunk(std::string_view data)
{
    if (m_remainingBody) {
        co_return co_await sendUnframed(data);
    }
    std::array<char, 20> size{};
    const auto end = std::to_chars(size.data(), size.data() + 16, data.size(), 16).ptr;
    end[0] = '\r';
    end[1] = '\n';
    const auto sizeLength = static_cast<std::size_t>(end - size.data()) + 2;
    co_return co_await send(std::string_view(size.data(), sizeLength), data, "\r\n");
}

asio::awaitable<bool> HttpExchange::endStream()
{
    if (m_remainingBody) {
        co_return m_open;
    }
    co_return co_await send("0\r\n\r\n");
}

void HttpExchange::abortConnection()
{
    m_open = false;
    m_stream.close();
}

bool HttpExchange::isCallerDisconnected()
{
    boost::system::error_code error;
    char byte = 0;
    m_stream.socket().non_blocking(true, error);
    const std::size_t size = m_stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return size == 0 && error != asio::error::would_block;
}

void HttpExchange::onCallerDisconnect(std::function<void()> callback)
{
    m_watch = std::make_shared<DisconnectWatch>();
    m_watch->callback = std::move(callback);
    m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read, [watch = m_watch, this](const boost::system::error_code &error) {
        if (!watch->callback) {
            return;
        }
        char byte = 0;
        boost::system::error_code peekError;
        const std::size_t size = error ? 0 : m_stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, peekError);
        if (size == 0) {
            m_open = false;
            std::exchange(watch->callback, nullptr)();
        }
    });
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
    acceptor.bind(m_endpoint, error);
    if (!error) {
        acceptor.listen(s_backlog, error);
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

asio::awaitable<void> HttpServer::accept(Listener &listener)
{
    while (!listener.closed) {
        if (!listener.acceptor.is_open()) {
            co_await pause(s_acceptPause);
            continue;
        }
        auto [failure, first] = co_await listener.acceptor.async_accept(s_tuple);
        if (failure) {
            // The most likely cause is a lack of file descriptors. The pause gives open connections time to end.
            co_await pause(s_acceptPause);
            continue;
        }
        startSession(std::move(first));
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
    for (std::size_t accepted = 0; more && accepted < most; ++accepted) {
        boost::system::error_code error;
        asio::ip::tcp::socket next(listener.acceptor.get_executor());
        listener.acceptor.accept(next, error);
        if (error) {
            break;
        }
        startSession(std::move(next));
        more = mayAcceptMore(listener);
    }
}

void HttpServer::startSession(asio::ip::tcp::socket socket)
{
    ++m_connections;
    ++m_accepted;
    count(&CallerCounts::connections);
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const asio::any_io_executor executor = socket.get_executor();
    asio::co_spawn(executor, serveConnection(std::move(socket)), [this](const std::exception_ptr &problem) {
        --m_connections;
        if (problem) {
            // A handler that throws has left its caller without an answer, and its own state may be inconsistent.
            std::rethrow_exception(problem);
        }
    });
}

/// A connection of a caller.
struct HttpServer::Session {
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
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
    {
        const std::lock_guard lock(m_idleMutex);
        m_idle.insert(&session);
    }
    session.stream.expires_after(limits.idleTimeout);
    const auto [error, size] = co_await session.stream.async_read_some(session.buffer.prepare(s_firstReadBytes), s_tuple);
    session.buffer.commit(size);
    {
        const std::lock_guard lock(m_idleMutex);
        m_idle.erase(&session);
    }
    boost::system::error_code unavailable;
    const bool cancelled = error == asio::error::operation_aborted;
    co_return !error || (cancelled && session.stream.socket().available(unavailable) > 0);
}

/// A request that is being read.
struct HttpServer::Reading {
    Session &session;
    HttpLimits limits;
    HeldBytes held;
    http::request_parser<http::string_body> parser;
};

asio::awaitable<bool> HttpServer::serveRequest(Session &session)
{
    const HttpLimits limits = m_options.limits ? m_options.limits() : HttpLimits{};
    const bool requestStarted = co_await awaitRequest(session, limits);
    if (!requestStarted) {
        co_return false;
    }
    Reading reading{.session = session, .limits = limits, .held = HeldBytes(m_options.traffic)};
    http::request_parser<http::string_body> &parser = reading.parser;
    parser.header_limit(limits.maxHeaderBytes);
    parser.body_limit(limits.maxBodyBytes);
    session.stream.expires_after(limits.headerTimeout);
    const auto [error, size] = co_await http::async_read_header(session.stream, session.buffer, parser, s_tuple);
    session.stream.expires_never();
    countReceived(size);
    if (isConnectionLost(error)) {
        count(&CallerCounts::leftInHead);
        co_return false;
    }
    count(&CallerCounts::heads);
    if (!session.hasServed) {
        measure(&CallerCounts::firstHeadUs, &CallerCounts::longestFirstHeadUs, session.acceptedAt);
    }
    HttpExchange exchange(session.stream, parser.get(), m_keepAliveDisabled, m_options.traffic);
    // With a transfer coding that this server does not support, the end of the request is unknown and another request could be smuggled in
    // its body.
    const bool unreadable = !error && parser.get().count(http::field::transfer_encoding) > 0 && !parser.chunked();
    if (error || unreadable) {
        exchange.setConnectionClose();
        co_await respondUnreadable(exchange, error);
        co_return false;
    }
    if (!parser.is_done()) {
        exchange.setBodyReader([this, &reading](HttpExchange &read) {
            return readBody(reading, read);
        });
    }
    if (!m_options.handlerReadsBodies) {
        const bool read = co_await exchange.readBody();
        if (!read) {
            co_return false;
        }
    }
    co_await m_handler(exchange);
    count(exchange.answered() ? &CallerCounts::answered : &CallerCounts::leftUnanswered);
    session.hasServed = true;
    co_return exchange.keepAlive();
}

asio::awaitable<bool> HttpServer::readBody(Reading &reading, HttpExchange &exchange)
{
    Session &session = reading.session;
    http::request_parser<http::string_body> &parser = reading.parser;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        co_await asio::async_write(session.stream, asio::buffer(s_continue), s_tuple);
    }
    session.stream.expires_after(reading.limits.bodyTimeout);
    // Read in parts, so that a long body counts while it arrives.
    parser.eager(true);
    const Instant headReadAt = steadyNow();
    boost::system::error_code error;
    std::size_t size = 0;
    while (!error && !parser.is_done()) {
        std::tie(error, size) = co_await http::async_read_some(session.stream, session.buffer, parser, s_tuple);
        countReceived(size);
        reading.held.add(size);
    }
    measure(&CallerCounts::bodyUs, &CallerCounts::longestBodyUs, headReadAt);
    session.stream.expires_never();
    if (!error) {
        co_return true;
    }
    exchange.setConnectionClose();
    if (isConnectionLost(error)) {
        count(&CallerCounts::leftInBody);
    } else {
        co_await respondUnreadable(exchange, error);
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
    while (open) {
        session.buffer.clear();
        const auto [error, size] = co_await session.stream.async_read_some(session.buffer.prepare(s_lingerPartBytes), s_tuple);
        countReceived(size);
        discarded += size;
        open = !error && discarded < s_maxLingerBytes;
    }
}

asio::awaitable<void> HttpServer::serveConnection(asio::ip::tcp::socket socket)
{
    Session session{.stream = beast::tcp_stream(std::move(socket)), .acceptedAt = steadyNow()};
    bool open = true;
    while (open) {
        open = co_await serveRequest(session);
    }
    co_await drainBeforeClose(session);
}

std::string errorBody(const Failure &failure, std::string_view requestId)
{
    const auto text = [](std::string_view view) {
        return boost::json::string(view.data(), view.size());
    };
    boost::json::object error{
        {"type", text(failureName(failure.kind))}, {"message", failure.detail}, {"ran", text(executedName(failure.executed))}};
    if (!requestId.empty()) {
        error["request_id"] = text(requestId);
    }
    if (failure.retryAfterMs) {
        error["retry_after_ms"] = *failure.retryAfterMs;
    }
    return boost::json::serialize(boost::json::object{{"error", std::move(error)}});
}

asio::awaitable<void> respondFailure(HttpExchange &exchange, FailureKind kind, std::string_view detail)
{
    const Failure failure{.kind = kind, .detail = std::string(detail)};
    std::string body = errorBody(failure, "");
    co_await exchange.respond(httpStatus(kind), "application/json", std::move(body));
}

void appendRetryAfter(std::vector<HttpHeader> &headers, const Failure &failure)
{
    if (failure.retryAfterMs) {
        headers.push_back({.name = "Retry-After", .value = absl::StrCat((*failure.retryAfterMs + 999) / 1000)});
    }
}

unsigned httpStatus(FailureKind kind)
{
    switch (kind) {
    case FailureKind::InvalidSetting:
    case FailureKind::InvalidDocument:
    case FailureKind::InvalidRequest:
        return 400;
    case FailureKind::Unauthenticated:
        return 401;
    case FailureKind::Forbidden:
    case FailureKind::BudgetClosed:
        return 403;
    case FailureKind::UnknownModel:
    case FailureKind::UnknownService:
    case FailureKind::NotFound:
        return 404;
    case FailureKind::AlreadyRunning:
    case FailureKind::TableConflict:
    case FailureKind::TableGuard:
    case FailureKind::Fenced:
        return 409;
    case FailureKind::BudgetExhausted:
        return 429;
    case FailureKind::Cancelled:
        return 499;
    case FailureKind::TargetLost:
    case FailureKind::AnswerIncomplete:
    case FailureKind::EngineFailed:
        return 502;
    case FailureKind::DeadlineExceeded:
        return 504;
    case FailureKind::BudgetUnreachable:
    case FailureKind::NoTarget:
    case FailureKind::Overloaded:
    case FailureKind::Draining:
    case FailureKind::ClaimUnavailable:
    case FailureKind::TableUnreachable:
    case FailureKind::ObjectUnreachable:
    case FailureKind::Quarantined:
        break;
    }
    return 503;
}

}
