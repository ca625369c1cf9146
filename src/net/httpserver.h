#pragma once

#include "clock/instant.h"
#include "net/clientresources.h"
#include "net/httpexchange.h"
#include "net/httplimits.h"
#include "net/readturns.h"
#include "net/traffic.h"
#include "net/workerpool.h"

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

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

class RequestReader;
enum class ReadProblem;

using HttpHandler = std::function<asio::awaitable<void>(HttpExchange &)>;

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
        /// The resources that the clients of this process share, and which of its sockets this is. Empty: clients take what they can.
        std::shared_ptr<ClientResources> resources;
        ClientSocket socket = ClientSocket::Callers;
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

    struct Listener {
        explicit Listener(asio::io_context &loop)
            : acceptor(loop)
            , turns(loop.get_executor())
        {
        }

        asio::ip::tcp::acceptor acceptor;
        ReadTurns turns;
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
    /// Whether there are places for new connections, and those that made way for others have ended.
    bool hasPlaces() const;
    /// Closes the idle connections of one event loop. Called on that loop.
    void closeIdleConnectionsOf(const asio::any_io_executor &executor);
    void acceptPending(Listener &listener, std::size_t most);
    void startSession(Listener &listener, asio::ip::tcp::socket socket);
    asio::awaitable<void> serveConnection(Listener &listener, asio::ip::tcp::socket socket);
    asio::awaitable<bool> serveRequest(Session &session);
    /// Calls the handler. If it throws, its caller is told that the request failed, or loses its connection in the middle of the answer.
    asio::awaitable<void> handle(HttpExchange &exchange);
    asio::awaitable<bool> awaitRequest(Session &session, const HttpLimits &limits);
    asio::awaitable<bool> readBody(Session &session, RequestReader &reader, HttpExchange &exchange, BodyUse use);
    void count(std::atomic<std::uint64_t> CallerCounts::*number);
    /// Adds the time since an event to a total, and to the longest.
    void measure(std::atomic<std::uint64_t> CallerCounts::*total, std::atomic<std::uint64_t> CallerCounts::*longest, Instant since);
    void countReceived(std::size_t bytes);
    /// Answers a request that could not be read, and counts why.
    asio::awaitable<void> respondUnreadable(Session &session, HttpExchange &exchange, ReadProblem problem);
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

}
