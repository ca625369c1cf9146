#include "net/httpexchange.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace bamboohold {

namespace {

constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);

/// A caller that accepts no data for this long is gone or stuck. Its connection is closed to free the memory.
constexpr Duration s_writeTimeout = std::chrono::seconds(5);
/// Maximum number of bytes passed to the kernel at a time.
constexpr std::size_t s_writePartBytes = 64 * 1024;

void appendHeader(std::string &head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

std::array<asio::const_buffer, 3> gatherBuffers(std::string_view first, std::string_view second, std::string_view third)
{
    return {asio::buffer(first), asio::buffer(second), asio::buffer(third)};
}

}

/// Waits for the caller to close its side while an answer is in progress. Shared with the pending wait, which can outlive the exchange.
struct HttpExchange::DisconnectWatch {
    std::function<void()> callback;
};

HttpExchange::HttpExchange(
    beast::tcp_stream &stream, const HttpRequest &request, bool connectionClose, std::shared_ptr<Traffic> traffic, ClientConnection *client)
    : m_stream(stream)
    , m_request(request)
    , m_traffic(std::move(traffic))
    , m_client(client)
    , m_connectionClose(connectionClose)
{
}

HttpExchange::~HttpExchange()
{
    ignoreCallerDisconnect();
    if (m_watch) {
        boost::system::error_code ignored;
        m_stream.socket().cancel(ignored);
    }
}

std::string_view HttpExchange::path() const
{
    const std::string_view target(m_request.target().data(), m_request.target().size());
    return target.substr(0, target.find('?'));
}

std::string_view HttpExchange::header(std::string_view name) const
{
    const auto found = m_request.find({name.data(), name.size()});
    if (found == m_request.end()) {
        return {};
    }
    return {found->value().data(), found->value().size()};
}

asio::any_io_executor HttpExchange::executor()
{
    return m_stream.get_executor();
}

asio::awaitable<bool> HttpExchange::growAnswer(std::uint64_t bytes, std::uint64_t most, Instant by)
{
    if (m_client == nullptr) {
        co_return true;
    }
    co_return co_await m_client->growAnswer(bytes, most, by);
}

asio::awaitable<bool> HttpExchange::readBody(BodyUse use)
{
    if (!m_bodyReader) {
        co_return true;
    }
    const bool read = co_await m_bodyReader(*this, use);
    m_bodyReader = nullptr;
    co_return read;
}

std::string HttpExchange::head(unsigned status, std::string_view contentType, const std::vector<HttpHeader> &headers) const
{
    std::string text = absl::StrCat("HTTP/1.1 ", status, " ");
    text.append(http::obsolete_reason(http::int_to_status(status))).append("\r\n");
    if (!contentType.empty()) {
        appendHeader(text, "Content-Type", contentType);
    }
    for (const HttpHeader &header : headers) {
        appendHeader(text, header.name, header.value);
    }
    if (!keepAlive()) {
        appendHeader(text, "Connection", "close");
    }
    return text;
}

void HttpExchange::setWriting(bool writing)
{
    if (m_client != nullptr) {
        m_client->setWriting(writing);
    }
}

asio::awaitable<bool> HttpExchange::send(std::string_view first, std::string_view second, std::string_view third)
{
    m_answered = true;
    if (m_responseDiscarded) {
        co_return true;
    }
    const std::array<asio::const_buffer, 3> buffers = gatherBuffers(first, second, third);
    const HeldBytes held(m_traffic, first.size() + second.size() + third.size());
    std::size_t counted = 0;
    // Counts each part as the connection accepts it: a long answer to a slow caller would otherwise count all at once, at its end.
    const auto countSent = [this, &counted](const boost::system::error_code &error, std::size_t sent) -> std::size_t {
        const std::size_t more = sent - std::exchange(counted, sent);
        if (m_traffic) {
            m_traffic->sent += more;
        }
        if (m_client != nullptr && more > 0) {
            m_client->recordProgress(more);
        }
        return error ? 0 : s_writePartBytes;
    };
    setWriting(true);
    m_stream.expires_after(s_writeTimeout);
    const auto [error, written] = co_await asio::async_write(m_stream, buffers, countSent, s_tuple);
    m_stream.expires_never();
    countSent(error, written);
    setWriting(false);
    if (error) {
        m_open = false;
    }
    co_return !error;
}

asio::awaitable<void>
HttpExchange::respond(unsigned status, std::string_view contentType, std::string body, std::vector<HttpHeader> headers)
{
    std::string text = head(status, contentType, headers);
    if (m_client != nullptr) {
        m_client->answerComplete();
    }
    if (m_remainingBody) {
        co_await send(text.append("\r\n"));
        co_await sendUnframed(body);
        co_return;
    }
    appendHeader(text, "Content-Length", absl::StrCat(body.size()));
    text.append("\r\n");
    const std::string_view sentBody = m_request.method() == http::verb::head ? std::string_view() : std::string_view(body);
    co_await send(text, sentBody);
}

