#include "net/httpclient.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace bamboohold {

namespace {

constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t s_pieceBytes = 16 * 1024;
constexpr std::size_t s_maxIdle = 256;
constexpr std::uint64_t s_maxReplyBytes = 256 * 1024 * 1024;

HttpRequest makeRequest(const HttpCallOptions &options, const asio::ip::tcp::endpoint &endpoint)
{
    HttpRequest request;
    request.method_string(options.method);
    request.target(options.path);
    request.version(11);
    request.set(http::field::host, absl::StrCat(endpoint.address().to_string(), ":", endpoint.port()));
    for (const HttpHeader &header : options.headers) {
        request.set(header.name, header.value);
    }
    if (!options.body.empty() || options.method != "GET") {
        request.set(http::field::content_type, options.contentType);
        request.body() = options.body;
        request.prepare_payload();
    }
    return request;
}

absl::Status lost(const boost::system::error_code &error, Ran ran)
{
    return failed(FailureKind::TargetLost, error.message(), ran);
}

}

HttpClient::HttpClient(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint)
    : m_executor(std::move(executor))
    , m_endpoint(std::move(endpoint))
{
}

asio::awaitable<absl::StatusOr<std::unique_ptr<HttpClient::Connection>>> HttpClient::connect(Duration timeout)
{
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        // An idle connection that has become readable was closed by its peer: a request sent into it could be lost unseen.
        boost::system::error_code error;
        char byte = 0;
        connection->stream.socket().non_blocking(true, error);
        connection->stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        if (error == asio::error::would_block) {
            co_return connection;
        }
    }
    auto connection = std::make_unique<Connection>(m_executor);
    connection->stream.expires_after(timeout);
    const auto [error] = co_await connection->stream.async_connect(m_endpoint, s_tuple);
    if (error) {
        co_return lost(error, Ran::No);
    }
    boost::system::error_code ignored;
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return connection;
}

void HttpClient::giveBack(std::unique_ptr<Connection> connection)
{
    if (m_idle.size() < s_maxIdle) {
        connection->stream.expires_never();
        m_idle.push_back(std::move(connection));
    }
}

asio::awaitable<absl::StatusOr<HttpReply>> HttpClient::call(HttpCallOptions options)
{
    auto connected = co_await connect(options.timeout);
    if (!connected.ok()) {
        co_return connected.status();
    }
    auto connection = *std::move(connected);
    const HttpRequest request = makeRequest(options, m_endpoint);
    connection->stream.expires_after(options.timeout);
    const auto [writeError, written] = co_await http::async_write(connection->stream, request, s_tuple);
    if (writeError) {
        co_return lost(writeError, Ran::Unknown);
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(s_maxReplyBytes);
    connection->stream.expires_after(options.timeout);
    const auto [readError, size] = co_await http::async_read(connection->stream, connection->buffer, parser, s_tuple);
    if (readError) {
        co_return lost(readError, Ran::Unknown);
    }
    HttpReply reply{.status = parser.get().result_int()};
    reply.contentType = std::string(parser.get()[http::field::content_type]);
    reply.body = std::move(parser.get().body());
    if (parser.get().keep_alive()) {
        giveBack(std::move(connection));
    }
    co_return reply;
}

HttpStreamCall::HttpStreamCall(HttpClient &client, HttpCallOptions options)
    : m_client(client)
    , m_options(std::move(options))
    , m_piece(s_pieceBytes)
{
}

asio::awaitable<absl::Status> HttpStreamCall::start()
{
    auto connected = co_await m_client.connect(m_options.timeout);
    if (!connected.ok()) {
        co_return connected.status();
    }
    m_connection = *std::move(connected);
    if (m_cancelled) {
        co_return failed(FailureKind::Cancelled, "cancelled before it was sent", Ran::No);
    }
    const HttpRequest request = makeRequest(m_options, m_client.m_endpoint);
    m_connection->stream.expires_after(m_options.timeout);
    const auto [writeError, written] = co_await http::async_write(m_connection->stream, request, s_tuple);
    if (writeError) {
        co_return lost(writeError, Ran::Unknown);
    }
    m_parser = std::make_unique<Parser>();
    m_parser->body_limit(boost::none);
    m_connection->stream.expires_after(m_options.timeout);
    const auto [readError, size] = co_await http::async_read_header(m_connection->stream, m_connection->buffer, *m_parser, s_tuple);
    if (readError) {
        co_return lost(readError, Ran::Unknown);
    }
    co_return absl::OkStatus();
}

unsigned HttpStreamCall::status() const
{
    return m_parser->get().result_int();
}

std::string HttpStreamCall::contentType() const
{
    return std::string(m_parser->get()[http::field::content_type]);
}

asio::awaitable<absl::StatusOr<std::string>> HttpStreamCall::readSome()
{
    while (!m_parser->is_done()) {
        auto &body = m_parser->get().body();
        body.data = m_piece.data();
        body.size = m_piece.size();
        m_connection->stream.expires_after(m_options.timeout);
        const auto [error, size] = co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, s_tuple);
        if (error && error != http::error::need_buffer) {
            co_return failed(FailureKind::AnswerIncomplete, error.message(), Ran::Yes);
        }
        const std::size_t taken = m_piece.size() - m_parser->get().body().size;
        if (taken > 0) {
            co_return std::string(m_piece.data(), taken);
        }
    }
    if (m_connection && m_parser->get().keep_alive()) {
        m_client.giveBack(std::move(m_connection));
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
