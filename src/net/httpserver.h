#pragma once

#include "clock/instant.h"
#include "failure/failure.h"
#include "net/workerpool.h"

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using HttpRequest = http::request<http::string_body>;

/// A header of an answer.
struct HttpHeader {
    std::string name;
    std::string value;
};

/// One request on a connection and the means to answer it, whole or as a stream. Lives on the connection's loop.
class HttpExchange
{
public:
    /// With `last`, the connection takes no further request, and the answer says so.
    HttpExchange(beast::tcp_stream &stream, HttpRequest request, bool connectionClose = false);
    ~HttpExchange();

    /// What was asked.
    const HttpRequest &request() const
    {
        return m_request;
    }

    /// The path without its query.
    std::string_view path() const;

    /// A header's value, empty when absent.
    std::string_view header(std::string_view name) const;

    /// The connection's loop.
    asio::any_io_executor executor();

    /// Sends a whole answer.
    asio::awaitable<void> respond(unsigned status, std::string_view contentType, std::string body, std::vector<HttpHeader> headers = {});

    /// Begins a chunked answer. False when the caller is gone.
    asio::awaitable<bool> beginStream(unsigned status, std::string_view contentType, std::vector<HttpHeader> headers = {});

    /// Sends a piece of a chunked answer. False when the caller is gone.
    asio::awaitable<bool> writeChunk(std::string_view data);

    /// Ends a chunked answer.
    asio::awaitable<bool> endStream();

    /// Cuts the connection, so that the caller cannot take a partial answer for a whole one.
    void abortConnection();

    /// From now on the answer goes nowhere; for stand-ins that lose answers.
    void discardResponse()
    {
        m_responseDiscarded = true;
    }

    /// True after muteAnswer().
    bool isResponseDiscarded() const
    {
        return m_responseDiscarded;
    }

    /// True when the caller has closed its side already. Asks the kernel, so that it also sees what the loop has not got to yet.
    bool isCallerDisconnected();

    /// Calls back once when the caller hangs up before the answer ends.
    void onCallerDisconnect(std::function<void()> callback);

    /// True when the connection can take another request.
    bool keepAlive() const
    {
        return m_open && !m_connectionClose && m_request.keep_alive();
    }

    /// The connection takes no further request after this one; said in an answer whose head was not sent yet.
    void setConnectionClose()
    {
        m_connectionClose = true;
    }

    /// True once anything of an answer was sent.
    bool answered() const
    {
        return m_answered;
    }

private:
    struct DisconnectWatch;

    asio::awaitable<bool> send(std::string_view first, std::string_view second = {}, std::string_view third = {});

    std::string head(unsigned status, std::string_view contentType, const std::vector<HttpHeader> &headers) const;

    beast::tcp_stream &m_stream;
    HttpRequest m_request;
    std::shared_ptr<DisconnectWatch> m_watch;
    bool m_connectionClose = false;
    bool m_open = true;
    bool m_answered = false;
    bool m_responseDiscarded = false;
};

using HttpHandler = std::function<asio::awaitable<void>(HttpExchange &)>;

/// What callers may send and how long they may take. The defaults suit the fleet's own interfaces.
struct HttpLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 8 * 1024 * 1024;
    /// From the first byte of a request to the end of its headers.
    Duration headerTimeout = std::chrono::seconds(10);
    /// For each further part of its body.
    Duration bodyTimeout = std::chrono::seconds(10);
    /// How long a connection may lie idle before a request.
    Duration idleTimeout = std::chrono::minutes(5);
};

/// Accepts HTTP connections on every loop of the pool and hands each request to the handler. A request that is too large or not HTTP is
/// answered with a typed error.
class HttpServer
{
public:
    struct Options {
        std::string address;
        std::uint16_t port = 0;
        /// Fails to open while another process listens on the same port. Listening then proves that no other process of this address does.
        bool exclusive = false;
        /// Asked before each request; empty: the defaults.
        std::function<HttpLimits()> limits;
    };

    HttpServer(WorkerPool &pool, Options options, HttpHandler handler);

    /// Binds and listens; a taken address is an InvalidSetting.
    absl::Status open();

    /// Takes no further connection.
    void close();

    /// Whether every connection ends after the answer to the request that it is at: while the process ends, or callers should go elsewhere.
    void setKeepAliveDisabled(bool disabled)
    {
        m_keepAliveDisabled = disabled;
    }

    /// Ends connections on which no request has begun. For pools of one loop, on that loop.
    void closeIdleConnections();

    /// Connections that are open.
    std::size_t connections() const
    {
        return m_connections;
    }

private:
    struct Session;

    asio::awaitable<void> accept(asio::ip::tcp::acceptor &acceptor);
    void startSession(asio::ip::tcp::socket socket);
    asio::awaitable<void> serveConnection(asio::ip::tcp::socket socket);
    asio::awaitable<bool> serveRequest(Session &session);
    static asio::awaitable<bool> awaitRequest(Session &session, const HttpLimits &limits);
    static asio::awaitable<void> drainBeforeClose(Session &session);

    WorkerPool &m_pool;
    Options m_options;
    HttpHandler m_handler;
    std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> m_acceptors;
    std::atomic<bool> m_keepAliveDisabled = false;
    std::atomic<std::size_t> m_connections = 0;
    /// Sessions on which no request has begun. Guarded by a lock of its own; nothing else is taken under it.
    std::mutex m_idleMutex;
    std::set<Session *> m_idle;
};

/// The JSON error body that every HTTP interface of the fleet uses.
std::string errorBody(const Failure &failure, std::string_view requestId);

/// Answers with a failure that has no more to it than its kind and detail.
asio::awaitable<void> respondFailure(HttpExchange &exchange, FailureKind kind, std::string_view detail);

/// Adds the standard header that tells a caller when to come back, if the failure knows.
void appendRetryAfter(std::vector<HttpHeader> &headers, const Failure &failure);

/// The HTTP status for a failure.
unsigned httpStatus(FailureKind kind);

}
