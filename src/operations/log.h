#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace bamboohold {

/// Severity of a log line.
enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

/// A named value in a log line.
struct LogField {
    std::string_view name;
    std::variant<std::string_view, std::int64_t> value;
};

/// Identifies the process in each of its log lines.
struct LogIdentity {
    std::string role;
    std::string host;
    std::string failureDomain;
};

/// Writes log lines of at least minSeverity to standard output as JSON lines. Never blocks on a slow reader.
void initLog(const LogIdentity &identity, Severity minSeverity);

/// Writes one line with the time, the severity, the stable name of the event, the identity of the process and the given fields.
void logLine(Severity severity, std::string_view event, std::initializer_list<LogField> fields = {});

}
