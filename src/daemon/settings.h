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

/// The role in which the daemon runs.
enum class Role {
    Router,
    Sidecar,
};

/// The validated settings of a daemon. Other code reads settings only from here, never from flags.
struct Settings {
    Role role = Role::Router;
    std::string host;
    std::string failureDomain;
    std::string address;
    std::uint16_t callerPort = 0;
    std::uint16_t operationsPort = 0;
    std::uint16_t linkPort = 0;
    boost::asio::ip::tcp::endpoint platform;
    /// Name of the target; set for sidecars only, as is the engine's endpoint.
    std::string target;
    boost::asio::ip::tcp::endpoint engine;
    std::uint32_t slots = 0;
    int workers = 2;
    Tokens defaultOutputTokens = 0;
    Tokens maxOutputTokens = 0;
    /// Time whose expected token demand a router holds in advance.
    Duration grantHorizon{};
    Duration flushInterval{};
    Duration platformTimeout{};
    Duration configurationPollInterval{};
    /// Maximum time for which a shutdown waits for requests in flight.
    Duration drainTimeout{};
    Duration defaultDeadline{};
    /// A router that has been inactive for this long is considered dead and its grants are reclaimed.
    Duration reclaimTimeout{};
    /// Memory in MB and descriptors that the process may take; 0: what the system allows.
    double memoryMb = 0;
    double maxDescriptors = 0;
};

/// The result of reading the command line and the environment.
struct SettingsResult {
    /// Empty if there are errors or if there is text to print.
    std::optional<Settings> settings;
    /// All errors found.
    std::vector<Failure> errors;
    /// Help or version text to print before exiting with status 0.
    std::string infoText;
};

/// Reads flags (`--name=value`), then environment variables (`BAMBOOHOLD_NAME`) for flags that were not given. Each error names the flag,
/// its value and the accepted values.
SettingsResult readSettings(int argc, char **argv);

}
