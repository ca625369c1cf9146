#pragma once

#include "clock/instant.h"
#include "failure/failure.h"
#include "net/clientconnection.h"
#include "net/requestbody.h"
#include "net/traffic.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>

#include <cstdint>
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

using HttpRequest = http::request<RequestBody>;

/// A header field of a request or an answer.
struct HttpHeader {
    std::string name;
    std::string value;
};

/// What is done with the body of a request.
enum class BodyUse {
    Keep,
    /// It is read to its end, so that the connection can be used again, and takes no room.
    Discard,
};

/// A request received on a connection, with the means to answer it either completely or as a stream. Runs on the event loop of the
/// connection.
class HttpExchange
{
public:
    /// Reads the body of the request. Returns false when that fails.
    using BodyReader = std::function<asio::awaitable<bool>(HttpExchange &, BodyUse use)>;

    /// The request must outlive the exchange, and so must `client`, if any, which takes room for the answer. With connectionClose, the
    /// connection closes after the answer, and the answer has a `Connection: close` header. The bytes of the answer are counted in
    /// `traffic`, if any.
    HttpExchange(beast::tcp_stream &stream,
                 const HttpRequest &request,
                 bool connectionClose = false,
                 std::shared_ptr<Traffic> traffic = nullptr,
                 ClientConnection *client = nullptr);
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
    asio::awaitable<bool> readBody(BodyUse use = BodyUse::Keep);

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

    /// Waits until there is room for an answer that takes `bytes` by now and may take `most`. Returns false if there was none until then.
    asio::awaitable<bool> growAnswer(std::uint64_t bytes, std::uint64_t most, Instant by);

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

    /// Drops the callback. Call before what it refers to is destroyed, if the answer goes on.
    void ignoreCallerDisconnect();

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

    void setWriting(bool writing);
    asio::awaitable<bool> send(std::string_view first, std::string_view second = {}, std::string_view third = {});

    /// Sends the next part of the body of an answer that is broken off. Returns false at its end.
    asio::awaitable<bool> sendUnframed(std::string_view data);

    std::string head(unsigned status, std::string_view contentType, const std::vector<HttpHeader> &headers) const;

    beast::tcp_stream &m_stream;
    const HttpRequest &m_request;
    BodyReader m_bodyReader;
    std::shared_ptr<DisconnectWatch> m_watch;
    std::shared_ptr<Traffic> m_traffic;
    ClientConnection *m_client = nullptr;
    bool m_connectionClose = false;
    bool m_open = true;
    bool m_answered = false;
    bool m_responseDiscarded = false;
    /// The rest of the body that is sent before the answer is broken off; none: it is sent completely.
    std::optional<std::size_t> m_remainingBody;
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
