#include "configuration/configurationstore.h"

#include "budget/budgetrows.h"
#include "configuration/configuration.h"
#include "failure/failure.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

namespace bamboohold {

namespace {

constexpr int s_maxAttempts = 5;

std::string changeKey(const std::string &changeId)
{
    return "configuration/change/" + changeId;
}

/// The operations that adjust the rows of the budgets from the prepaid amounts of one version to those of the next.
std::vector<TableOperation>
budgetOperations(const StoredConfiguration &base, const Inventory &next, const absl::flat_hash_map<std::string, bool> &rowExists)
{
    absl::flat_hash_map<std::string, Tokens> before;
    if (base.inventory) {
        for (const Budget &budget : base.inventory->budgets) {
            before.emplace(budget.name, budget.prepaid);
        }
    }
    std::vector<TableOperation> operations;
    for (const Budget &budget : next.budgets) {
        const auto known = before.find(budget.name);
        if (known == before.end() && !rowExists.at(budget.name)) {
            operations.push_back(putRow(budgetKey(budget.name), newBudgetFields(budget.prepaid), 0));
        } else if (known != before.end() && known->second != budget.prepaid) {
            const auto topUp = topUpOperations(budget.name, budget.prepaid - known->second);
            operations.insert(operations.end(), topUp.begin(), topUp.end());
        }
    }
    return operations;
}

absl::Status obstacleFailure(const TableTransactionResult &verdict)
{
    const TableObstacle &obstacle = verdict.obstacles.front();
    if (obstacle.guard) {
        return failed(FailureKind::TableGuard,
                      absl::StrCat("'", obstacle.row.key, "' has less free than the change takes out; its grants hold the rest"));
    }
    return failed(FailureKind::TableConflict,
                  absl::StrCat("version ",
                               integerField(obstacle.row.fields, "version"),
                               " by '",
                               textField(obstacle.row.fields, "author"),
                               "' (change ",
                               textField(obstacle.row.fields, "change"),
                               ") was accepted in between"));
}

asio::awaitable<absl::StatusOr<absl::flat_hash_map<std::string, bool>>> existingRows(PlatformClient &platform, const Inventory &inventory)
{
    std::vector<std::string> keys;
    for (const Budget &budget : inventory.budgets) {
        keys.push_back(budgetKey(budget.name));
    }
    const auto rows = co_await platform.read(keys);
    if (!rows.ok()) {
        co_return rows.status();
    }
    absl::flat_hash_map<std::string, bool> exists;
    for (const TableRow &row : *rows) {
        exists.emplace(row.key.substr(s_budgetPrefix.size()), row.version != 0);
    }
    co_return exists;
}

}

asio::awaitable<absl::StatusOr<StoredConfiguration>> newestConfiguration(PlatformClient &platform)
{
    const auto head = co_await platform.readOne(std::string(s_configurationHead));
    if (!head.ok()) {
        co_return head.status();
    }
    StoredConfiguration stored{.version = static_cast<std::uint64_t>(integerField(head->fields, "version")),
                               .headRowVersion = head->version,
                               .changeId = textField(head->fields, "change"),
                               .author = textField(head->fields, "author")};
    if (head->version == 0) {
        co_return stored;
    }
    const auto document = co_await platform.readObject(textField(head->fields, "object"));
    if (!document.ok()) {
        co_return document.status();
    }
    InventoryReading reading = readInventory(*document);
    if (!reading.inventory) {
        co_return failed(FailureKind::InvalidDocument, absl::StrCat("stored version ", stored.version, ": ", reading.errors.front().path));
    }
    stored.inventory = std::move(reading.inventory);
    co_return stored;
}

asio::awaitable<absl::StatusOr<std::uint64_t>>
acceptConfiguration(PlatformClient &platform, const StoredConfiguration &base, ConfigurationChange change)
{
    const std::uint64_t version = base.version + 1;
    const std::string object = configurationObject(version, change.changeId);
    const auto rowExists = co_await existingRows(platform, change.inventory);
    if (!rowExists.ok()) {
        co_return rowExists.status();
    }
    TableTransaction transaction;
    boost::json::object head{
        {"version", static_cast<std::int64_t>(version)}, {"object", object}, {"change", change.changeId}, {"author", change.author}};
    transaction.operations.push_back(putRow(std::string(s_configurationHead), head, base.headRowVersion));
    transaction.operations.push_back(putRow(changeKey(change.changeId), head, 0));
    transaction.operations.push_back(putRow(absl::StrCat("configuration/version/", version), head, 0));
    const auto budgets = budgetOperations(base, change.inventory, *rowExists);
    transaction.operations.insert(transaction.operations.end(), budgets.begin(), budgets.end());
    absl::Status last = absl::OkStatus();
    for (int attempt = 0; attempt < s_maxAttempts; ++attempt) {
        last = co_await platform.putObject(object, writeInventory(change.inventory));
        if (!last.ok()) {
            continue;
        }
        const auto verdict = co_await platform.transact(transaction);
        last = verdict.status();
        if (verdict.ok() && verdict->applied) {
            co_return version;
        }
        // An earlier attempt whose answer was lost may have taken effect. Its own change row distinguishes it from another operator's
        // change.
        const auto ownChange = co_await platform.readOne(changeKey(change.changeId));
        if (ownChange.ok() && ownChange->version != 0) {
            co_return static_cast<std::uint64_t>(integerField(ownChange->fields, "version"));
        }
        if (verdict.ok()) {
            co_return obstacleFailure(*verdict);
        }
    }
    co_return last;
}

}
