#include "cli/budgetcommands.h"

#include "budget/budgetrows.h"
#include "budget/ledgerreader.h"
#include "cli/output.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <iostream>

namespace bamboohold {

namespace {

constexpr int s_tries = 5;
constexpr Tokens s_largestTopUp = 1'000'000'000'000'000;

std::string budgetChangeKey(const std::string &changeId)
{
    return "budget-change/" + changeId;
}

ExitCode usage(std::string_view detail)
{
    return reportFailure({.kind = FailureKind::InvalidSetting, .detail = std::string(detail)});
}

boost::json::object budgetLine(const TableRow &row)
{
    boost::json::object line{{"budget", row.key.substr(s_budgetPrefix.size())}};
    for (const std::string_view field : {"prepaid", "free", "granted", "consumed"}) {
        line[{field.data(), field.size()}] = integerField(row.fields, field);
    }
    line["state"] = textField(row.fields, "state");
    return line;
}

/// Sends a change of a budget's row until its answer is known; the change's own row keeps a second try from taking effect again.
asio::awaitable<absl::Status>
applyOnce(PlatformClient &platform, TableTransaction transaction, const Arguments &arguments, std::string budget)
{
    boost::json::object mark{{"budget", budget}, {"author", arguments.author}};
    transaction.operations.push_back(putRow(budgetChangeKey(arguments.changeId), std::move(mark), 0));
    absl::Status last = absl::OkStatus();
    for (int attempt = 0; attempt < s_tries; ++attempt) {
        const auto verdict = co_await platform.transact(transaction);
        last = verdict.status();
        if (!verdict.ok()) {
            continue;
        }
        if (verdict->applied) {
            co_return absl::OkStatus();
        }
        const TableObstacle &obstacle = verdict->obstacles.back();
        if (obstacle.row.key == budgetChangeKey(arguments.changeId)) {
            co_return absl::OkStatus();
        }
        if (obstacle.row.version == 0) {
            co_return failed(FailureKind::NotFound, absl::StrCat("no budget '", budget, "'"));
        }
        if (!obstacle.guard) {
            co_return failed(FailureKind::TableConflict, absl::StrCat("the row of '", budget, "' changed in between; look again"));
        }
        co_return failed(FailureKind::TableGuard,
                         absl::StrCat("'",
                                      budget,
                                      "' has ",
                                      integerField(obstacle.row.fields, "free"),
                                      " free tokens and ",
                                      integerField(obstacle.row.fields, "granted"),
                                      " granted to routers; only free ones can be taken out"));
    }
    co_return last;
}

}

asio::awaitable<ExitCode> showBudgets(PlatformClient &platform, const Arguments &arguments)
{
    const std::string only = arguments.words.size() > 2 ? arguments.words[2] : "";
    const auto rows = co_await platform.scan(s_budgetPrefix);
    if (!rows.ok()) {
        co_return reportFailure(toFailure(rows.status()));
    }
    boost::json::array lines;
    for (const TableRow &row : *rows) {
        if (only.empty() || row.key == budgetKey(only)) {
            lines.emplace_back(budgetLine(row));
        }
    }
    if (lines.empty() && !only.empty()) {
        co_return reportFailure({.kind = FailureKind::NotFound, .detail = absl::StrCat("no budget '", only, "'")});
    }
    const std::vector<std::string> columns = {"budget", "prepaid", "free", "granted", "consumed", "state"};
    printRows(lines, columns, arguments);
    co_return ExitCode::Done;
}

asio::awaitable<ExitCode> topUpBudget(PlatformClient &platform, const Arguments &arguments)
{
    Tokens amount = 0;
    const bool numbered = arguments.words.size() == 4 && absl::SimpleAtoi(arguments.words[3], &amount);
    if (!numbered || amount == 0 || amount > s_largestTopUp || amount < -s_largestTopUp) {
        co_return usage("budget top-up takes a budget's name and a whole number of tokens other than 0");
    }
    const std::string budget = arguments.words[2];
    if (arguments.dryRun) {
        std::cout << "would add " << amount << " tokens to '" << budget << "'\n";
        co_return ExitCode::Done;
    }
    TableTransaction transaction{.operations = topUpOperations(budget, amount)};
    const absl::Status status = co_await applyOnce(platform, std::move(transaction), arguments, budget);
    if (!status.ok()) {
        co_return reportFailure(toFailure(status));
    }
    std::cout << "'" << budget << "' changed by " << amount << " tokens (change " << arguments.changeId << ")\n";
    co_return ExitCode::Done;
}

asio::awaitable<ExitCode> closeBudget(PlatformClient &platform, const Arguments &arguments)
{
    if (arguments.words.size() != 3) {
        co_return usage("budget close takes a budget's name");
    }
    if (!arguments.yes && !arguments.dryRun) {
        co_return usage("closing a budget refuses its teams' requests; give --yes to confirm");
    }
    const std::string budget = arguments.words[2];
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
    const absl::Status status = co_await applyOnce(platform, std::move(transaction), arguments, budget);
    if (!status.ok()) {
        co_return reportFailure(toFailure(status));
    }
    std::cout << "'" << budget << "' is closed\n";
    co_return ExitCode::Done;
}

namespace {

asio::awaitable<ExitCode>
printCharges(PlatformClient &platform, const Arguments &arguments, std::function<bool(const Charge &)> wanted, std::string missing)
{
    boost::json::array lines;
    const absl::Status status = co_await visitLedger(platform, [&](const Charge &charge) {
        if (wanted(charge)) {
            lines.emplace_back(toJson(charge));
        }
    });
    if (!status.ok()) {
        co_return reportFailure(toFailure(status));
    }
    if (lines.empty() && !missing.empty()) {
        co_return reportFailure({.kind = FailureKind::NotFound, .detail = missing});
    }
    const std::vector<std::string> columns = {
        "request", "team", "budget", "target", "outcome", "prompt_tokens", "output_tokens", "tokens", "estimated"};
    printRows(lines, columns, arguments);
    co_return ExitCode::Done;
}

}

asio::awaitable<ExitCode> showLedger(PlatformClient &platform, const Arguments &arguments)
{
    const std::string budget = arguments.words.size() > 2 ? arguments.words[2] : "";
    std::function<bool(const Charge &)> wanted = [budget](const Charge &charge) {
        return budget.empty() || charge.budget == budget;
    };
    co_return co_await printCharges(platform, arguments, std::move(wanted), "");
}

asio::awaitable<ExitCode> showRequest(PlatformClient &platform, const Arguments &arguments)
{
    if (arguments.words.size() != 3) {
        co_return usage("request show takes a request's id");
    }
    const std::string requestId = arguments.words[2];
    std::function<bool(const Charge &)> wanted = [requestId](const Charge &charge) {
        return charge.requestId == requestId;
    };
    co_return co_await printCharges(platform, arguments, std::move(wanted), absl::StrCat("no charge for request '", requestId, "' yet"));
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
