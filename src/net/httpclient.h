#pragma once

#include "clock/instant.h"
#include "net/httpserver.h"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// A request to an engine, a plain service or the platform.
struct HttpCallOptions {
    std::string method = "GET";
    std::string path = "/";
    /// Empty when the type, if any, stands among the headers.
    std::string contentType = "application/json";
    std::string body;
    std::vector<HttpHeader> headers;
    /// The Host header; empty: the address that is called.
    std::string host;
    /// Bound on each wait for the peer, not on the whole answer: for the head, and in a streamed answer for each further piece.
    Duration timeout = std::chrono::seconds(10);
    /// Bound on each wait for more of a whole answer that has begun to come. A peer that has answered in time is alive; how long the rest
    /// takes is a matter of its size and of the link, so only silence ends it. With one limit on the whole answer, a large one would never
    /// cross a slow link, and the attempts would keep that link full. Long enough for a retransmission after two losses in a row.
    Duration stallTimeout = std::chrono::seconds(1);
    /// Bound on a whole answer, against a peer that sends a little now and then for ever.
    Duration replyTimeout = std::chrono::seconds(30);
    /// Bound on opening a connection: a host without power answers nothing at all, and the kernel would try for minutes.
    Duration connectTimeout = std::chrono::seconds(10);
    /// The request is not sent any more from then on, and has not run.
    std::optional<Instant> sendBefore;
    /// Asked right before the request is sent; false: it is not sent, and has not run. Empty: it is sent.
    std::function<bool()> stillWanted;
    /// The longest body that the caller wants; a longer one, by the head's word, is left untaken, and its connection is closed. 0: any.
    std::uint64_t maxReplyBodyBytes = 0;
    /// Tells whether an answer's head belongs to this request; empty: every answer does. Some peers send an answer twice, and the second
    /// one then stands where the answer to the next request is expected.
    std::function<bool(const http::fields &)> matchesRequest;
};

/// A whole answer.
struct HttpReply {
    unsigned status = 0;
    std::string contentType;
    std::string body;
    /// How long its head took to come: what the peer needed, apart from the way of the body.
    Duration headDelay{};
    /// The body was longer than wanted and is not there.
    bool bodyTooLarge = false;
};

/// Keeps connections to one address open between calls. Bound to one event loop.
class HttpClient
{
public:
    HttpClient(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint);

    /// Sends a request and takes the whole answer. Failures: TargetLost with Executed::No when nothing was sent, with Executed::Unknown
    /// afterwards.
    asio::awaitable<absl::StatusOr<HttpReply>> call(HttpCallOptions options);

    /// The address it calls.
    const asio::ip::tcp::endpoint &endpoint() const
    {
        return m_endpoint;
    }

private:
    friend class HttpStreamCall;

    struct Connection {
        explicit Connection(const asio::any_io_executor &executor)
            : stream(executor)
        {
        }

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        /// True while a request is still being written.
        bool writing = false;
        /// When the peer is going to close the idle connection, by its own word.
        std::optional<Instant> idleUntil;
    };

    using ConnectionPtr = std::shared_ptr<Connection>;
    using ReplyParser = http::response_parser<http::string_body>;

    ConnectionPtr takeIdle();
    asio::awaitable<absl::StatusOr<ConnectionPtr>> connect(Duration timeout);
    asio::awaitable<absl::Status> send(ConnectionPtr connection, std::shared_ptr<HttpRequest> request);
    static asio::awaitable<absl::Status>
    receive(Connection &connection, ReplyParser &parser, const HttpCallOptions &options, HttpReply &reply);
    void keepForReuse(ConnectionPtr connection, const http::fields &answer);

    asio::any_io_executor m_executor;
    asio::ip::tcp::endpoint m_endpoint;
    std::vector<ConnectionPtr> m_idle;
};

/// One call whose answer is taken piece by piece.
class HttpStreamCall
{
public:
    HttpStreamCall(HttpClient &client, HttpCallOptions options);

    /// Sends the request and waits for the head of the answer. Failures as for HttpClient::call.
    asio::awaitable<absl::Status> start();

    /// Status of the answer's head.
    unsigned status() const;

    /// Content type of the answer's head.
    std::string contentType() const;

    /// The headers of the answer's head.
    const http::fields &headers() const;

    /// Changes the bound on each further wait.
    void setTimeout(Duration timeout)
    {
        m_options.timeout = timeout;
    }

    /// The next piece of the body, empty at its end. Fails with AnswerIncomplete when the peer cuts the answer.
    asio::awaitable<absl::StatusOr<std::string>> readSome();

    /// Closes the connection, which tells the peer to stop. A pending start or read ends with a failure.
    void cancel();

    /// True after cancel(): the peer did not break the answer off.
    bool cancelled() const
    {
        return m_cancelled;
    }

private:
    using Parser = http::response_parser<http::buffer_body>;

    asio::awaitable<absl::Status> readHead();

    HttpClient &m_client;
    HttpCallOptions m_options;
    HttpClient::ConnectionPtr m_connection;
    std::unique_ptr<Parser> m_parser;
    std::vector<char> m_chunk;
    bool m_cancelled = false;
    /// True when the connection carried something besides the one answer, so that nothing later on it can be trusted.
    bool m_foreignReplySeen = false;
};

}
