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
    /// Reads the body of the request. Returns false when that fails.
    using BodyReader = std::function<asio::awaitable<bool>(HttpExchange &)>;

    /// The request must outlive the exchange. With connectionClose, the connection closes after the answer, and the answer has a
    /// `Connection: close` header. The bytes of the answer are counted in `traffic`, if any.
    HttpExchange(beast::tcp_stream &stream,
                 const HttpRequest &request,
                 bool connectionClose = false,
                 std::shared_ptr<Traffic> traffic = nullptr);
    ~HttpExchange();

    /// Returns the request. Its body is empty until it has been read.
    const HttpRequest &request() const
    {
        return m_request;
    }

    /// Sets the function by which the handler reads the body. An answer that is given before closes the connection.
    void setBodyReader(BodyReader reader)
    {
        m_bodyReader = std::move(reader);
    }

    /// Reads the body unless it has been read. Returns false when the connection has ended, or when the caller was told that its request
    /// is too large, too slow or not valid.
    asio::awaitable<bool> readBody();

    /// Returns false while the body has not been read.
    bool bodyRead() const
    {
        return !m_bodyReader;
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
        return m_open && !m_connectionClose && bodyRead() && m_request.keep_alive();
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
    const HttpRequest &m_request;
    BodyReader m_bodyReader;
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
        /// Calls the handler before the body of a request is read, so that it can refuse a request at the cost of its head. It reads the
        /// body by HttpExchange::readBody().
        bool handlerReadsBodies = false;
    };

    HttpServer(WorkerPool &pool, Options options, HttpHandler handler);

    /// Binds and listens. Fails with InvalidSetting when the address is invalid or in use.
    absl::Status open();

    /// Stops listening. Connections that wait in the kernel's backlog are accepted first: closing the listener would reset them, together
    /// with the requests that may have been sent on them.
    void close();

    /// Accepts at most this many further connections on each event loop; none: any number. The system refuses the others, which costs this
    /// host next to nothing, and resets those that wait. Without effect after close().
    void limitConnections(std::optional<std::size_t> most);

    /// The number of connections accepted so far.
    std::uint64_t accepted() const
    {
        return m_accepted;
    }

    /// Returns true until close() has taken effect on every event loop, also while new connections are refused.
    bool listening() const
    {
        return m_openListeners > 0;
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
    struct Reading;

    struct Listener {
        explicit Listener(asio::io_context &loop)
            : acceptor(loop)
        {
        }

        asio::ip::tcp::acceptor acceptor;
        /// Further connections that may be accepted; none: any number.
        std::optional<std::size_t> remaining;
        bool closed = false;
    };

    /// Binds and listens.
    boost::system::error_code listen(asio::ip::tcp::acceptor &acceptor) const;
    asio::awaitable<void> accept(Listener &listener);
    void limitConnections(Listener &listener, std::optional<std::size_t> most);
    /// Counts an accepted connection. Returns whether further ones may be accepted.
    bool mayAcceptMore(Listener &listener);
    /// Closes the idle connections of one event loop. Called on that loop.
    void closeIdleConnectionsOf(const asio::any_io_executor &executor);
    void acceptPending(Listener &listener, std::size_t most);
    void startSession(asio::ip::tcp::socket socket);
    asio::awaitable<void> serveConnection(asio::ip::tcp::socket socket);
    asio::awaitable<bool> serveRequest(Session &session);
    asio::awaitable<bool> awaitRequest(Session &session, const HttpLimits &limits);
    asio::awaitable<bool> readBody(Reading &reading, HttpExchange &exchange);
    void count(std::atomic<std::uint64_t> CallerCounts::*number);
    /// Adds the time since an event to a total, and to the longest.
    void measure(std::atomic<std::uint64_t> CallerCounts::*total, std::atomic<std::uint64_t> CallerCounts::*longest, Instant since);
    void countReceived(std::size_t bytes);
    asio::awaitable<void> drainBeforeClose(Session &session);

    WorkerPool &m_pool;
    Options m_options;
    HttpHandler m_handler;
    asio::ip::tcp::endpoint m_endpoint;
    std::vector<std::unique_ptr<Listener>> m_listeners;
    std::atomic<bool> m_keepAliveDisabled = false;
    std::atomic<std::size_t> m_openListeners = 0;
    std::atomic<std::size_t> m_connections = 0;
    std::atomic<std::uint64_t> m_accepted = 0;
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
