#pragma once

#include "net/answerparser.h"
#include "net/parserfeed.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>

namespace bamboohold {

/// Reads one answer from a connection, within the time limit of the connection.
class AnswerReader
{
public:
    /// The outcome of a read, and the bytes that were parsed with it.
    struct Result {
        boost::system::error_code error;
        std::size_t parsed = 0;
    };

    /// All of these outlive the reader. `buffer` has what was read before, and keeps what follows the answer.
    AnswerReader(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, AnswerParser &parser)
        : m_stream(stream)
        , m_buffer(buffer)
        , m_parser(parser)
    {
    }

    /// Reads until the head is complete.
    boost::asio::awaitable<Result> readHead();

    /// Reads until a further part of the answer is parsed, or its end. Fails like the parser, with `end_of_stream` if the connection ends
    /// before the answer begins, and with `buffer_overflow` if the buffer is full of what is parsed as a whole.
    boost::asio::awaitable<Result> readSome();

private:
    /// Reads from the connection into the buffer.
    boost::asio::awaitable<boost::system::error_code> fillBuffer();

    boost::beast::tcp_stream &m_stream;
    boost::beast::flat_buffer &m_buffer;
    AnswerParser &m_parser;
    ParserFeed m_feed;
};

}
