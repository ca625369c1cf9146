#pragma once

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace bamboohold {

/// Exit codes of the command-line client, as listed in its manual page.
enum class ExitCode {
    Done = 0,
    /// The operation was attempted and failed.
    Failed = 1,
    /// The command line or a document is invalid; nothing was attempted.
    Usage = 2,
    /// The operation conflicts with another operator's change that was accepted first.
    Conflict = 3,
    /// The platform could not be reached.
    Unreachable = 4,
};

/// The parsed command line of the client.
struct Arguments {
    /// The words of the command and its operands, without options.
    std::vector<std::string> positional;
    boost::asio::ip::tcp::endpoint platform;
    std::string output = "table";
    std::string author;
    std::string changeId;
    std::string issueKeys;
    bool dryRun = false;
    bool yes = false;
    bool help = false;
    bool version = false;
};

/// Parses the command line. Options can be given at any position, and each can also be set as BAMBOOHOLD_OPTION in the environment. Returns
/// InvalidSetting, with the option and the accepted values in its text, if an option is not valid.
absl::StatusOr<Arguments> readArguments(int argc, char **argv);

/// Returns the text printed by --help.
std::string clientHelp();

}
