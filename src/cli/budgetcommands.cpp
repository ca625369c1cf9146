#include "cli/budgetcommands.h"

#include "budget/budgetrows.h"
#include "budget/ledgerreader.h"
#include "cli/output.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <iostream>

namespace bamboohold {

namespace {

constexpr int s_maxAttempts = 5;
constexpr Tokens s_maxTopUpTokens = 1'000'000'000'000'000;

std::string budgetChangeKey(const std::string &changeId)
{
    return "budget-change/" + changeId;
}

ExitCode usageError(std::string_view detail)
{
    return reportFailure({.kind = FailureKind::InvalidSetting, .detail = std::string(detail)});
}

boost::json::object budgetToJson(const TableRow &row)
{
    boost::json::object summary{{"budget", row.key.substr(s_budgetPrefix.size())}};
    for (const std::string_view field : {"prepaid", "free", "granted", "consumed"}) {
        summary[{field.data(), field.size()}] = integerField(row.fields, field);
    }
    summary["state"] = textField(row.fields, "state");
    return summary;
}

/// Applies a change to a budget's row and retries while the result is unknown. A row with the change's id, written in the same transaction,
/// prevents a retry from applying the change twice. Returns the last error if all attempts fail.
asio::awaitable<absl::Status>
applyBudgetChange(PlatformClient &platform, TableTransaction transaction, const Arguments &arguments, std::string budget)
{
    boost::json::object changeRow{{"budget", budget}, {"author", arguments.author}};
    transaction.operations.push_back(putRow(budgetChangeKey(arguments.changeId), std::move(changeRow), 0));
    absl::Status lastStatus = absl::OkStatus();
    for (int attempt = 0; attempt < s_maxAttempts; ++attempt) {
        const auto result = co_await platform.transact(transaction);
        lastStatus = result.status();
        if (!result.ok()) {
            continue;
        }
        if (result->applied) {
            co_return absl::OkStatus();
        }
        const TableObstacle &obstacle = result->obstacles.back();
        if (obstacle.row.key == budgetChangeKey(arguments.changeId)) {
            co_return absl::OkStatus();
        }
        if (obstacle.row.version == 0) {
            co_return failed(FailureKind::NotFound, absl::StrCat("no budget '", budget, "'"));
        }
        if (!obstacle.guard) {
            co_return failed(FailureKind::TableConflict,
                             absl::StrCat("the row of '", budget, "' was changed concurrently; check it and try again"));
        }
        co_return failed(FailureKind::TableGuard,
                         absl::StrCat("'",
                                      budget,
                                      "' has ",
                                      integerField(obstacle.row.fields, "free"),
                                      " free tokens and ",
                                      integerField(obstacle.row.fields, "granted"),
                                      " granted to routers; only free tokens can be removed"));
    }
    co_return lastStatus;
}

}

asio::awaitable<ExitCode> showBudgets(PlatformClient &platform, const Arguments &arguments)
{
    const std::string budgetFilter = arguments.positional.size() > 2 ? arguments.positional[2] : "";
    const auto rows = co_await platform.scan(s_budgetPrefix);
    if (!rows.ok()) {
        co_return reportFailure(toFailure(rows.status()));
    }
    boost::json::array lines;
    for (const TableRow &row : *rows) {
        if (budgetFilter.empty() || row.key == budgetKey(budgetFilter)) {
            lines.emplace_back(budgetToJson(row));
        }
    }
    if (lines.empty() && !budgetFilter.empty()) {
        co_return reportFailure({.kind = FailureKind::NotFound, .detail = absl::StrCat("no budget '", budgetFilter, "'")});
    }
    const std::vector<std::string> columns = {"budget", "prepaid", "free", "granted", "consumed", "state"};
    printRows(lines, columns, arguments);
    co_return ExitCode::Done;
}

asio::awaitable<ExitCode> topUpBudget(PlatformClient &platform, const Arguments &arguments)
{
    Tokens amount = 0;
    const bool amountValid = arguments.positional.size() == 4 && absl::SimpleAtoi(arguments.positional[3], &amount);
    if (!amountValid || amount == 0 || amount > s_maxTopUpTokens || amount < -s_maxTopUpTokens) {
        co_return usageError("budget top-up requires a budget name and a non-zero whole number of tokens");
    }
    const std::string budget = arguments.positional[2];
    if (arguments.dryRun) {
        std::cout << "would add " << amount << " tokens to '" << budget << "'\n";
        co_return ExitCode::Done;
    }
    TableTransaction transaction{.operations = topUpOperations(budget, amount)};
    const absl::Status status = co_await applyBudgetChange(platform, std::move(transaction), arguments, budget);
    if (!status.ok()) {
        co_return reportFailure(toFailure(status));
    }
    std::cout << "'" << budget << "' changed by " << amount << " tokens (change " << arguments.changeId << ")\n";
    co_return ExitCode::Done;
}

asio::awaitable<ExitCode> closeBudget(PlatformClient &platform, const Arguments &arguments)
{
    if (arguments.positional.size() != 3) {
        co_return usageError("budget close requires a budget name");
    }
    if (!arguments.yes && !arguments.dryRun) {
        co_return usageError("closing a budget rejects its teams' requests; confirm with --yes");
    }
    const std::string budget = arguments.positional[2];
    const auto row = co_await platform.readOne(budgetKey(budget));
    if (!row.ok()) {
        co_return reportFailure(toFailure(row.status()));
    }
    if (row->version == 0) {
        co_return reportFailure({.kind = FailureKind::NotFound, .detail = absl::StrCat("no budget '", budget, "'")});
    }
    if (arguments.dryRun) {
        std::cout << "would close '" << budget << "' with " << integerField(row->fields, "free") << " free tokens\n";
        co_return ExitCode::Done;
    }
    boost::json::object fields = row->fields;
    fields["state"] = "closed";
    TableTransaction transaction;
    transaction.operations.push_back(putRow(budgetKey(budget), std::move(fields), row->version));
    const absl::Status status = co_await applyBudgetChange(platform, std::move(transaction), arguments, budget);
    if (!status.ok()) {
        co_return reportFailure(toFailure(status));
    }
    std::cout << "'" << budget << "' is closed\n";
    co_return ExitCode::Done;
}

namespace {

asio::awaitable<ExitCode>
printCharges(PlatformClient &platform, const Arguments &arguments, std::function<bool(const Charge &)> filter, std::string emptyMessage)
{
    boost::json::array lines;
    const absl::Status status = co_await visitLedger(platform, [&](const Charge &charge) {
        if (filter(charge)) {
            lines.emplace_back(toJson(charge));
        }
    });
    if (!status.ok()) {
        co_return reportFailure(toFailure(status));
    }
    if (lines.empty() && !emptyMessage.empty()) {
        co_return reportFailure({.kind = FailureKind::NotFound, .detail = emptyMessage});
    }
    const std::vector<std::string> columns = {
        "request", "team", "budget", "target", "outcome", "prompt_tokens", "output_tokens", "tokens", "estimated"};
    printRows(lines, columns, arguments);
    co_return ExitCode::Done;
}

}

asio::awaitable<ExitCode> showLedger(PlatformClient &platform, const Arguments &arguments)
{
    const std::string budget = arguments.positional.size() > 2 ? arguments.positional[2] : "";
    std::function<bool(const Charge &)> filter = [budget](const Charge &charge) {
        return budget.empty() || charge.budget == budget;
    };
    co_return co_await printCharges(platform, arguments, std::move(filter), "");
}

asio::awaitable<ExitCode> showRequest(PlatformClient &platform, const Arguments &arguments)
{
    if (arguments.positional.size() != 3) {
        co_return usageError("request show requires a request id");
    }
    const std::string requestId = arguments.positional[2];
    std::function<bool(const Charge &)> filter = [requestId](const Charge &charge) {
        return charge.requestId == requestId;
    };
    co_return co_await printCharges(platform, arguments, std::move(filter), absl::StrCat("no charge for request '", requestId, "' yet"));
}

asio::awaitable<ExitCode> listNodes(PlatformClient &platform, const Arguments &arguments)
{
    const auto nodes = co_await platform.scan(s_nodePrefix);
    const auto grants = co_await platform.scan(s_grantPrefix);
    if (!nodes.ok() || !grants.ok()) {
        co_return reportFailure(toFailure(nodes.ok() ? grants.status() : nodes.status()));
    }
    std::map<std::string, Tokens> unspent;
    for (const TableRow &grant : *grants) {
        unspent[textField(grant.fields, "holder")] += integerField(grant.fields, "unspent");
    }
    boost::json::array lines;
    for (const TableRow &node : *nodes) {
        const std::string incarnation = node.key.substr(s_nodePrefix.size());
        lines.emplace_back(boost::json::object{{"incarnation", incarnation},
                                               {"host", textField(node.fields, "host")},
                                               {"address", textField(node.fields, "address")},
                                               {"state", textField(node.fields, "state")},
                                               {"holding", unspent[incarnation]}});
    }
    const std::vector<std::string> columns = {"incarnation", "host", "address", "state", "holding"};
    printRows(lines, columns, arguments);
    co_return ExitCode::Done;
}

}
