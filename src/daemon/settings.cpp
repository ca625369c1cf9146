#include "daemon/settings.h"

#include "daemon/version.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <cstdlib>
#include <string_view>

DEFINE_string(role, "", "router or sidecar");
DEFINE_string(host, "", "name of this host in the inventory");
DEFINE_string(failure_domain, "", "failure domain of this host");
DEFINE_string(address, "", "IP address to listen on; peers connect to it");
DEFINE_int32(caller_port, 8080, "router: port for callers, 1 to 65535");
DEFINE_int32(operations_port, 7401, "port for health, metrics and status, 1 to 65535");
DEFINE_int32(link_port, 7400, "port for messages between routers and sidecars, 1 to 65535");
DEFINE_string(platform, "", "IP:port of the platform's table and object store");
DEFINE_string(target, "", "sidecar: name of its target");
DEFINE_string(engine, "", "sidecar: IP:port of its engine or plain service");
DEFINE_int32(slots, 32, "sidecar: concurrent requests that its target can run, 1 to 100000");
DEFINE_int32(workers, 2, "number of event loops, 1 to 64");
DEFINE_int64(default_output_tokens, 256, "output limit, in tokens, of a request that sets none, 1 to max_output_tokens");
DEFINE_int64(max_output_tokens, 8192, "maximum output limit, in tokens, that a request may set, 1 to 1000000");
DEFINE_int64(grant_horizon_ms, 900000, "time whose expected token demand a router holds in advance, in ms, 100 to 86400000");
DEFINE_int64(flush_interval_ms, 1000, "interval between flushes to the table, in ms, 10 to 60000");
DEFINE_int64(platform_timeout_ms, 2000, "timeout of calls to the platform, in ms, 10 to 60000");
DEFINE_int64(configuration_poll_ms, 1000, "interval at which the configuration is polled, in ms, 10 to 60000");
DEFINE_int64(drain_limit_ms, 30000, "maximum time for requests in flight to finish at shutdown, in ms, 0 to 3600000");
DEFINE_int64(default_deadline_ms, 120000, "deadline of a request that sets none, in ms, 100 to 3600000");
DEFINE_int64(reclaim_after_ms, 15000, "inactivity after which a router is considered dead, in ms, 1000 to 3600000");
DEFINE_int64(memory_mb, 0, "memory that the process may take, in MB, of which a third is for clients; 0: all of the host's");
DEFINE_int64(max_fds, 0, "descriptors that the process may open; 0: as many as the system allows");

namespace bamboohold {

namespace {

constexpr std::int64_t s_maxPort = 65535;
constexpr std::int64_t s_maxMemoryMb = 1'000'000'000;
constexpr std::int64_t s_maxDescriptors = 1'000'000'000;
constexpr std::string_view s_environmentPrefix = "BAMBOOHOLD_";

/// Validates single settings and collects the errors.
class SettingsValidator
{
public:
    explicit SettingsValidator(std::vector<Failure> &errors)
        : m_errors(errors)
    {
    }

    void addError(std::string_view flag, std::string_view value, std::string_view expected)
    {
        m_errors.push_back({.kind = FailureKind::InvalidSetting,
                            .detail = std::string("--").append(flag).append("='").append(value).append("': expected ").append(expected)});
    }

    std::int64_t inRange(std::string_view flag, std::int64_t value, std::int64_t min, std::int64_t max)
    {
        if (value < min || value > max) {
            addError(flag, absl::StrCat(value), absl::StrCat("a whole number from ", min, " to ", max));
        }
        return value;
    }

    std::uint16_t port(std::string_view flag, std::int64_t value)
    {
        return static_cast<std::uint16_t>(inRange(flag, value, 1, s_maxPort));
    }

    std::string required(std::string_view flag, const std::string &value)
    {
        if (value.empty()) {
            addError(flag, value, "a non-empty name");
        }
        return value;
    }

