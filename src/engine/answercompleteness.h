#pragma once

#include "net/httpclient.h"

#include <boost/json/stream_parser.hpp>

#include <optional>
#include <string_view>

namespace bamboohold {

class UsageScanner;

/// Decides whether an engine's answer that has ended is complete. The connection of a crashed engine can be closed in order, which then
/// ends an answer without a length as if it were complete. Performs no I/O.
class AnswerCompleteness
{
public:
    AnswerCompleteness(AnswerFraming framing, std::string_view contentType);

    /// Processes the next part of the answer.
    void feed(std::string_view bytes);

    /// Whether the answer is complete, if nothing more follows: an event stream has the marker that `scanner` looks for, and a JSON answer
    /// that ends with its connection is a whole document. Other answers that end with their connection show nothing, and count as complete.
    bool complete(const UsageScanner &scanner) const;

private:
    bool m_eventStream;
    /// For a JSON answer that ends with its connection.
    std::optional<boost::json::stream_parser> m_json;
    bool m_malformed = false;
};

}
