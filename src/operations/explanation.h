#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// One line of a process's log.
struct LogEntry {
    std::int64_t timeMs = 0;
    std::string event;
    std::string host;
    boost::json::object fields;

    /// Returns a text field, or an empty string when it is absent or not a string.
    std::string text(std::string_view name) const;

    /// Returns an integer field, or 0 when it is absent or not an integer.
    std::int64_t number(std::string_view name) const;
};

/// Parses a log line. Text in front of the JSON object, as added by log collectors, is skipped. Returns an empty optional when the line
/// contains no log entry.
std::optional<LogEntry> readLogEntry(std::string_view line);

/// What the logs of all processes tell about one request.
struct Explanation {
    /// The log entries of the request, and those of its team, target and host shortly before it ended, ordered by time.
    std::vector<LogEntry> entries;
    /// The outcome of the request. Empty when no log contains its end.
    std::string outcome;
    /// The cause of the outcome in one sentence, for the engineer on call.
    std::string cause;
};

/// Collects the log entries related to a request and determines the cause of its outcome.
Explanation explainRequest(std::span<const LogEntry> log, std::string_view requestId);

}
