#pragma once

#include "failure/failure.h"
#include "net/workerpool.h"

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
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
    HttpExchange(asio::ip::tcp::socket &socket, HttpRequest request);
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
    void cut();

    /// From now on the answer goes nowhere; for stand-ins that lose answers.
    void muteAnswer()
    {
        m_muted = true;
    }

    /// True after muteAnswer().
    bool muted() const
    {
        return m_muted;
    }

    /// Calls back once when the caller hangs up before the answer ends.
    void onHangUp(std::function<void()> callback);

    /// True when the connection can take another request.
    bool keepAlive() const
    {
        return m_open && m_request.keep_alive();
    }

    /// True once anything of an answer was sent.
    bool answered() const
    {
        return m_answered;
    }

private:
    struct HangUpWatch;

    asio::awaitable<bool> send(std::string_view first, std::string_view second = {}, std::string_view third = {});

    asio::ip::tcp::socket &m_socket;
    HttpRequest m_request;
    std::shared_ptr<HangUpWatch> m_watch;
    bool m_open = true;
    bool m_answered = false;
    bool m_muted = false;
};

using HttpHandler = std::function<asio::awaitable<void>(HttpExchange &)>;

/// Accepts HTTP connections on every loop of the pool and hands each request to the handler. A request that is too large or not HTTP is
/// answered with a typed error.
class HttpServer
{
public:
    struct Options {
        std::string address;
        std::uint16_t port = 0;
        std::size_t maxBodyBytes = 8 * 1024 * 1024;
    };

    HttpServer(WorkerPool &pool, Options options, HttpHandler handler);

    /// Binds and listens; a taken address is an InvalidSetting.
    absl::Status open();

    /// Takes no further connection.
    void close();

private:
    asio::awaitable<void> accept(asio::ip::tcp::acceptor &acceptor);
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);

    WorkerPool &m_pool;
    Options m_options;
    HttpHandler m_handler;
    std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> m_acceptors;
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
