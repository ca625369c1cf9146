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
DEFINE_string(cli_author, "operator", "who makes the change");
DEFINE_string(cli_change_id, "", "identifier of the change, to send the same one again; drawn at random when absent");
DEFINE_string(cli_issue_keys, "", "inventory import: file that takes the new keys of teams without one");
DEFINE_bool(cli_dry_run, false, "say what would change, change nothing");
DEFINE_bool(cli_yes, false, "do not ask before what can't be undone");

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
            return failed(FailureKind::InvalidSetting,
                          absl::StrCat("--", option, "='", value, "': accepted is a value of type ", flag.type));
        }
        return absl::OkStatus();
    }
    return failed(FailureKind::InvalidSetting, absl::StrCat("--", option, ": not a known option; see bamboohold --help"));
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
                      absl::StrCat("--platform='", FLAGS_cli_platform, "': accepted is an IP address and port, such as 127.0.0.1:7300"));
    }
    if (FLAGS_cli_output != "table" && FLAGS_cli_output != "json") {
        return failed(FailureKind::InvalidSetting, absl::StrCat("--output='", FLAGS_cli_output, "': accepted is table or json"));
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
                       "  inventory check FILE           validate an inventory, every mistake with its path\n"
                       "  inventory import FILE          accept an inventory as the next version\n"
                       "  inventory export               print the version in force\n"
                       "  budget show [NAME]             where each budget's tokens are\n"
                       "  budget top-up NAME TOKENS      pay tokens in, or take free ones out with a negative number\n"
                       "  budget close NAME              grant nothing more from a budget\n"
                       "  budget ledger [NAME]           the charges, one line a request\n"
                       "  request show ID                where a request went and what it cost\n"
                       "  explain ID FILE...             what the routers' logs say about a request, and why it ended so\n"
                       "  node list                      router incarnations and what they hold\n"
                       "  domain list                    the failure domains, and which are evacuated\n"
                       "  domain evacuate NAME           send nothing new to a failure domain's targets\n"
                       "  domain restore NAME            send to them again\n\n"
                       "Options, each also as BAMBOOHOLD_OPTION in the environment:\n";
    for (const gflags::CommandLineFlagInfo &flag : clientFlags()) {
        absl::StrAppend(&text,
                        "  --",
                        optionName(flag),
                        "  ",
                        flag.description,
                        flag.default_value.empty() ? "" : " (default " + flag.default_value + ")",
                        "\n");
    }
    return text + "\nExit codes: 0 done, 1 failed, 2 wrong usage or document, 3 conflict with another change, 4 platform unreachable.\n";
}

}
