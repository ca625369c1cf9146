#pragma once

#include "clock/instant.h"
#include "failure/failure.h"
#include "net/traffic.h"
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

/// A header field of a request or an answer.
struct HttpHeader {
    std::string name;
    std::string value;
};

/// A request received on a connection, with the means to answer it either completely or as a stream. Runs on the event loop of the
/// connection.
class HttpExchange
{
public:
    /// With connectionClose, the connection closes after the answer, and the answer has a `Connection: close` header. The bytes of the
    /// answer are counted in `traffic`, if any.
    HttpExchange(beast::tcp_stream &stream, HttpRequest request, bool connectionClose = false, std::shared_ptr<Traffic> traffic = nullptr);
    ~HttpExchange();

    /// Returns the request.
    const HttpRequest &request() const
    {
        return m_request;
    }

    /// Returns the path without its query.
    std::string_view path() const;

    /// Returns the value of a header, or an empty string when it is absent.
    std::string_view header(std::string_view name) const;

    /// Returns the executor of the connection's event loop.
    asio::any_io_executor executor();

    /// Sends a complete answer.
    asio::awaitable<void> respond(unsigned status, std::string_view contentType, std::string body, std::vector<HttpHeader> headers = {});

    /// Starts a chunked answer. Returns false when the caller has disconnected.
    asio::awaitable<bool> beginStream(unsigned status, std::string_view contentType, std::vector<HttpHeader> headers = {});

    /// Sends a part of a chunked answer. Returns false when the caller has disconnected.
    asio::awaitable<bool> writeChunk(std::string_view data);

    /// Ends a chunked answer. Returns false when the caller has disconnected.
    asio::awaitable<bool> endStream();

    /// Closes the connection immediately, so that the caller cannot mistake a partial answer for a complete one.
    void abortConnection();

    /// Discards everything that is sent from now on. Used by stand-ins that simulate lost answers.
    void discardResponse()
    {
        m_responseDiscarded = true;
    }

    /// Returns true after discardResponse().
    bool isResponseDiscarded() const
    {
        return m_responseDiscarded;
    }

    /// Sends the answer without a length or chunks, and closes the connection in order after this many bytes of its body, if it is longer.
    /// Used by stand-ins that simulate a crash.
    void breakOffAfter(std::size_t bodyBytes)
    {
        m_remainingBody = bodyBytes;
        m_connectionClose = true;
    }

    /// Returns true when the caller has already closed its side. Queries the kernel, so it also detects a close that the event loop has not
    /// processed yet.
    bool isCallerDisconnected();

    /// Invokes the callback once if the caller disconnects before the answer is complete.
    void onCallerDisconnect(std::function<void()> callback);

    /// Returns true when the connection can serve another request.
    bool keepAlive() const
    {
        return m_open && !m_connectionClose && m_request.keep_alive();
    }

    /// Closes the connection after this answer. The answer has a `Connection: close` header if its head was not sent yet.
    void setConnectionClose()
    {
        m_connectionClose = true;
    }

    /// Returns true once any part of an answer was sent.
    bool answered() const
    {
        return m_answered;
    }

private:
    struct DisconnectWatch;

    asio::awaitable<bool> send(std::string_view first, std::string_view second = {}, std::string_view third = {});

    /// Sends the next part of the body of an answer that is broken off. Returns false at its end.
    asio::awaitable<bool> sendUnframed(std::string_view data);

    std::string head(unsigned status, std::string_view contentType, const std::vector<HttpHeader> &headers) const;

    beast::tcp_stream &m_stream;
    HttpRequest m_request;
    std::shared_ptr<DisconnectWatch> m_watch;
    std::shared_ptr<Traffic> m_traffic;
    bool m_connectionClose = false;
    bool m_open = true;
    bool m_answered = false;
    bool m_responseDiscarded = false;
    /// The rest of the body that is sent before the answer is broken off; none: it is sent completely.
    std::optional<std::size_t> m_remainingBody;
};

using HttpHandler = std::function<asio::awaitable<void>(HttpExchange &)>;

