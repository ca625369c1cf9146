#include "net/requestreader.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string_view>

namespace bamboohold {

namespace {

constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view s_continue = "HTTP/1.1 100 Continue\r\n\r\n";
/// A request whose framing (sizes of chunks, their extensions, trailers) takes more than this, and so many times its body, is refused.
constexpr std::uint64_t s_maxFramingBytes = 64 * 1024;
constexpr std::uint64_t s_maxFramingPerBody = 16;
/// What a field takes in memory beside its name and value.
constexpr std::uint64_t s_fieldOverhead = 80;
/// The part of a body that has to arrive within the time for a part.
constexpr std::uint64_t s_bodyPartBytes = 64 * 1024;
/// Longer bodies are read in larger parts.
constexpr std::size_t s_longBodyBytes = 16 * 1024;
constexpr std::size_t s_longBodyReadBytes = 16 * 1024;
constexpr std::size_t s_minReadBytes = 512;

bool isConnectionLost(const boost::system::error_code &error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message
        || error.category() != http::make_error_code(http::error::bad_method).category();
}

std::uint64_t fieldBytes(const HttpRequest &request)
{
    std::uint64_t bytes = 0;
    for (const auto &field : request) {
        bytes += field.name_string().size() + field.value().size() + s_fieldOverhead;
    }
    return bytes;
}

}

RequestReader::RequestReader(beast::tcp_stream &stream,
                             beast::flat_buffer &buffer,
                             ClientConnection &client,
                             ReadTurns &turns,
                             const HttpLimits &limits,
                             const std::shared_ptr<Traffic> &traffic)
    : m_stream(stream)
    , m_buffer(buffer)
    , m_client(client)
    , m_turns(turns)
    , m_limits(limits)
    , m_traffic(traffic)
{
    m_parser.header_limit(limits.maxHeaderBytes);
    m_parser.body_limit(limits.maxBodyBytes);
}

bool RequestReader::hasUnknownCoding() const
{
    return request().count(http::field::transfer_encoding) > 0 && !m_parser.chunked();
}

std::uint64_t RequestReader::longestBody() const
{
    return m_parser.content_length().value_or(m_limits.maxBodyBytes);
}

std::uint64_t RequestReader::bytesWith(std::uint64_t bodyCapacity) const
{
    const std::uint64_t buffer = m_buffer.max_size() > s_firstReadBytes ? m_buffer.max_size() : 0;
    return m_fieldBytes + buffer + 2 * bodyCapacity;
}

std::uint64_t RequestReader::mostBytes() const
{
    return m_fieldBytes + m_limits.maxHeaderBytes + s_longBodyReadBytes + s_firstReadBytes + 2 * longestBody();
}

boost::system::error_code RequestReader::parse()
{
    return m_buffer.size() > 0 ? m_feed.feed(m_parser, m_buffer, m_receivedBytes) : boost::system::error_code();
}

asio::awaitable<boost::system::error_code> RequestReader::readSome()
{
    co_await m_turns.take(m_buffer.max_size());
    const std::size_t left = m_buffer.max_size() - m_buffer.size();
    const std::size_t size = std::min(left, std::max(s_minReadBytes, m_buffer.capacity() - m_buffer.size()));
    const auto [error, received] = co_await m_stream.async_read_some(m_buffer.prepare(size), s_tuple);
    m_buffer.commit(received);
    countReceived(received);
    co_return error;
}

asio::awaitable<boost::system::error_code> RequestReader::readFields()
{
    boost::system::error_code error = http::error::need_more;
    while (error == http::error::need_more && !m_parser.is_header_done()) {
        // Fields take many times their bytes once they are parsed, which happens when the head is complete.
        const std::uint64_t most = bytesWith(0) + unparsedFieldBytes();
        const bool room = co_await m_client.growRequest(most, most);
        if (!room) {
            m_refusedRoom = true;
            co_return error;
        }
        error = parse();
        if (error == http::error::need_more && bufferFull()) {
            co_return error;
        }
        if (!m_parser.is_header_done() && (!error || error == http::error::need_more)) {
            const boost::system::error_code readError = co_await readSome();
            error = readError ? readError : http::error::need_more;
        }
    }
    co_return m_parser.is_header_done() ? boost::system::error_code() : error;
}

std::uint64_t RequestReader::unparsedFieldBytes() const
{
    const std::string_view unparsed(static_cast<const char *>(m_buffer.data().data()), m_buffer.size());
    return unparsed.size() + s_fieldOverhead * static_cast<std::uint64_t>(std::ranges::count(unparsed, '\n'));
}

asio::awaitable<ReadProblem> RequestReader::readHead()
{
    const std::size_t longHead = m_limits.maxHeaderBytes + s_firstReadBytes;
    m_buffer.max_size(std::max(m_buffer.size(), s_firstReadBytes));
    m_stream.expires_after(m_limits.headerTimeout);
    boost::system::error_code error = co_await readFields();
    if (error == http::error::need_more && !m_refusedRoom && m_buffer.max_size() < longHead) {
        m_buffer.max_size(longHead);
        m_stream.expires_after(m_limits.headerTimeout);
        error = co_await readFields();
    }
    m_stream.expires_never();
    if (error) {
        co_return problemOf(error);
    }
    m_receivedBytes = 0;
    m_fieldBytes = fieldBytes(request());
    co_return hasUnknownCoding() ? ReadProblem::Invalid : ReadProblem::None;
}

asio::awaitable<void> RequestReader::sendContinue()
{
    if (beast::iequals(request()[http::field::expect], "100-continue")) {
        co_await asio::async_write(m_stream, asio::buffer(s_continue), s_tuple);
    }
}

asio::awaitable<bool> RequestReader::growBody()
{
    std::string &body = m_parser.get().body();
    const std::uint64_t needed = std::min<std::uint64_t>(longestBody(), body.size() + std::max(m_buffer.max_size(), m_buffer.size()));
    if (body.capacity() >= needed) {
        co_return true;
    }
    const std::uint64_t capacity = std::min<std::uint64_t>(longestBody(), std::max<std::uint64_t>(needed, 2 * body.capacity()));
    const bool longBody = capacity >= s_longBodyBytes && m_buffer.max_size() < s_longBodyReadBytes;
    if (longBody) {
        m_buffer.max_size(s_longBodyReadBytes);
    }
    const bool granted = co_await m_client.growRequest(bytesWith(capacity), mostBytes());
    if (granted) {
        body.reserve(capacity);
        if (longBody) {
            m_buffer.reserve(s_longBodyReadBytes);
        }
        m_stream.expires_after(m_limits.bodyTimeout);
        m_partBytes = 0;
    }
    co_return granted;
}

asio::awaitable<ReadProblem> RequestReader::growBuffer()
{
    const std::size_t most = m_limits.maxHeaderBytes + s_firstReadBytes;
    if (m_buffer.max_size() >= most) {
        co_return inTrailers() ? ReadProblem::HeadOverLimit : ReadProblem::Invalid;
    }
    m_buffer.max_size(most);
    const bool granted = co_await m_client.growRequest(bytesWith(request().body().capacity()), mostBytes());
    co_return granted ? ReadProblem::None : ReadProblem::NoRoom;
}

asio::awaitable<ReadProblem> RequestReader::readBody(BodyUse use)
{
    co_await sendContinue();
    m_stream.expires_after(m_limits.bodyTimeout);
    // All that has been read is parsed at once, however many chunks it holds.
    m_parser.eager(true);
    ReadProblem problem = ReadProblem::None;
    while (!m_parser.is_done() && problem == ReadProblem::None) {
        problem = co_await readPart(use);
    }
    m_stream.expires_never();
    co_return problem;
}

asio::awaitable<ReadProblem> RequestReader::readPart(BodyUse use)
{
    const bool room = co_await growBody();
    if (!room) {
        co_return m_client.yields() == ClientQuota::Yield::No ? ReadProblem::NoRoom : ReadProblem::Stalled;
    }
    std::string &body = m_parser.get().body();
    const std::size_t before = body.size();
    boost::system::error_code error = parse();
    const std::uint64_t more = body.size() - before;
    m_bodyBytes += more;
    m_partBytes += more;
    m_client.recordProgress(more);
    if (use == BodyUse::Discard) {
        body.clear();
    }
    if (m_receivedBytes > s_maxFramingBytes + (s_maxFramingPerBody + 1) * m_bodyBytes) {
        co_return ReadProblem::Invalid;
    }
    if (m_parser.is_done()) {
        // With the trailers, which exist already, so that waiting for their room would be of no use.
        m_fieldBytes = fieldBytes(request());
        const bool fits = m_client.tryGrowRequest(bytesWith(body.capacity()), bytesWith(body.capacity()));
        co_return fits ? ReadProblem::None : ReadProblem::NoRoom;
    }
    if (error && error != http::error::need_more) {
        co_return problemOf(error);
    }
    if (bufferFull()) {
        co_return co_await growBuffer();
    }
    if (m_partBytes >= s_bodyPartBytes) {
        m_partBytes = 0;
        m_stream.expires_after(m_limits.bodyTimeout);
    }
    error = co_await readSome();
    co_return error ? problemOf(error) : ReadProblem::None;
}

ReadProblem RequestReader::problemOf(const boost::system::error_code &error) const
{
    if (m_client.yields() != ClientQuota::Yield::No) {
        return ReadProblem::Stalled;
    }
    if (m_refusedRoom) {
        return ReadProblem::NoRoom;
    }
    if (error == beast::error::timeout) {
        return ReadProblem::TooSlow;
    }
    if (error == http::error::body_limit) {
        return ReadProblem::BodyOverLimit;
    }
    // A head that fills the buffer without its end is over the limit.
    if (error == http::error::header_limit || (error == http::error::need_more && !m_parser.is_header_done())) {
        return ReadProblem::HeadOverLimit;
    }
    return isConnectionLost(error) ? ReadProblem::ConnectionLost : ReadProblem::Invalid;
}

bool RequestReader::inTrailers() const
{
    constexpr std::string_view lineEnd = "\r\n";
    std::string_view rest(static_cast<const char *>(m_buffer.data().data()), m_buffer.size());
    if (rest.starts_with(lineEnd)) {
        rest.remove_prefix(lineEnd.size());
    }
    // Unlike a chunk's size, its extensions and its data, the last chunk is read together with the trailers.
    return rest.find(lineEnd) != std::string_view::npos;
}

void RequestReader::countReceived(std::size_t bytes)
{
    if (m_traffic) {
        m_traffic->received += bytes;
    }
}

}
