#include "net/answerreader.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace bamboohold {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);
/// The least that is read at a time, if there is room for it.
constexpr std::size_t s_minReadBytes = 512;

}

asio::awaitable<AnswerReader::Result> AnswerReader::readHead()
{
    Result result;
    while (!result.error && !m_parser.is_header_done()) {
        const Result more = co_await readSome();
        result.error = more.error;
        result.parsed += more.parsed;
    }
    co_return result;
}

asio::awaitable<AnswerReader::Result> AnswerReader::readSome()
{
    Result result{.error = http::error::need_more};
    if (m_buffer.size() > 0) {
        result.error = m_feed.feed(m_parser, m_buffer, result.parsed);
        if (result.error != http::error::need_more) {
            // Other connections have their turn between the parts of an answer that has already arrived.
            co_await asio::post(m_stream.get_executor(), asio::use_awaitable);
        }
    }
    while (result.error == http::error::need_more) {
        result.error = co_await fillBuffer();
        if (result.error == asio::error::eof && m_parser.got_some()) {
            result.error = {};
            m_parser.put_eof(result.error);
        } else if (result.error == asio::error::eof) {
            result.error = http::error::end_of_stream;
        } else if (!result.error) {
            result.error = m_feed.feed(m_parser, m_buffer, result.parsed);
        }
    }
    co_return result;
}

asio::awaitable<boost::system::error_code> AnswerReader::fillBuffer()
{
    const std::size_t left = m_buffer.max_size() - m_buffer.size();
    const std::size_t size = std::min(left, std::max(s_minReadBytes, m_buffer.capacity() - m_buffer.size()));
    if (size == 0) {
        co_return http::error::buffer_overflow;
    }
    const auto [error, received] = co_await m_stream.async_read_some(m_buffer.prepare(size), s_tuple);
    m_buffer.commit(received);
    co_return error;
}

}