/// Size limits and timeouts for requests. The defaults are meant for the fleet's own interfaces.
struct HttpLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 8 * 1024 * 1024;
    /// From the first byte of a request to the end of its headers.
    Duration headerTimeout = std::chrono::seconds(10);
    /// For each further part of the request body.
    Duration bodyTimeout = std::chrono::seconds(10);
    /// How long a connection may be idle before the next request.
    Duration idleTimeout = std::chrono::minutes(5);
};

/// Accepts HTTP connections on every event loop of the pool and passes each request to the handler. A request that is too large or is not
/// valid HTTP is answered with a typed error.
class HttpServer
{
public:
    struct Options {
        std::string address;
        std::uint16_t port = 0;
        /// Makes open() fail while another process listens on the same address and port. A successful open() then proves that there is no
        /// such process.
        bool exclusive = false;
        /// Called before each request for the limits that apply to it. Empty: the defaults.
        std::function<HttpLimits()> limits;
        /// Counts the bytes on the connections. Empty: they are not counted.
        std::shared_ptr<Traffic> traffic;
        /// Counts how far requests get. Empty: they are not counted.
        std::shared_ptr<CallerCounts> counts;
    };

    HttpServer(WorkerPool &pool, Options options, HttpHandler handler);

    /// Binds and listens. Fails with InvalidSetting when the address is invalid or in use.
    absl::Status open();

    /// Stops listening. Connections that wait in the kernel's backlog are accepted first: closing the listener would reset them, together
    /// with the requests that may have been sent on them.
    void close();

    /// Returns true until close() has taken effect on every event loop.
    bool listening() const
    {
        return m_openAcceptors > 0;
    }

    /// Sets whether connections close after the next answer. Applies to requests that are completely received from now on. Used while the
    /// process is shutting down, or when callers should connect elsewhere.
    void setKeepAliveDisabled(bool disabled)
    {
        m_keepAliveDisabled = disabled;
    }

    /// Closes connections on which no request has arrived. One that has just been accepted is left open for its first request.
    void closeIdleConnections();

    /// Returns the number of open connections, including those on which a request is being read or answered.
    std::size_t connections() const
    {
        return m_connections;
    }

private:
    struct Session;

    asio::awaitable<void> accept(asio::ip::tcp::acceptor &acceptor);
    /// Closes the idle connections of one event loop. Called on that loop.
    void closeIdleConnectionsOf(const asio::any_io_executor &executor);
    void acceptPending(asio::ip::tcp::acceptor &acceptor, std::size_t most);
    void startSession(asio::ip::tcp::socket socket);
    asio::awaitable<void> serveConnection(asio::ip::tcp::socket socket);
    asio::awaitable<bool> serveRequest(Session &session);
    asio::awaitable<bool> awaitRequest(Session &session, const HttpLimits &limits);
    void countReceived(std::size_t bytes);
    void count(std::atomic<std::uint64_t> CallerCounts::*number);
    /// Adds the time since an event to a total, and to the longest.
    void measure(std::atomic<std::uint64_t> CallerCounts::*total, std::atomic<std::uint64_t> CallerCounts::*longest, Instant since);
    static asio::awaitable<void> drainBeforeClose(Session &session);

    WorkerPool &m_pool;
    Options m_options;
    HttpHandler m_handler;
    std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> m_acceptors;
    std::atomic<bool> m_keepAliveDisabled = false;
    std::atomic<std::size_t> m_openAcceptors = 0;
    std::atomic<std::size_t> m_connections = 0;
    /// Sessions that wait for the first byte of a request. Guarded by m_idleMutex, under which no other lock is taken.
    std::mutex m_idleMutex;
    std::set<Session *> m_idle;
};

/// Returns the JSON error body that every HTTP interface of the fleet uses.
std::string errorBody(const Failure &failure, std::string_view requestId);

/// Answers with a failure that consists only of a kind and a detail text.
asio::awaitable<void> respondFailure(HttpExchange &exchange, FailureKind kind, std::string_view detail);

/// Adds a Retry-After header if the failure says when to retry.
void appendRetryAfter(std::vector<HttpHeader> &headers, const Failure &failure);

/// Returns the HTTP status for a kind of failure.
unsigned httpStatus(FailureKind kind);

}
