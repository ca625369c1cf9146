#pragma once

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace bamboohold {

/// Exit codes of the client, as its manual page lists them.
enum class ExitCode {
    Done = 0,
    /// The operation was tried and failed.
    Failed = 1,
    /// The command line or a document is wrong; nothing was tried.
    Usage = 2,
    /// Another operator's change was accepted in between.
    Conflict = 3,
    /// The platform could not be reached.
    Unreachable = 4,
};

/// The client's command line: options and the words of the command.
struct Arguments {
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

/// Reads the command line; options may stand anywhere, and each can be set as BAMBOOHOLD_OPTION. InvalidSetting names the option and what
/// is accepted.
absl::StatusOr<Arguments> readArguments(int argc, char **argv);

/// The text of --help.
std::string clientHelp();

}
