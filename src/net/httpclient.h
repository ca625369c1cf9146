#pragma once

#include "clock/instant.h"
#include "net/answerparser.h"
#include "net/answerreader.h"
#include "net/httpserver.h"
#include "net/sendstate.h"
#include "net/traffic.h"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// A request to an engine, a plain service or the platform, with its time limits.
struct HttpCallOptions {
    std::string method = "GET";
    std::string path = "/";
    /// Empty: no Content-Type is added; the caller may set one in the headers.
    std::string contentType = "application/json";
    std::string body;
    std::vector<HttpHeader> headers;
    /// Value of the Host header. Empty: the address and port of the endpoint.
    std::string host;
    /// Timeout of each wait for the peer, not of the whole answer: it applies to the head and, for a streamed answer, to each further part
    /// of the body.
    Duration timeout = std::chrono::seconds(10);
    /// Called when a wait of a streamed call has taken `timeout`, instead of giving the call up. Returns how much longer to wait; zero or
    /// less: the call fails. Empty: it fails.
    std::function<Duration()> renewWait;
    /// Timeout of each wait for more of a non-streamed answer after its head. A peer that has sent the head in time is alive, and the time
    /// that the rest takes depends on its size and on the link, so only silence ends it. With a single timeout for the whole answer, a
    /// large one would never get across a slow link and the repeated attempts would keep that link saturated. The value allows for a
    /// retransmission after two consecutive losses.
    Duration stallTimeout = std::chrono::seconds(1);
    /// Time limit of a non-streamed answer as a whole, against a peer that keeps sending a few bytes indefinitely.
    Duration replyTimeout = std::chrono::seconds(30);
    /// Timeout of connecting. A host without power does not respond at all, and the kernel would retry for minutes.
    Duration connectTimeout = std::chrono::seconds(10);
    /// The request is not sent at or after this time; the call then fails as not executed.
    std::optional<Instant> sendBefore;
    /// Called when opening a new connection has succeeded, or has failed because of `connectTimeout`, with the time that it took. Not
    /// called for a reused connection, or when the peer refused the connection. Empty: not reported.
    std::function<void(bool opened, Duration took)> onConnect;
    /// Checked immediately before the request is sent. If it returns false, the request is not sent and the call fails as not executed.
    /// Empty: the request is always sent.
    std::function<bool()> stillWanted;
    /// Maximum size of the body, in bytes. If the Content-Length exceeds it, the body is not read and the connection is closed. 0: no
    /// limit but that of all answers.
    std::uint64_t maxReplyBodyBytes = 0;
    /// Returns whether an answer's headers show that it belongs to this request. Empty: every answer does. Some peers send an answer twice,
    /// and the second copy would be taken for the answer to the next request on the connection.
    std::function<bool(const http::fields &)> matchesRequest;
};

/// A complete answer.
struct HttpReply {
    unsigned status = 0;
    std::string contentType;
    std::string body;
    http::fields headers;
    AnswerFraming framing = AnswerFraming::Length;
    /// Time until the head of the answer arrived. It measures how long the peer took, without the transfer of the body.
    Duration headDelay{};
    /// True when the body exceeded maxReplyBodyBytes and was not read.
    bool bodyTooLarge = false;
};

/// An HTTP client for one endpoint. Keeps idle connections open for later calls. Bound to one event loop.
class HttpClient
{
public:
    /// The bytes on the connections are counted in `traffic`, if any.
    HttpClient(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint, std::shared_ptr<Traffic> traffic = nullptr);

    /// Sends a request and reads the complete answer. Fails with TargetLost: with Executed::No when nothing was sent, with
    /// Executed::Unknown afterwards.
    asio::awaitable<absl::StatusOr<HttpReply>> call(HttpCallOptions options);

    /// Returns the endpoint that this client calls.
    const asio::ip::tcp::endpoint &endpoint() const
    {
        return m_endpoint;
    }

private:
    friend class HttpStreamCall;

    struct Connection {
        /// The most bytes that are held until they are a head, a line between chunks or the trailers.
        static constexpr std::size_t s_maxBufferedBytes = 128 * 1024;

        Connection(const asio::any_io_executor &executor, std::shared_ptr<Traffic> countedBy)
            : stream(executor)
            , buffer(s_maxBufferedBytes)
            , traffic(std::move(countedBy))
        {
            if (traffic) {
                ++traffic->targetConnections;
            }
        }

