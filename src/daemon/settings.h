#pragma once

#include "clock/instant.h"
#include "failure/failure.h"

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bamboohold {

/// Which of the daemon's two roles a process has.
enum class Role {
    Router,
    Sidecar,
};

/// Everything a daemon is told at its start, checked. The only place that knows flags.
struct Settings {
    Role role = Role::Router;
    std::string host;
    std::string failureDomain;
    std::string address;
    std::uint16_t callerPort = 0;
    std::uint16_t operationsPort = 0;
    std::uint16_t linkPort = 0;
    boost::asio::ip::tcp::endpoint platform;
    /// Sidecar only.
    std::string target;
    boost::asio::ip::tcp::endpoint engine;
    std::uint32_t slots = 0;
    int workers = 2;
    Tokens defaultOutputTokens = 0;
    Tokens maxOutputTokens = 0;
    Duration grantHorizon{};
    Duration flushInterval{};
    Duration platformTimeout{};
    Duration configurationPollInterval{};
    Duration drainTimeout{};
    Duration defaultDeadline{};
    /// A router not heard of for this long is taken for dead and its grants are reclaimed.
    Duration reclaimTimeout{};
};

/// What the command line asked for.
struct SettingsResult {
    std::optional<Settings> settings;
    /// All mistakes at once.
    std::vector<Failure> errors;
    /// Text to print and exit with 0: help or version.
    std::string infoText;
};

/// Reads flags (`--name=value`), then environment variables (`BAMBOOHOLD_NAME`) for flags not given. Names the flag, the value and what is
/// accepted in each mistake.
SettingsResult readSettings(int argc, char **argv);

}
