#include "net/answerparser.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <utility>

namespace bamboohold {

namespace http = boost::beast::http;

namespace {

constexpr unsigned s_firstStatus = 100;
constexpr unsigned s_switchingProtocols = 101;
constexpr unsigned s_firstFinalStatus = 200;
constexpr unsigned s_noContent = 204;
constexpr unsigned s_lastStatus = 599;
/// Transfer codings exist from this version on, as Beast numbers versions.
constexpr int s_http11 = 11;
/// The most bytes that the extensions of all chunks may take.
constexpr std::size_t s_maxExtensionBytes = 64 * 1024;

}

std::string_view framingName(AnswerFraming framing)
{
    switch (framing) {
    case AnswerFraming::Length:
        return "length";
    case AnswerFraming::Chunks:
        return "chunks";
    case AnswerFraming::Connection:
        break;
    }
    return "connection";
}

AnswerParser::AnswerParser(const SendState &request, Options options)
    : m_request(request)
    , m_options(options)
{
    skip(options.withoutBody);
    body_limit(boost::none);
}

bool AnswerParser::isInterim() const
{
    return m_status < s_firstFinalStatus;
}

AnswerFraming AnswerParser::framing() const
{
    if (chunked()) {
        return AnswerFraming::Chunks;
    }
    return need_eof() ? AnswerFraming::Connection : AnswerFraming::Length;
}

std::string AnswerParser::takeBody()
{
    return std::exchange(m_body, {});
}

AnswerParser::ErrorCode AnswerParser::transferCodingProblem() const
{
    const auto [first, end] = m_fields.equal_range(http::field::transfer_encoding);
    if (first == end) {
        return {};
    }
    // A coding that is not undone here would reach the caller as the body. Without `chunked` as the last one the body has no end of its
    // own, and before HTTP/1.1, or where an answer has no body, a coding means that the sender is mistaken about the framing.
    const bool chunkedAlone = std::next(first) == end && boost::beast::iequals(first->value(), "chunked");
    const bool allowed = m_version >= s_http11 && !isInterim() && m_status != s_noContent;
    return chunkedAlone && allowed ? ErrorCode() : ErrorCode(http::error::bad_transfer_encoding);
}

AnswerParser::ErrorCode AnswerParser::headProblem() const
{
    if (m_status < s_firstStatus || m_status > s_lastStatus || m_status == s_switchingProtocols) {
        return http::error::bad_status;
    }
    const bool neverHasBody = isInterim() || m_status == s_noContent;
    if (neverHasBody && content_length().value_or(0) > 0) {
        return http::error::bad_content_length;
    }
    return transferCodingProblem();
}

std::size_t AnswerParser::append(StringView part, ErrorCode &error)
{
    const std::size_t taken = std::min(part.size(), m_options.maxPartBytes - m_body.size());
    m_body.append(part.data(), taken);
    if (taken < part.size()) {
        error = http::error::need_buffer;
    }
    return taken;
}

void AnswerParser::on_response_impl(int code, StringView, int version, ErrorCode &)
{
    m_status = static_cast<unsigned>(code);
    m_version = version;
}

void AnswerParser::on_field_impl(http::field name, StringView nameText, StringView value, ErrorCode &)
{
    // The limit of the head keeps names and values below the size at which the container throws.
    if (!m_headComplete) {
        m_fields.insert(name, nameText, value);
    }
}

void AnswerParser::on_header_impl(ErrorCode &error)
{
    m_headComplete = true;
    error = headProblem();
}

std::size_t AnswerParser::on_body_impl(StringView body, ErrorCode &error)
{
    return append(body, error);
}

void AnswerParser::on_chunk_header_impl(std::uint64_t, StringView extensions, ErrorCode &error)
{
    m_extensionBytes += extensions.size();
    if (m_extensionBytes > s_maxExtensionBytes) {
        error = http::error::bad_chunk_extension;
    }
}

std::size_t AnswerParser::on_chunk_body_impl(std::uint64_t, StringView body, ErrorCode &error)
{
    return append(body, error);
}

void AnswerParser::on_finish_impl(ErrorCode &error)
{
    if (framing() == AnswerFraming::Connection && !isOrderlyClose(m_request)) {
        error = http::error::partial_message;
    }
}

}
