#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace bamboohold {

/// How much a log line matters.
enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

/// One named value of a log line.
struct LogField {
    std::string_view name;
    std::variant<std::string_view, std::int64_t> value;
};

/// Who writes: stands in every line of the process.
struct LogIdentity {
    std::string role;
    std::string host;
    std::string failureDomain;
};

/// Directs the process's log to standard output as JSON lines, without ever waiting for its reader.
void initLog(const LogIdentity &identity, Severity minSeverity);

/// Writes one line: time, severity, the event's stable name, identity and the fields given.
void logLine(Severity severity, std::string_view event, std::initializer_list<LogField> fields = {});

}
