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

    /// A text field, empty when absent.
    std::string text(std::string_view name) const;

    /// A number field, 0 when absent.
    std::int64_t number(std::string_view name) const;
};

/// Reads a line; none when it holds no entry. Whatever a collector put before the entry is skipped.
std::optional<LogEntry> readLogEntry(std::string_view line);

/// What the logs of all processes say about one request.
struct Explanation {
    /// The lines about the request, and those about its team and target in the time before, in order.
    std::vector<LogEntry> entries;
    /// How it ended; empty when no log has its end.
    std::string outcome;
    /// One sentence for the engineer on call.
    std::string cause;
};

/// Joins the lines about a request and names what made it end as it did.
Explanation explainRequest(std::span<const LogEntry> log, std::string_view requestId);

}
