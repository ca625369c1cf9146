#pragma once

#include "net/sendstate.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/fields.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohold {

/// What tells the reader of an answer where it ends.
enum class AnswerFraming {
    /// A Content-Length header, or a status without a body.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection, which looks the same when the sender crashes.
    Connection,
};

/// Returns the name of the framing as it appears in logs.
std::string_view framingName(AnswerFraming framing);

/// Parses one answer. Decides for everything that reads answers whether the bytes of a connection are a valid answer, and when it is
/// complete, by RFC 9110 and RFC 9112. Pure: bytes, or the end of the connection, in; the answer out. Never throws because of what it
/// parses.
///
/// Besides the errors of its base it fails with `bad_status` for a status outside 100 to 599 and for 101, which is an answer to an upgrade
/// that was not asked for; with `bad_transfer_encoding` for any coding but `chunked` alone, and where none is allowed; with
/// `bad_content_length` for a length where none is allowed; with `bad_chunk_extension` for extensions without end; and with
/// `partial_message` for a connection that did not close in order.
class AnswerParser : public boost::beast::http::basic_parser<false>
{
public:
    struct Options {
        /// The answer has no body whatever its head says, because the request was a HEAD request.
        bool withoutBody = false;
        /// The most bytes of the body that are parsed before takeBody(). A part that does not fit fails with `need_buffer`; the next one
        /// can be parsed after takeBody().
        std::size_t maxPartBytes = 16 * 1024;
    };

    /// `request` tells how far the request has been sent on the connection that the answer arrives on. It must outlive the
    /// parsing.
    AnswerParser(const SendState &request, Options options);

    /// The status code, once the head is complete.
    unsigned status() const
    {
        return m_status;
    }

    /// Whether another answer follows.
    bool isInterim() const;

    /// The fields of the head. Trailers are dropped: RFC 9110, section 6.5.1, forbids to merge them into the head.
    const boost::beast::http::fields &fields() const
    {
        return m_fields;
    }

    /// What tells where the answer ends, once the head is complete.
    AnswerFraming framing() const;

    /// The size of the part of the body that was parsed since the last takeBody(), in bytes.
    std::size_t bodySize() const
    {
        return m_body.size();
    }

    /// Returns the part of the body that was parsed since the last call.
    std::string takeBody();

private:
    using ErrorCode = boost::system::error_code;
    using StringView = boost::beast::string_view;

    /// Returns what is wrong with the head as a whole; no error if it is valid.
    ErrorCode headProblem() const;
    ErrorCode transferCodingProblem() const;
    /// Takes what fits of a part of the body. Returns its size.
    std::size_t append(StringView part, ErrorCode &error);

    // The names are those of the base class.
    // NOLINTBEGIN(readability-identifier-naming)
    void on_request_impl(boost::beast::http::verb, StringView, StringView, int, ErrorCode &) override
    {
    }
    void on_response_impl(int code, StringView reason, int version, ErrorCode &error) override;
    void on_field_impl(boost::beast::http::field name, StringView nameText, StringView value, ErrorCode &error) override;
    void on_header_impl(ErrorCode &error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorCode &) override
    {
    }
    std::size_t on_body_impl(StringView body, ErrorCode &error) override;
    void on_chunk_header_impl(std::uint64_t size, StringView extensions, ErrorCode &error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remain, StringView body, ErrorCode &error) override;
    void on_finish_impl(ErrorCode &error) override;
    // NOLINTEND(readability-identifier-naming)

    const SendState &m_request;
    Options m_options;
    unsigned m_status = 0;
    int m_version = 0;
    boost::beast::http::fields m_fields;
    bool m_headComplete = false;
    std::size_t m_extensionBytes = 0;
    std::string m_body;
};

}
