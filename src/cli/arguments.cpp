#include "cli/arguments.h"

#include "failure/failure.h"
#include "net/incarnation.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <cstdlib>

DEFINE_string(cli_platform, "127.0.0.1:7300", "IP:port of the platform's table and object store");
DEFINE_string(cli_output, "table", "table or json");
DEFINE_string(cli_author, "operator", "author recorded with the change");
DEFINE_string(cli_change_id, "", "identifier of the change, for retrying the same change; random by default");
DEFINE_string(cli_issue_keys, "", "inventory import: file to which new keys of teams without a key are written");
DEFINE_bool(cli_dry_run, false, "print what would change without changing it");
DEFINE_bool(cli_yes, false, "confirm operations that cannot be undone");

namespace bamboohold {

namespace {

constexpr std::string_view s_flagPrefix = "cli_";

std::vector<gflags::CommandLineFlagInfo> clientFlags()
{
    std::vector<gflags::CommandLineFlagInfo> all;
    gflags::GetAllFlags(&all);
    std::erase_if(all, [](const gflags::CommandLineFlagInfo &flag) {
        return !flag.name.starts_with(s_flagPrefix);
    });
    return all;
}

std::string optionName(const gflags::CommandLineFlagInfo &flag)
{
    std::string name = flag.name.substr(s_flagPrefix.size());
    std::replace(name.begin(), name.end(), '_', '-');
    return name;
}

absl::Status setOption(const std::string &option, const std::string &value)
{
    for (const gflags::CommandLineFlagInfo &flag : clientFlags()) {
        if (optionName(flag) != option) {
            continue;
        }
        if (gflags::SetCommandLineOption(flag.name.c_str(), value.c_str()).empty()) {
            return failed(FailureKind::InvalidSetting, absl::StrCat("--", option, "='", value, "': expected a value of type ", flag.type));
        }
        return absl::OkStatus();
    }
    return failed(FailureKind::InvalidSetting, absl::StrCat("--", option, ": unknown option; see bamboohold --help"));
}

absl::Status readEnvironment()
{
    for (const gflags::CommandLineFlagInfo &flag : clientFlags()) {
        const std::string variable = "BAMBOOHOLD_" + absl::AsciiStrToUpper(flag.name.substr(s_flagPrefix.size()));
        const char *value = std::getenv(variable.c_str());
        if (value == nullptr) {
            continue;
        }
        if (absl::Status status = setOption(optionName(flag), value); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status readOption(const std::string &argument)
{
    const std::pair<std::string, std::string> parts = absl::StrSplit(argument.substr(2), absl::MaxSplits('=', 1));
    const bool hasValue = argument.find('=') != std::string::npos;
    return setOption(parts.first, hasValue ? parts.second : "true");
}

absl::Status validateOptions(Arguments &arguments)
{
    const std::pair<std::string, std::string> parts = absl::StrSplit(FLAGS_cli_platform, absl::MaxSplits(':', 1));
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(parts.first, error);
    int port = 0;
    if (error || !absl::SimpleAtoi(parts.second, &port) || port < 1 || port > 65535) {
        return failed(FailureKind::InvalidSetting,
                      absl::StrCat("--platform='", FLAGS_cli_platform, "': expected an IP address and port, such as 127.0.0.1:7300"));
    }
    if (FLAGS_cli_output != "table" && FLAGS_cli_output != "json") {
        return failed(FailureKind::InvalidSetting, absl::StrCat("--output='", FLAGS_cli_output, "': expected table or json"));
    }
    arguments.platform = {address, static_cast<std::uint16_t>(port)};
    arguments.output = FLAGS_cli_output;
    arguments.author = FLAGS_cli_author;
    arguments.changeId = FLAGS_cli_change_id.empty() ? newRequestId() : FLAGS_cli_change_id;
    arguments.issueKeys = FLAGS_cli_issue_keys;
    arguments.dryRun = FLAGS_cli_dry_run;
    arguments.yes = FLAGS_cli_yes;
    return absl::OkStatus();
}

}

absl::StatusOr<Arguments> readArguments(int argc, char **argv)
{
    Arguments arguments;
    if (absl::Status status = readEnvironment(); !status.ok()) {
        return status;
    }
    for (int index = 1; index < argc; ++index) {
        const std::string argument = argv[index];
        if (argument == "--help" || argument == "-h") {
            arguments.help = true;
        } else if (argument == "--version") {
            arguments.version = true;
        } else if (!argument.starts_with("--")) {
            arguments.positional.push_back(argument);
        } else if (absl::Status status = readOption(argument); !status.ok()) {
            return status;
        }
    }
    if (absl::Status status = validateOptions(arguments); !status.ok()) {
        return status;
    }
    return arguments;
}

std::string clientHelp()
{
    std::string text = "bamboohold: the operators' client\n\n"
                       "Usage: bamboohold [OPTION ...] COMMAND\n\n"
                       "  inventory check FILE           validate an inventory and print every error with its path\n"
                       "  inventory import FILE          store an inventory as the next version\n"
                       "  inventory export               print the active version\n"
                       "  budget show [NAME]             show the tokens of each budget by state\n"
                       "  budget top-up NAME TOKENS      add tokens, or remove free ones with a negative number\n"
                       "  budget close NAME              stop granting tokens from a budget\n"
                       "  budget ledger [NAME]           list the charges, one line per request\n"
                       "  request show ID                show where a request ran and what it cost\n"
                       "  explain ID FILE...             explain the outcome of a request from the routers' logs\n"
                       "  node list                      list router incarnations and their grants\n"
                       "  domain list                    list the failure domains and whether they are evacuated\n"
                       "  domain evacuate NAME           send no new requests to a failure domain's targets\n"
                       "  domain restore NAME            send requests to them again\n\n"
                       "Options, each of which can also be set as BAMBOOHOLD_OPTION in the environment:\n";
    for (const gflags::CommandLineFlagInfo &flag : clientFlags()) {
        absl::StrAppend(&text,
                        "  --",
                        optionName(flag),
                        "  ",
                        flag.description,
                        flag.default_value.empty() ? "" : " (default " + flag.default_value + ")",
                        "\n");
    }
    return text + "\nExit codes: 0 done, 1 failed, 2 invalid usage or document, 3 conflict with another change, 4 platform unreachable.\n";
}

}
