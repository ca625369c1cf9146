#include "net/httpclient.h"

#include "clock/steadytime.h"
#include "net/httpfield.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <tuple>

namespace bamboohold {

namespace {

constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);
/// Maximum number of bytes of a request passed to the kernel at a time.
constexpr std::size_t s_writePartBytes = 64 * 1024;
constexpr std::size_t s_maxIdle = 256;
constexpr std::uint64_t s_maxReplyBytes = 16 * 1024 * 1024;
/// A longer request is written concurrently with the wait for its answer, because a peer may answer before it has read the whole request
/// and then stop reading.
constexpr std::size_t s_concurrentWriteBytes = 4096;
/// An idle connection is not reused during the last part of its keep-alive time, because the request could cross the peer's close. Half a
/// second covers a slow link and a peer that counts from its own last byte.
constexpr Duration s_idleMargin = std::chrono::milliseconds(500);
/// Maximum number of interim answers and answers to other requests that are skipped before the call fails.
constexpr int s_maxSkippedReplies = 3;
/// Maximum size of an answer to another request that is skipped.
constexpr std::size_t s_maxSkippedBytes = 256 * 1024;
/// An answer whose framing (sizes of chunks, their extensions, trailers) takes more than this, and so many times its body, is given up.
constexpr std::size_t s_maxFramingBytes = 64 * 1024;
constexpr std::size_t s_maxFramingPerBody = 16;

/// Fails with InvalidRequest if a field cannot be sent.
absl::StatusOr<std::shared_ptr<HttpRequest>> makeRequest(HttpCallOptions &options, const asio::ip::tcp::endpoint &endpoint)
{
    auto request = std::make_shared<HttpRequest>();
    request->method_string(options.method);
    request->target(options.path);
    request->version(11);
    request->set(http::field::host,
                 options.host.empty() ? absl::StrCat(endpoint.address().to_string(), ":", endpoint.port()) : options.host);
    for (const HttpHeader &header : options.headers) {
        const bool validName = isFieldName(header.name);
        if (!validName || !isFieldValue(header.value)) {
            const std::string name = validName ? header.name : "with an invalid name";
            return failed(FailureKind::InvalidRequest, absl::StrCat("the field ", name, " cannot be sent"), Executed::No);
        }
        request->insert(header.name, header.value);
    }
    if (!options.body.empty() || options.method != "GET") {
        if (!options.contentType.empty()) {
            request->set(http::field::content_type, options.contentType);
        }
        request->body() = std::move(options.body);
        request->prepare_payload();
    }
    return request;
}

absl::Status connectionFailure(const boost::system::error_code &error, Executed ran)
{
    return failed(FailureKind::TargetLost, error.message(), ran);
}

/// Returns the idle time from a `Keep-Alive: timeout=N` header, in whole seconds, or an empty optional when there is none.
std::optional<Duration> keepAliveTimeout(const http::fields &answer)
{
    const std::string value(answer["Keep-Alive"]);
    const std::size_t at = value.find("timeout=");
    if (at == std::string::npos) {
        return std::nullopt;
    }
    const std::string digits = value.substr(at + 8, value.find_first_not_of("0123456789", at + 8) - at - 8);
    std::int64_t whole = 0;
    if (!absl::SimpleAtoi(digits, &whole)) {
        return std::nullopt;
    }
    return std::chrono::seconds(whole);
}

/// Whether an answer consists mostly of framing.
bool isMostlyFraming(std::size_t received, std::size_t body)
{
    return received > s_maxFramingBytes + (s_maxFramingPerBody + 1) * body;
}

/// The time until an instant, at least a millisecond: a wait without time never ends.
Duration timeUntil(Instant by)
{
    return std::max<Duration>(by - steadyNow(), std::chrono::milliseconds(1));
}

bool hasNoPendingInput(asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    char byte = 0;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

}

HttpClient::HttpClient(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint, std::shared_ptr<Traffic> traffic)
    : m_executor(std::move(executor))
    , m_endpoint(std::move(endpoint))
    , m_traffic(std::move(traffic))
{
}

void HttpClient::countReceived(std::size_t bytes)
{
    if (m_traffic) {
        m_traffic->received += bytes;
    }
}

HttpClient::ConnectionPtr HttpClient::takeIdle()
{
    const Instant now = steadyNow();
    while (!m_idle.empty()) {
        ConnectionPtr connection = std::move(m_idle.back());
        m_idle.pop_back();
        const bool expired = connection->idleUntil && *connection->idleUntil <= now;
        // An idle connection that has become readable was either closed by its peer or holds unexpected bytes. A request sent on it could
        // be lost unnoticed, or those bytes could be taken for its answer.
        if (!expired && hasNoPendingInput(connection->stream.socket())) {
            return connection;
        }
    }
    return nullptr;
}

asio::awaitable<absl::StatusOr<HttpClient::ConnectionPtr>> HttpClient::connect(const HttpCallOptions &options)
{
    if (ConnectionPtr idle = takeIdle()) {
        co_return idle;
    }
    auto connection = std::make_shared<Connection>(m_executor, m_traffic);
    const Instant startedAt = steadyNow();
    connection->stream.expires_after(std::min(options.timeout, options.connectTimeout));
    const auto [error] = co_await connection->stream.async_connect(m_endpoint, s_tuple);
    const Duration took = steadyNow() - startedAt;
    // A shorter time limit of the call as a whole proves nothing about the peer.
    const bool timedOut = error == beast::error::timeout && took >= options.connectTimeout;
    if (options.onConnect && (!error || timedOut)) {
        options.onConnect(!error, took);
    }
    if (error) {
        co_return connectionFailure(error, Executed::No);
    }
    boost::system::error_code ignored;
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    // Closing resets the connection. Otherwise the kernel would go on sending an abandoned request, and deliver it whenever the network
    // allows.
    connection->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    co_return connection;
}

asio::awaitable<absl::Status> HttpClient::send(ConnectionPtr connection, std::shared_ptr<HttpRequest> request)
{
    connection->request = SendState::Sending;
    // The write may outlive this object: it runs beside the read of the answer, whose end may release the client.
    const std::shared_ptr<Traffic> traffic = m_traffic;
    http::request_serializer<RequestBody> serializer(*request);
    serializer.limit(s_writePartBytes);
    boost::system::error_code error;
    std::size_t written = 0;
    while (!error && !serializer.is_done()) {
        std::tie(error, written) = co_await http::async_write_some(connection->stream, serializer, s_tuple);
        if (traffic) {
            traffic->sent += written;
        }
    }
    connection->request = error ? SendState::Failed : SendState::Sent;
    if (error) {
        co_return connectionFailure(error, Executed::Unknown);
    }
    co_return absl::OkStatus();
}

asio::awaitable<absl::Status>
HttpClient::receiveHead(Connection &connection, std::optional<AnswerParser> &parser, std::optional<AnswerReader> &reader, Instant by)
{
    for (int skipped = 0; skipped <= s_maxSkippedReplies; ++skipped) {
        parser.emplace(connection.request, AnswerParser::Options{.maxPartBytes = s_maxReplyBytes});
        parser->body_limit(s_maxReplyBytes);
        connection.stream.expires_after(timeUntil(by));
        reader.emplace(connection.stream, connection.buffer, *parser);
        const auto [error, size] = co_await reader->readHead();
        countReceived(size);
        if (error) {
            co_return connectionFailure(error, Executed::Unknown);
        }
        if (!parser->isInterim()) {
            co_return absl::OkStatus();
        }
    }
    co_return failed(FailureKind::TargetLost, "only interim answers came", Executed::Unknown);
}

asio::awaitable<absl::Status>
HttpClient::receive(Connection &connection, std::optional<AnswerParser> &received, const HttpCallOptions &options, HttpReply &reply)
{
    const Instant startedAt = steadyNow();
    std::optional<AnswerReader> reader;
    const absl::Status head = co_await receiveHead(connection, received, reader, startedAt + options.timeout);
    if (!head.ok()) {
        co_return head;
    }
    AnswerParser &parser = *received;
    reply.headDelay = steadyNow() - startedAt;
    reply.bodyTooLarge = options.maxReplyBodyBytes > 0 && parser.content_length().value_or(0) > options.maxReplyBodyBytes;
    if (reply.bodyTooLarge) {
        co_return absl::OkStatus();
    }
    parser.eager(true);
    const Instant by = startedAt + options.replyTimeout;
    while (!parser.is_done()) {
        if (steadyNow() > by) {
            co_return failed(FailureKind::TargetLost, "the answer does not end", Executed::Unknown);
        }
        connection.stream.expires_after(std::min(timeUntil(by), options.stallTimeout));
        const auto [error, size] = co_await reader->readSome();
        countReceived(size);
        if (error) {
            // The number of received bytes distinguishes a peer that fell silent from one whose answer takes longer than the time limit.
            const std::string detail = absl::StrCat(error.message(), " after ", parser.bodySize(), " bytes of the answer");
            co_return failed(FailureKind::TargetLost, detail, Executed::Unknown);
        }
    }
    co_return absl::OkStatus();
}

void HttpClient::keepForReuse(ConnectionPtr connection, const http::fields &answer)
{
    const bool clean = connection->request == SendState::Sent && connection->buffer.size() == 0;
    if (!clean || m_idle.size() >= s_maxIdle) {
        return;
    }
    if (const auto promised = keepAliveTimeout(answer)) {
        connection->idleUntil = steadyNow() + *promised - s_idleMargin;
    }
    connection->stream.expires_never();
    m_idle.push_back(std::move(connection));
}

asio::awaitable<absl::StatusOr<HttpReply>> HttpClient::call(HttpCallOptions options)
{
    auto connected = co_await connect(options);
    if (!connected.ok()) {
        co_return connected.status();
    }
    ConnectionPtr connection = *std::move(connected);
    const auto request = makeRequest(options, m_endpoint);
    if (!request.ok()) {
        co_return request.status();
    }
    connection->stream.expires_after(options.timeout);
    const absl::Status sent = co_await send(connection, *request);
    if (!sent.ok()) {
        co_return sent;
    }
    std::optional<AnswerParser> answer;
    HttpReply reply;
    const absl::Status received = co_await receive(*connection, answer, options, reply);
    if (!received.ok()) {
        co_return received;
    }
    AnswerParser &parser = *answer;
    reply.status = parser.status();
    reply.framing = parser.framing();
    reply.contentType = std::string(parser.fields()[http::field::content_type]);
    reply.body = parser.takeBody();
    reply.headers = parser.fields();
    if (parser.keep_alive() && !reply.bodyTooLarge) {
        keepForReuse(std::move(connection), parser.fields());
    }
    co_return reply;
}

HttpStreamCall::HttpStreamCall(HttpClient &client, HttpCallOptions options)
    : m_client(client)
    , m_options(std::move(options))
{
}

asio::awaitable<absl::Status> HttpStreamCall::start()
{
    auto connected = co_await m_client.connect(m_options);
    if (!connected.ok()) {
        co_return connected.status();
    }
    m_connection = *std::move(connected);
    if (m_cancelled) {
        co_return failed(FailureKind::Cancelled, "cancelled before it was sent", Executed::No);
    }
    if (m_options.sendBefore && steadyNow() >= *m_options.sendBefore) {
        co_return failed(FailureKind::Cancelled, "its time to be sent is over", Executed::No);
    }
    if (m_options.stillWanted && !m_options.stillWanted()) {
        co_return failed(FailureKind::Cancelled, "nobody waits for it any more", Executed::No);
    }
    const auto request = makeRequest(m_options, m_client.m_endpoint);
    if (!request.ok()) {
        co_return request.status();
    }
    m_connection->stream.expires_after(m_options.timeout);
    if ((*request)->body().size() > s_concurrentWriteBytes) {
        // The wait for the answer reports a failure: its parser knows how far the request has been sent.
        m_connection->request = SendState::Sending;
        asio::co_spawn(m_client.m_executor, m_client.send(m_connection, *request), asio::detached);
    } else {
        const absl::Status sent = co_await m_client.send(m_connection, *request);
        if (!sent.ok()) {
            co_return sent;
        }
    }
    // All that is skipped takes its time from the same wait.
    const Instant by = steadyNow() + m_options.timeout;
    for (int skipped = 0; skipped <= s_maxSkippedReplies; ++skipped) {
        const absl::Status head = co_await readHead(by);
        if (!head.ok()) {
            co_return head;
        }
        const bool final = !m_parser->isInterim();
        if (final && (!m_options.matchesRequest || m_options.matchesRequest(headers()))) {
            co_return absl::OkStatus();
        }
        m_foreignReplySeen = m_foreignReplySeen || final;
        if (final) {
            const absl::Status skippedBody = co_await skipBody(by);
            if (!skippedBody.ok()) {
                co_return skippedBody;
            }
        }
    }
    co_return failed(FailureKind::TargetLost, "only answers to other requests came", Executed::Unknown);
}

asio::awaitable<absl::Status> HttpStreamCall::skipBody(Instant by)
{
    std::size_t skipped = 0;
    while (!m_parser->is_done()) {
        const auto part = co_await readPart(by);
        if (!part.ok()) {
            co_return failed(FailureKind::TargetLost, "the connection ended within an answer to another request", Executed::Unknown);
        }
        skipped += part->size();
        if (skipped > s_maxSkippedBytes) {
            co_return failed(FailureKind::TargetLost, "an answer to another request does not end", Executed::Unknown);
        }
    }
    co_return absl::OkStatus();
}

asio::awaitable<absl::Status> HttpStreamCall::readHead(Instant by)
{
    m_receivedBytes = 0;
    m_bodyBytes = 0;
    if (!m_connection) {
        co_return failed(FailureKind::TargetLost, "the connection ended after an answer to another request", Executed::Unknown);
    }
    m_parser.emplace(m_connection->request, AnswerParser::Options{.withoutBody = m_options.method == "HEAD"});
    const std::shared_ptr<Wait> wait = beginWait(by);
    m_reader.emplace(m_connection->stream, m_connection->buffer, *m_parser);
    const auto [error, size] = co_await m_reader->readHead();
    const bool timedOut = endWait(*wait);
    m_client.countReceived(size);
    if (error) {
        co_return connectionFailure(timedOut ? beast::error::timeout : error, Executed::Unknown);
    }
    co_return absl::OkStatus();
}

std::shared_ptr<HttpStreamCall::Wait> HttpStreamCall::beginWait(Instant by)
{
    auto wait = std::make_shared<Wait>(m_client.m_executor, by);
    if (m_options.renewWait) {
        m_connection->stream.expires_never();
        armTimer(wait);
    } else {
        m_connection->stream.expires_after(timeUntil(by));
    }
    return wait;
}

void HttpStreamCall::armTimer(const std::shared_ptr<Wait> &wait)
{
    wait->timer.expires_after(timeUntil(wait->by));
    // This object outlives the wait.
    wait->timer.async_wait([this, wait](const boost::system::error_code &error) {
        if (error || wait->ended) {
            return;
        }
        if (renew(wait->by)) {
            armTimer(wait);
            return;
        }
        wait->timedOut = true;
        if (m_connection) {
            m_connection->stream.close();
        }
    });
}

bool HttpStreamCall::endWait(Wait &wait)
{
    wait.ended = true;
    wait.timer.cancel();
    return wait.timedOut;
}

bool HttpStreamCall::renew(Instant &by)
{
    const Duration more = m_options.renewWait ? m_options.renewWait() : Duration::zero();
    by = more > Duration::zero() ? steadyNow() + more : by;
    return more > Duration::zero();
}

unsigned HttpStreamCall::status() const
{
    return m_parser->status();
}

std::string HttpStreamCall::contentType() const
{
    return std::string(m_parser->fields()[http::field::content_type]);
}

const http::fields &HttpStreamCall::headers() const
{
    return m_parser->fields();
}

AnswerFraming HttpStreamCall::framing() const
{
    return m_parser->framing();
}

asio::awaitable<absl::StatusOr<std::string>> HttpStreamCall::readSome()
{
    return readPart(steadyNow() + m_options.timeout);
}

asio::awaitable<absl::StatusOr<std::string>> HttpStreamCall::readPart(Instant by)
{
    while (!m_parser->is_done()) {
        // Without this, bytes that are not of the body would be read for as long as they come without a pause.
        if (steadyNow() > by && !renew(by)) {
            co_return failed(FailureKind::AnswerIncomplete, "no part of the body came in time", Executed::Yes);
        }
        const std::shared_ptr<Wait> wait = beginWait(by);
        const auto [error, size] = co_await m_reader->readSome();
        const bool timedOut = endWait(*wait);
        by = wait->by;
        m_client.countReceived(size);
        if (error && error != http::error::need_buffer) {
            const boost::system::error_code cause = timedOut ? beast::error::timeout : error;
            co_return failed(FailureKind::AnswerIncomplete, cause.message(), Executed::Yes);
        }
        std::string part = m_parser->takeBody();
        m_receivedBytes += size;
        m_bodyBytes += part.size();
        if (isMostlyFraming(m_receivedBytes, m_bodyBytes)) {
            co_return failed(FailureKind::AnswerIncomplete, "the answer is mostly framing", Executed::Yes);
        }
        if (!part.empty()) {
            co_return part;
        }
    }
    const bool reusable = m_connection && m_parser->keep_alive() && !m_foreignReplySeen;
    if (reusable && !m_parser->isInterim()) {
        m_client.keepForReuse(std::move(m_connection), m_parser->fields());
    }
    co_return std::string();
}

void HttpStreamCall::cancel()
{
    m_cancelled = true;
    if (m_connection) {
        m_connection->stream.close();
    }
}

}