asio::awaitable<bool> HttpExchange::beginStream(unsigned status, std::string_view contentType, std::vector<HttpHeader> headers)
{
    std::string text = head(status, contentType, headers);
    if (!m_remainingBody) {
        appendHeader(text, "Transfer-Encoding", "chunked");
    }
    text.append("\r\n");
    co_return co_await send(text);
}

asio::awaitable<bool> HttpExchange::sendUnframed(std::string_view data)
{
    const std::string_view part = data.substr(0, *m_remainingBody);
    *m_remainingBody -= part.size();
    const bool sent = co_await send(part);
    co_return sent &&part.size() == data.size();
}

asio::awaitable<bool> HttpExchange::writeChunk(std::string_view data)
{
    if (m_remainingBody) {
        co_return co_await sendUnframed(data);
    }
    std::array<char, 20> size{};
    const auto end = std::to_chars(size.data(), size.data() + 16, data.size(), 16).ptr;
    end[0] = '\r';
    end[1] = '\n';
    const auto sizeLength = static_cast<std::size_t>(end - size.data()) + 2;
    co_return co_await send(std::string_view(size.data(), sizeLength), data, "\r\n");
}

asio::awaitable<bool> HttpExchange::endStream()
{
    if (m_remainingBody) {
        co_return m_open;
    }
    co_return co_await send("0\r\n\r\n");
}

void HttpExchange::abortConnection()
{
    m_open = false;
    m_stream.close();
}

bool HttpExchange::isCallerDisconnected()
{
    boost::system::error_code error;
    char byte = 0;
    m_stream.socket().non_blocking(true, error);
    const std::size_t size = m_stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return size == 0 && error != asio::error::would_block;
}

void HttpExchange::onCallerDisconnect(std::function<void()> callback)
{
    m_watch = std::make_shared<DisconnectWatch>();
    m_watch->callback = std::move(callback);
    m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read, [watch = m_watch, this](const boost::system::error_code &error) {
        if (!watch->callback) {
            return;
        }
        char byte = 0;
        boost::system::error_code peekError;
        const std::size_t size = error ? 0 : m_stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, peekError);
        if (size == 0) {
            m_open = false;
            std::exchange(watch->callback, nullptr)();
        }
    });
}

void HttpExchange::ignoreCallerDisconnect()
{
    if (m_watch) {
        m_watch->callback = nullptr;
    }
}

std::string errorBody(const Failure &failure, std::string_view requestId)
{
    const auto text = [](std::string_view view) {
        return boost::json::string(view.data(), view.size());
    };
    boost::json::object error{
        {"type", text(failureName(failure.kind))}, {"message", failure.detail}, {"ran", text(executedName(failure.executed))}};
    if (!requestId.empty()) {
        error["request_id"] = text(requestId);
    }
    if (failure.retryAfterMs) {
        error["retry_after_ms"] = *failure.retryAfterMs;
    }
    return boost::json::serialize(boost::json::object{{"error", std::move(error)}});
}

asio::awaitable<void> respondFailure(HttpExchange &exchange, FailureKind kind, std::string_view detail)
{
    const Failure failure{.kind = kind, .detail = std::string(detail)};
    std::string body = errorBody(failure, "");
    co_await exchange.respond(httpStatus(kind), "application/json", std::move(body));
}

void appendRetryAfter(std::vector<HttpHeader> &headers, const Failure &failure)
{
    if (failure.retryAfterMs) {
        headers.push_back({.name = "Retry-After", .value = absl::StrCat((*failure.retryAfterMs + 999) / 1000)});
    }
}

unsigned httpStatus(FailureKind kind)
{
    switch (kind) {
    case FailureKind::InvalidSetting:
    case FailureKind::InvalidDocument:
    case FailureKind::InvalidRequest:
        return 400;
    case FailureKind::Unauthenticated:
        return 401;
    case FailureKind::Forbidden:
    case FailureKind::BudgetClosed:
        return 403;
    case FailureKind::UnknownModel:
    case FailureKind::UnknownService:
    case FailureKind::NotFound:
        return 404;
    case FailureKind::AlreadyRunning:
    case FailureKind::TableConflict:
    case FailureKind::TableGuard:
    case FailureKind::Fenced:
        return 409;
    case FailureKind::BudgetExhausted:
        return 429;
    case FailureKind::Cancelled:
        return 499;
    case FailureKind::TargetLost:
    case FailureKind::AnswerIncomplete:
    case FailureKind::EngineFailed:
        return 502;
    case FailureKind::DeadlineExceeded:
        return 504;
    case FailureKind::BudgetUnreachable:
    case FailureKind::NoTarget:
    case FailureKind::Overloaded:
    case FailureKind::Draining:
    case FailureKind::ClaimUnavailable:
    case FailureKind::TableUnreachable:
    case FailureKind::ObjectUnreachable:
    case FailureKind::Quarantined:
        break;
    }
    return 503;
}

}
