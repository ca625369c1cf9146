#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <cstddef>
#include <stdexcept>

namespace bamboohold {

/// Passes what has arrived on a connection to one of Beast's parsers, and keeps it from ending the process because of what it parses.
class ParserFeed
{
public:
    /// Parses from the beginning of the buffer and removes what was parsed. Fails like the parser: with `need_more` if the buffer ends
    /// inside something that is parsed as a whole. Fails with `header_limit` for a field that is longer than Beast's container holds.
    /// `parsed` is increased by the bytes that were parsed.
    template<bool isRequest>
    boost::system::error_code
    feed(boost::beast::http::basic_parser<isRequest> &parser, boost::beast::flat_buffer &buffer, std::size_t &parsed)
    {
        boost::system::error_code error = boost::beast::http::error::need_more;
        if (buffer.size() < m_leastBytes) {
            return error;
        }
        try {
            const std::size_t size = parser.put(buffer.data(), error);
            buffer.consume(size);
            parsed += size;
        } catch (const std::length_error &) {
            return boost::beast::http::error::header_limit;
        }
        const bool insideChunks = error == boost::beast::http::error::need_more && parser.is_header_done() && parser.chunked();
        m_leastBytes = insideChunks ? s_lastChunkBytes : 1;
        return error;
    }

private:
    /// The shortest last chunk, with the line after it. Beast asserts that it never sees less of one for a second time.
    static constexpr std::size_t s_lastChunkBytes = 5;

    std::size_t m_leastBytes = 1;
};

}
