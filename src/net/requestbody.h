#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/string_body.hpp>

namespace bamboohold {

/// A body in a string, like `http::string_body`, except that a length that is merely announced reserves nothing: whoever reads the body
/// makes room for it before.
struct RequestBody : boost::beast::http::string_body {
    class reader // NOLINT(readability-identifier-naming): Beast looks for it by this name.
    {
    public:
        template<bool isRequest, class Fields>
        explicit reader(boost::beast::http::header<isRequest, Fields> &, value_type &body)
            : m_body(body)
        {
        }

        // NOLINTNEXTLINE(readability-identifier-naming)
        void init(const boost::optional<std::uint64_t> &, boost::system::error_code &error)
        {
            error = {};
        }

        template<class ConstBufferSequence>
        std::size_t put(const ConstBufferSequence &buffers, boost::system::error_code &error)
        {
            error = {};
            const std::size_t before = m_body.size();
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
            }
            return m_body.size() - before;
        }

        void finish(boost::system::error_code &error)
        {
            error = {};
        }

    private:
        value_type &m_body;
    };
};

}