        /// The socket's own destructor would not reset the connection.
        ~Connection()
        {
            stream.close();
            if (traffic) {
                --traffic->targetConnections;
            }
        }

        Connection(const Connection &) = delete;
        Connection &operator=(const Connection &) = delete;

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        std::shared_ptr<Traffic> traffic;
        /// How far the last request has been sent.
        SendState request = SendState::Sent;
        /// The time at which the peer will close the idle connection according to its Keep-Alive header, less a safety margin.
        std::optional<Instant> idleUntil;
    };

    using ConnectionPtr = std::shared_ptr<Connection>;

    ConnectionPtr takeIdle();
    asio::awaitable<absl::StatusOr<ConnectionPtr>> connect(const HttpCallOptions &options);
    asio::awaitable<absl::Status> send(ConnectionPtr connection, std::shared_ptr<HttpRequest> request);
    void countReceived(std::size_t bytes);
    /// Reads the head of the final answer, after those of a few interim ones.
    asio::awaitable<absl::Status>
    receiveHead(Connection &connection, std::optional<AnswerParser> &parser, std::optional<AnswerReader> &reader, Instant by);
    asio::awaitable<absl::Status>
    receive(Connection &connection, std::optional<AnswerParser> &received, const HttpCallOptions &options, HttpReply &reply);
    void keepForReuse(ConnectionPtr connection, const http::fields &answer);

    asio::any_io_executor m_executor;
    asio::ip::tcp::endpoint m_endpoint;
    std::shared_ptr<Traffic> m_traffic;
    std::vector<ConnectionPtr> m_idle;
};

/// A call whose answer is read in parts as it arrives.
class HttpStreamCall
{
public:
    HttpStreamCall(HttpClient &client, HttpCallOptions options);

    /// Sends the request and waits for the head of the answer. Fails like HttpClient::call, and with Cancelled and Executed::No when the
    /// request was not sent because of cancel(), sendBefore or stillWanted.
    asio::awaitable<absl::Status> start();

    /// Returns the status code of the answer.
    unsigned status() const;

    /// Returns the content type of the answer.
    std::string contentType() const;

    /// Returns the headers of the answer.
    const http::fields &headers() const;

    /// Returns what tells where the answer ends. Call after start().
    AnswerFraming framing() const;

    /// Changes the timeout of each further wait.
    void setTimeout(Duration timeout)
    {
        m_options.timeout = timeout;
    }

    /// Returns the next part of the body, empty at its end. Fails with AnswerIncomplete when the connection ends before the answer is
    /// complete, or when no part of the body has arrived within the timeout, whatever else has.
    asio::awaitable<absl::StatusOr<std::string>> readSome();

    /// Closes the connection, which tells the peer to stop. A pending start() or readSome() fails.
    void cancel();

    /// Returns true after cancel(), which means that the peer did not abort the answer.
    bool cancelled() const
    {
        return m_cancelled;
    }

private:
    /// A wait for the peer, which may be renewed while it lasts. Shared with the timer, which may fire when the wait has ended.
    struct Wait {
        Wait(const asio::any_io_executor &executor, Instant limit)
            : timer(executor)
            , by(limit)
        {
        }

        asio::steady_timer timer;
        Instant by;
        bool ended = false;
        bool timedOut = false;
    };

    std::shared_ptr<Wait> beginWait(Instant by);
    void armTimer(const std::shared_ptr<Wait> &wait);
    /// Ends the wait. Returns whether it has timed out.
    static bool endWait(Wait &wait);
    /// Moves the limit of a wait that has passed. Returns false if the wait is not renewed.
    bool renew(Instant &by);

    asio::awaitable<absl::Status> readHead(Instant by);
    asio::awaitable<absl::StatusOr<std::string>> readPart(Instant by);
    /// Reads an answer to another request to its end.
    asio::awaitable<absl::Status> skipBody(Instant by);

    HttpClient &m_client;
    HttpCallOptions m_options;
    HttpClient::ConnectionPtr m_connection;
    std::optional<AnswerParser> m_parser;
    std::optional<AnswerReader> m_reader;
    /// Bytes of the current answer after its head, and those of its body.
    std::size_t m_receivedBytes = 0;
    std::size_t m_bodyBytes = 0;
    bool m_cancelled = false;
    /// True when the connection carried an answer to another request, so that nothing that arrives on it later can be trusted.
    bool m_foreignReplySeen = false;
};

}
