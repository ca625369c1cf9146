#include "cli/inventorycommands.h"

#include "cli/output.h"
#include "configuration/configurationstore.h"
#include "inventory/teamkey.h"

#include <absl/strings/str_cat.h>
#include <boost/json/serialize.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace bamboohold {

namespace {

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

/// Reads and validates the inventory file given as the command's operand. Prints the errors and returns an empty value if there are any.
std::optional<Inventory> readInventoryArgument(const Arguments &arguments)
{
    if (arguments.positional.size() != 3) {
        reportFailure({.kind = FailureKind::InvalidSetting, .detail = "exactly one file is required; see bamboohold --help"});
        return std::nullopt;
    }
    const std::string &path = arguments.positional[2];
    const auto content = readFile(path);
    if (!content) {
        reportFailure({.kind = FailureKind::InvalidDocument, .detail = absl::StrCat(path, ": cannot read the file")});
        return std::nullopt;
    }
    InventoryReading reading = readInventory(*content);
    for (const DocumentError &error : reading.errors) {
        reportFailure({.kind = FailureKind::InvalidDocument, .detail = absl::StrCat(path, ": ", error.path, " ", error.message)});
    }
    return std::move(reading.inventory);
}

/// Copies the keys of teams that the new version lists without a key from the active version.
void copyExistingKeys(Inventory &next, const StoredConfiguration &base)
{
    for (Team &team : next.teams) {
        const Team *existingTeam = base.inventory ? base.inventory->findTeam(team.name) : nullptr;
        if (team.keySha256.empty() && existingTeam != nullptr) {
            team.keySalt = existingTeam->keySalt;
            team.keySha256 = existingTeam->keySha256;
        }
    }
}

absl::Status issueMissingKeys(Inventory &inventory, const std::string &path)
{
    boost::json::object keys;
    for (Team &team : inventory.teams) {
        if (team.keySha256.empty()) {
            keys[team.name] = issueKey(team);
        }
    }
    if (keys.empty()) {
        return absl::OkStatus();
    }
    if (path.empty()) {
        return failed(FailureKind::InvalidSetting, "teams without a key require --issue-keys=FILE, to which their new keys are written");
    }
    if (std::filesystem::exists(path)) {
        return failed(FailureKind::InvalidSetting, absl::StrCat("--issue-keys='", path, "': expected a file that does not exist yet"));
    }
    std::ofstream file(path);
    file << boost::json::serialize(keys) << "\n";
    file.close();
    if (!file) {
        return failed(FailureKind::InvalidSetting, absl::StrCat("--issue-keys='", path, "': cannot write the file"));
    }
    std::filesystem::permissions(path, std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
    return absl::OkStatus();
}

}

ExitCode checkInventory(const Arguments &arguments)
{
    const auto inventory = readInventoryArgument(arguments);
    if (!inventory) {
        return ExitCode::Usage;
    }
    std::cout << inventory->name << ": " << inventory->hosts.size() << " hosts, " << inventory->targets.size() << " targets, "
              << inventory->teams.size() << " teams, " << inventory->budgets.size() << " budgets\n";
    return ExitCode::Done;
}

asio::awaitable<ExitCode> importInventory(PlatformClient &platform, const Arguments &arguments)
{
    auto inventory = readInventoryArgument(arguments);
    if (!inventory) {
        co_return ExitCode::Usage;
    }
    const auto base = co_await newestConfiguration(platform);
    if (!base.ok()) {
        co_return reportFailure(toFailure(base.status()));
    }
    copyExistingKeys(*inventory, *base);
    if (arguments.dryRun) {
        std::cout << "would be version " << base->version + 1 << "\n";
        co_return ExitCode::Done;
    }
    if (const absl::Status status = issueMissingKeys(*inventory, arguments.issueKeys); !status.ok()) {
        co_return reportFailure(toFailure(status));
    }
    ConfigurationChange change{.changeId = arguments.changeId, .author = arguments.author, .inventory = *std::move(inventory)};
    const auto version = co_await acceptConfiguration(platform, *base, std::move(change));
    if (!version.ok()) {
        co_return reportFailure(toFailure(version.status()));
    }
    std::cout << "accepted as version " << *version << " (change " << arguments.changeId << ")\n";
    co_return ExitCode::Done;
}

asio::awaitable<ExitCode> exportInventory(PlatformClient &platform, const Arguments &)
{
    const auto stored = co_await newestConfiguration(platform);
    if (!stored.ok()) {
        co_return reportFailure(toFailure(stored.status()));
    }
    if (!stored->inventory) {
        co_return reportFailure({.kind = FailureKind::NotFound, .detail = "no configuration has been accepted yet"});
    }
    std::cout << writeInventory(*stored->inventory) << "\n";
    co_return ExitCode::Done;
}

}
