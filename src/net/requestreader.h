#pragma once

#include "net/clientconnection.h"
#include "net/httpexchange.h"
#include "net/httplimits.h"
#include "net/parserfeed.h"
#include "net/readturns.h"
#include "net/traffic.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <memory>

namespace bamboohold {

/// Why a request cannot be read.
enum class ReadProblem {
    None,
    /// The client has closed its side, or the connection was reset.
    ConnectionLost,
    /// It is not valid HTTP, or consists mostly of framing.
    Invalid,
    TooSlow,
    BodyOverLimit,
    /// The head, or the trailers.
    HeadOverLimit,
    /// There was no room for it in memory.
    NoRoom,
    /// It made no progress while others needed its room.
    Stalled,
};

/// Reads one request from a connection within its limits. Bytes that belong to no body, such as the sizes of chunks, their extensions and
/// trailers, are limited like a head. Room in memory is taken before bytes are read into it.
class RequestReader
{
public:
    /// All of these outlive the reader. `buffer` has what was read before, and keeps what belongs to the next request.
    RequestReader(beast::tcp_stream &stream,
                  beast::flat_buffer &buffer,
                  ClientConnection &client,
                  ReadTurns &turns,
                  const HttpLimits &limits,
                  const std::shared_ptr<Traffic> &traffic);

    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    /// The request as far as it has been read.
    const HttpRequest &request() const
    {
        return m_parser.get();
    }

    /// Whether the body has been read, or there is none.
    bool done() const
    {
        return m_parser.is_done();
    }

    /// Whether the request has a transfer coding that this server does not support. Its end is unknown then, and another request could be
    /// smuggled in its body.
    bool hasUnknownCoding() const;

    asio::awaitable<ReadProblem> readHead();

    /// Reads the body. Must not be called if there is none.
    asio::awaitable<ReadProblem> readBody(BodyUse use);

    /// Buffer size of the first read of a request. Most heads fit, and an idle connection does not hold more memory.
    static constexpr std::size_t s_firstReadBytes = 2048;

private:
    /// What the fields of the head will take in memory once they are parsed.
    std::uint64_t unparsedFieldBytes() const;
    /// Sends what a caller waits for that announces a body and wants to know whether it is welcome.
    asio::awaitable<void> sendContinue();
    /// Parses what has been read. Returns need_more if that ends inside something that is parsed as a whole.
    boost::system::error_code parse();
    /// Reads once from the connection.
    asio::awaitable<boost::system::error_code> readSome();
    /// Whether there is room for more bytes in the buffer.
    bool bufferFull() const
    {
        return m_buffer.size() >= m_buffer.max_size();
    }
    /// Reads and parses until the head is complete, or until the buffer is full.
    asio::awaitable<boost::system::error_code> readFields();
    /// Parses what has been read of the body, and reads more.
    asio::awaitable<ReadProblem> readPart(BodyUse use);
    /// Makes room for what may be added to the body by what has been read, and by the next read.
    asio::awaitable<bool> growBody();
    /// Makes room for a longer line of framing, or more trailers.
    asio::awaitable<ReadProblem> growBuffer();
    /// The memory that the request takes with so much room for its body: the body itself, as much again while it moves to a larger room and
    /// later on its way to a target, and what is read before it is parsed.
    std::uint64_t bytesWith(std::uint64_t bodyCapacity) const;
    /// The most that the request may take.
    std::uint64_t mostBytes() const;
    std::uint64_t longestBody() const;
    ReadProblem problemOf(const boost::system::error_code &error) const;
    /// Whether the bytes that have overflown the buffer are trailers. They are a chunk's size and its extensions otherwise.
    bool inTrailers() const;
    void countReceived(std::size_t bytes);

    beast::tcp_stream &m_stream;
    beast::flat_buffer &m_buffer;
    ClientConnection &m_client;
    ReadTurns &m_turns;
    const HttpLimits m_limits;
    std::shared_ptr<Traffic> m_traffic;
    http::request_parser<HttpRequest::body_type> m_parser;
    ParserFeed m_feed;
    /// There was no room for the head.
    bool m_refusedRoom = false;
    /// What the fields of the head take in memory.
    std::uint64_t m_fieldBytes = 0;
    /// Bytes after the head: with all framing, of the body, and of it since the time for the next part began.
    std::uint64_t m_receivedBytes = 0;
    std::uint64_t m_bodyBytes = 0;
    std::uint64_t m_partBytes = 0;
};

}
