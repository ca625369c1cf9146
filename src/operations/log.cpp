#include "operations/log.h"

#include "clock/steadytime.h"
#include "operations/logoutput.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

namespace bamboohold {

namespace {

using Logger = boost::log::sources::severity_logger_mt<Severity>;

Logger &logger()
{
    static Logger s_logger;
    return s_logger;
}

LogIdentity &processIdentity()
{
    static LogIdentity s_identity;
    return s_identity;
}

std::string_view severityName(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return "debug";
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        break;
    }
    return "error";
}

/// Passes formatted lines to a non-blocking output. Calls are serialized by the lock of the sink frontend.
class LineBackend : public boost::log::sinks::basic_formatted_sink_backend<char>
{
public:
    void consume(const boost::log::record_view &, const string_type &line)
    {
        m_output.write(line);
    }

private:
    LogOutput m_output{LogOutput::Options{}};
};

boost::json::string text(std::string_view view)
{
    return boost::json::string(view.data(), view.size());
}

}

void initLog(const LogIdentity &identity, Severity minSeverity)
{
    processIdentity() = identity;
    auto sink = boost::make_shared<boost::log::sinks::synchronous_sink<LineBackend>>();
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->remove_all_sinks();
    boost::log::core::get()->add_sink(sink);
    boost::log::core::get()->set_filter(boost::log::expressions::attr<Severity>("Severity") >= minSeverity);
}

void logLine(Severity severity, std::string_view event, std::initializer_list<LogField> fields)
{
    auto record = logger().open_record(boost::log::keywords::severity = severity);
    if (!record) {
        return;
    }
    const LogIdentity &identity = processIdentity();
    boost::json::object line{{"time_ms", wallClockMs()}, {"severity", text(severityName(severity))}, {"event", text(event)}};
    line["role"] = identity.role;
    line["host"] = identity.host;
    line["failure_domain"] = identity.failureDomain;
    for (const LogField &field : fields) {
        boost::json::value &value = line[{field.name.data(), field.name.size()}];
        if (const auto *number = std::get_if<std::int64_t>(&field.value)) {
            value = *number;
        } else {
            value = text(std::get<std::string_view>(field.value));
        }
    }
    boost::log::record_ostream stream(record);
    stream << boost::json::serialize(line);
    stream.flush();
    logger().push_record(std::move(record));
}

}