    boost::asio::ip::tcp::endpoint endpoint(std::string_view flag, const std::string &value)
    {
        const std::pair<std::string, std::string> parts = absl::StrSplit(value, absl::MaxSplits(':', 1));
        boost::system::error_code error;
        const auto address = boost::asio::ip::make_address(parts.first, error);
        std::int64_t number = 0;
        if (error || !absl::SimpleAtoi(parts.second, &number) || number < 1 || number > s_maxPort) {
            addError(flag, value, "an IP address and port, such as 127.0.0.1:9000");
            return {};
        }
        return {address, static_cast<std::uint16_t>(number)};
    }

private:
    std::vector<Failure> &m_errors;
};

Duration milliseconds(std::int64_t value)
{
    return std::chrono::milliseconds(value);
}

std::vector<gflags::CommandLineFlagInfo> daemonFlags()
{
    std::vector<gflags::CommandLineFlagInfo> all;
    gflags::GetAllFlags(&all);
    std::erase_if(all, [](const gflags::CommandLineFlagInfo &flag) {
        return flag.filename.find("settings.cpp") == std::string::npos;
    });
    return all;
}

std::string helpText()
{
    std::string text = "bambooholdd: bamboohold's daemon\n\nUsage: bambooholdd --role=router|sidecar [--FLAG=VALUE ...]\n"
                       "Each flag can also be set as an environment variable BAMBOOHOLD_FLAG; the command line takes precedence.\n\n";
    for (const gflags::CommandLineFlagInfo &flag : daemonFlags()) {
        absl::StrAppend(&text,
                        "  --",
                        flag.name,
                        "  ",
                        flag.description,
                        flag.default_value.empty() ? "" : " (default " + flag.default_value + ")",
                        "\n");
    }
    return text;
}

void setFlag(const std::string &name, const std::string &value, std::string_view source, SettingsResult &result)
{
    gflags::CommandLineFlagInfo info;
    const bool known = gflags::GetCommandLineFlagInfo(name.c_str(), &info) && info.filename.find("settings.cpp") != std::string::npos;
    if (!known) {
        result.errors.push_back({.kind = FailureKind::InvalidSetting,
                                 .detail = std::string(source).append(" '").append(name).append("': unknown flag; see --help")});
        return;
    }
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
        SettingsValidator(result.errors).addError(name, value, std::string("a value of type ").append(info.type));
    }
}

void readCommandLine(int argc, char **argv, SettingsResult &result, absl::flat_hash_set<std::string> &givenOnCommandLine)
{
    for (int index = 1; index < argc; ++index) {
        std::string argument = argv[index];
        if (argument == "--help" || argument == "-h") {
            result.infoText = helpText();
            return;
        }
        if (argument == "--version") {
            result.infoText = std::string("bambooholdd ").append(s_version).append("\n");
            return;
        }
        if (!argument.starts_with("--")) {
            result.errors.push_back({.kind = FailureKind::InvalidSetting,
                                     .detail = absl::StrCat("'", argument, "': arguments must have the form --flag=value")});
            continue;
        }
        const std::pair<std::string, std::string> parts = absl::StrSplit(argument.substr(2), absl::MaxSplits('=', 1));
        std::string value = parts.second;
        if (argument.find('=') == std::string::npos && index + 1 < argc) {
            value = argv[++index];
        }
        setFlag(parts.first, value, "flag", result);
        givenOnCommandLine.insert(parts.first);
    }
}

void readEnvironment(SettingsResult &result, const absl::flat_hash_set<std::string> &givenOnCommandLine)
{
    for (const gflags::CommandLineFlagInfo &flag : daemonFlags()) {
        const std::string variable = std::string(s_environmentPrefix).append(absl::AsciiStrToUpper(flag.name));
        const char *value = std::getenv(variable.c_str());
        if (value != nullptr && !givenOnCommandLine.contains(flag.name)) {
            setFlag(flag.name, value, "environment variable", result);
        }
    }
}

Settings validateSettings(SettingsValidator &validator)
{
    Settings settings;
    if (FLAGS_role != "router" && FLAGS_role != "sidecar") {
        validator.addError("role", FLAGS_role, "'router' or 'sidecar'");
    }
    settings.role = FLAGS_role == "sidecar" ? Role::Sidecar : Role::Router;
    settings.host = validator.required("host", FLAGS_host);
    settings.failureDomain = validator.required("failure_domain", FLAGS_failure_domain);
    boost::system::error_code error;
    boost::asio::ip::make_address(FLAGS_address, error);
    if (error) {
        validator.addError("address", FLAGS_address, "an IP address");
    }
    settings.address = FLAGS_address;
    settings.callerPort = validator.port("caller_port", FLAGS_caller_port);
    settings.operationsPort = validator.port("operations_port", FLAGS_operations_port);
    settings.linkPort = validator.port("link_port", FLAGS_link_port);
    const bool portConflict =
        settings.linkPort == settings.operationsPort || (settings.role == Role::Router && settings.callerPort == settings.operationsPort);
    if (portConflict) {
        validator.addError("operations_port", absl::StrCat(FLAGS_operations_port), "a port that no other flag uses");
    }
    settings.platform = validator.endpoint("platform", FLAGS_platform);
    if (settings.role == Role::Sidecar) {
        settings.target = validator.required("target", FLAGS_target);
        settings.engine = validator.endpoint("engine", FLAGS_engine);
    } else if (!FLAGS_target.empty() || !FLAGS_engine.empty()) {
        validator.addError("target", FLAGS_target, "no value without --role=sidecar; the same applies to --engine");
    }
    settings.slots = static_cast<std::uint32_t>(validator.inRange("slots", FLAGS_slots, 1, 100'000));
    settings.workers = static_cast<int>(validator.inRange("workers", FLAGS_workers, 1, 64));
    settings.maxOutputTokens = validator.inRange("max_output_tokens", FLAGS_max_output_tokens, 1, 1'000'000);
    settings.defaultOutputTokens = validator.inRange("default_output_tokens", FLAGS_default_output_tokens, 1, FLAGS_max_output_tokens);
    settings.grantHorizon = milliseconds(validator.inRange("grant_horizon_ms", FLAGS_grant_horizon_ms, 100, 86'400'000));
    settings.flushInterval = milliseconds(validator.inRange("flush_interval_ms", FLAGS_flush_interval_ms, 10, 60'000));
    settings.platformTimeout = milliseconds(validator.inRange("platform_timeout_ms", FLAGS_platform_timeout_ms, 10, 60'000));
    settings.configurationPollInterval = milliseconds(validator.inRange("configuration_poll_ms", FLAGS_configuration_poll_ms, 10, 60'000));
    settings.drainTimeout = milliseconds(validator.inRange("drain_limit_ms", FLAGS_drain_limit_ms, 0, 3'600'000));
    settings.defaultDeadline = milliseconds(validator.inRange("default_deadline_ms", FLAGS_default_deadline_ms, 100, 3'600'000));
    settings.reclaimTimeout = milliseconds(validator.inRange("reclaim_after_ms", FLAGS_reclaim_after_ms, 1'000, 3'600'000));
    settings.memoryMb = static_cast<double>(validator.inRange("memory_mb", FLAGS_memory_mb, 0, s_maxMemoryMb));
    settings.maxDescriptors = static_cast<double>(validator.inRange("max_fds", FLAGS_max_fds, 0, s_maxDescriptors));
    return settings;
}

}

SettingsResult readSettings(int argc, char **argv)
{
    SettingsResult result;
    absl::flat_hash_set<std::string> givenOnCommandLine;
    readCommandLine(argc, argv, result, givenOnCommandLine);
    if (!result.infoText.empty()) {
        return result;
    }
    readEnvironment(result, givenOnCommandLine);
    SettingsValidator validator(result.errors);
    Settings settings = validateSettings(validator);
    if (result.errors.empty()) {
        result.settings = std::move(settings);
    }
    return result;
}

}
