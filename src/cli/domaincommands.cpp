#include "cli/domaincommands.h"

#include "cli/output.h"
#include "configuration/configurationstore.h"
#include "membership/evacuationrows.h"

#include <absl/strings/str_cat.h>

#include <iostream>
#include <set>

namespace bamboohold {

namespace {

std::string evacuationKey(const std::string &domain)
{
    return std::string(s_evacuationRowPrefix) + domain;
}

/// Returns the failure domains of the active inventory.
asio::awaitable<absl::StatusOr<std::set<std::string>>> configuredDomains(PlatformClient &platform)
{
    const auto stored = co_await newestConfiguration(platform);
    if (!stored.ok()) {
        co_return stored.status();
    }
    std::set<std::string> domains;
    if (stored->inventory) {
        for (const FailureDomain &domain : stored->inventory->failureDomains) {
            domains.insert(domain.name);
        }
    }
    co_return domains;
}

/// Writes or removes the domain's row. The operation is idempotent, so the command can be repeated after a lost response.
asio::awaitable<ExitCode>
applyDomainChange(PlatformClient &platform, const Arguments &arguments, TableOperation operation, std::string_view newState)
{
    TableTransaction transaction;
    transaction.operations.push_back(std::move(operation));
    if (arguments.dryRun) {
        std::cout << "'" << arguments.positional[2] << "' would be " << newState << "\n";
        co_return ExitCode::Done;
    }
    const auto result = co_await platform.transact(transaction);
    if (!result.ok()) {
        co_return reportFailure(toFailure(result.status()));
    }
    std::cout << "'" << arguments.positional[2] << "' is " << newState << "\n";
    co_return ExitCode::Done;
}

ExitCode missingNameError(std::string_view command)
{
    return reportFailure(
        {.kind = FailureKind::InvalidSetting, .detail = absl::StrCat(std::string(command), " requires a failure domain name")});
}

}

asio::awaitable<ExitCode> listDomains(PlatformClient &platform, const Arguments &arguments)
{
    auto domains = co_await configuredDomains(platform);
    if (!domains.ok()) {
        co_return reportFailure(toFailure(domains.status()));
    }
    const auto rows = co_await platform.scan(s_evacuationRowPrefix);
    if (!rows.ok()) {
        co_return reportFailure(toFailure(rows.status()));
    }
    std::set<std::string> evacuated;
    for (const TableRow &row : *rows) {
        evacuated.insert(row.key.substr(s_evacuationRowPrefix.size()));
    }
    domains->insert(evacuated.begin(), evacuated.end());
    boost::json::array lines;
    for (const std::string &domain : *domains) {
        lines.emplace_back(boost::json::object{{"domain", domain}, {"state", evacuated.contains(domain) ? "evacuated" : "in service"}});
    }
    printRows(lines, {"domain", "state"}, arguments);
    co_return ExitCode::Done;
}

asio::awaitable<ExitCode> evacuateDomain(PlatformClient &platform, const Arguments &arguments)
{
    if (arguments.positional.size() != 3) {
        co_return missingNameError("domain evacuate");
    }
    const std::string domain = arguments.positional[2];
    const auto domains = co_await configuredDomains(platform);
    if (!domains.ok()) {
        co_return reportFailure(toFailure(domains.status()));
    }
    if (!domains->contains(domain)) {
        co_return reportFailure(
            {.kind = FailureKind::NotFound, .detail = absl::StrCat("no failure domain '", domain, "' in the inventory")});
    }
    boost::json::object fields{{"author", arguments.author}};
    TableOperation write = putRow(evacuationKey(domain), std::move(fields), std::nullopt);
    co_return co_await applyDomainChange(platform, arguments, std::move(write), "evacuated");
}

asio::awaitable<ExitCode> restoreDomain(PlatformClient &platform, const Arguments &arguments)
{
    if (arguments.positional.size() != 3) {
        co_return missingNameError("domain restore");
    }
    TableOperation removal{.kind = TableOperation::Kind::Remove, .key = evacuationKey(arguments.positional[2])};
    co_return co_await applyDomainChange(platform, arguments, std::move(removal), "in service");
}

}
