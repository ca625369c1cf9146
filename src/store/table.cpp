#include "store/table.h"

#include "failure/failure.h"

#include <boost/json/value_to.hpp>

namespace bamboohold {

namespace {

std::string_view kindName(TableOperation::Kind kind)
{
    switch (kind) {
    case TableOperation::Kind::Check:
        return "check";
    case TableOperation::Kind::Put:
        return "put";
    case TableOperation::Kind::Add:
        return "add";
    case TableOperation::Kind::Remove:
        break;
    }
    return "remove";
}

std::optional<TableOperation::Kind> kindFromName(std::string_view name)
{
    for (const auto kind :
         {TableOperation::Kind::Check, TableOperation::Kind::Put, TableOperation::Kind::Add, TableOperation::Kind::Remove}) {
        if (kindName(kind) == name) {
            return kind;
        }
    }
    return std::nullopt;
}

boost::json::object operationToJson(const TableOperation &operation)
{
    const std::string_view kind = kindName(operation.kind);
    boost::json::object object{{"op", boost::json::string(kind.data(), kind.size())}, {"key", operation.key}};
    if (operation.expectedVersion) {
        object["version"] = static_cast<std::int64_t>(*operation.expectedVersion);
    }
    if (operation.kind == TableOperation::Kind::Put) {
        object["fields"] = operation.fields;
    }
    if (operation.kind == TableOperation::Kind::Add) {
        object["field"] = operation.field;
        object["delta"] = operation.delta;
        if (operation.minimum) {
            object["minimum"] = *operation.minimum;
        }
    }
    return object;
}

absl::StatusOr<TableOperation> operationFromJson(const boost::json::value &value)
{
    if (!value.is_object()) {
        return failed(FailureKind::InvalidDocument, "an operation must be an object");
    }
    const boost::json::object &object = value.get_object();
    const auto kind = kindFromName(textField(object, "op"));
    TableOperation operation{.key = textField(object, "key")};
    if (!kind || operation.key.empty()) {
        return failed(FailureKind::InvalidDocument, "an operation needs 'op' (check, put, add, remove) and 'key'");
    }
    operation.kind = *kind;
    if (object.contains("version")) {
        operation.expectedVersion = static_cast<std::uint64_t>(integerField(object, "version"));
    }
    if (const auto *fields = object.if_contains("fields"); fields != nullptr && fields->is_object()) {
        operation.fields = fields->get_object();
    }
    operation.field = textField(object, "field");
    operation.delta = integerField(object, "delta");
    if (object.contains("minimum")) {
        operation.minimum = integerField(object, "minimum");
    }
    return operation;
}

}

TableOperation checkVersion(std::string key, std::uint64_t version)
{
    return TableOperation{.kind = TableOperation::Kind::Check, .key = std::move(key), .expectedVersion = version};
}

TableOperation putRow(std::string key, boost::json::object fields, std::optional<std::uint64_t> version)
{
    return TableOperation{
        .kind = TableOperation::Kind::Put, .key = std::move(key), .expectedVersion = version, .fields = std::move(fields)};
}

TableOperation addToField(std::string key, std::string field, std::int64_t delta, std::optional<std::int64_t> minimum)
{
    return TableOperation{
        .kind = TableOperation::Kind::Add, .key = std::move(key), .field = std::move(field), .delta = delta, .minimum = minimum};
}

std::int64_t integerField(const boost::json::object &fields, std::string_view name)
{
    const auto *value = fields.if_contains({name.data(), name.size()});
    return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

std::string textField(const boost::json::object &fields, std::string_view name)
{
    const auto *value = fields.if_contains({name.data(), name.size()});
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

boost::json::object toJson(const TableTransaction &transaction)
{
    boost::json::array operations;
    for (const TableOperation &operation : transaction.operations) {
        operations.emplace_back(operationToJson(operation));
    }
    return {{"operations", std::move(operations)}};
}

absl::StatusOr<TableTransaction> transactionFromJson(const boost::json::value &value)
{
    if (!value.is_object() || !value.get_object().contains("operations") || !value.get_object().at("operations").is_array()) {
        return failed(FailureKind::InvalidDocument, "a transaction needs a list 'operations'");
    }
    TableTransaction transaction;
    for (const boost::json::value &item : value.get_object().at("operations").get_array()) {
        auto operation = operationFromJson(item);
        if (!operation.ok()) {
            return operation.status();
        }
        transaction.operations.push_back(*std::move(operation));
    }
    return transaction;
}

boost::json::object toJson(const TableRow &row)
{
    return {{"key", row.key}, {"version", static_cast<std::int64_t>(row.version)}, {"fields", row.fields}};
}

TableRow rowFromJson(const boost::json::value &value)
{
    TableRow row;
    if (!value.is_object()) {
        return row;
    }
    const boost::json::object &object = value.get_object();
    row.key = textField(object, "key");
    row.version = static_cast<std::uint64_t>(integerField(object, "version"));
    if (const auto *fields = object.if_contains("fields"); fields != nullptr && fields->is_object()) {
        row.fields = fields->get_object();
    }
    return row;
}

boost::json::object toJson(const TableTransactionResult &result)
{
    boost::json::array obstacles;
    for (const TableObstacle &obstacle : result.obstacles) {
        obstacles.emplace_back(boost::json::object{
            {"operation", static_cast<std::int64_t>(obstacle.operation)}, {"guard", obstacle.guard}, {"row", toJson(obstacle.row)}});
    }
    boost::json::array versions;
    for (const std::uint64_t version : result.versions) {
        versions.emplace_back(static_cast<std::int64_t>(version));
    }
    return {{"applied", result.applied}, {"versions", std::move(versions)}, {"obstacles", std::move(obstacles)}};
}

absl::StatusOr<TableTransactionResult> tableResultFromJson(const boost::json::value &value)
{
    if (!value.is_object() || !value.get_object().contains("applied")) {
        return failed(FailureKind::TableUnreachable, "the table's answer is not a verdict", Executed::Unknown);
    }
    const boost::json::object &object = value.get_object();
    TableTransactionResult result;
    const auto *applied = object.if_contains("applied");
    result.applied = applied->is_bool() && applied->get_bool();
    if (const auto *list = object.if_contains("versions"); list != nullptr && list->is_array()) {
        for (const boost::json::value &version : list->get_array()) {
            result.versions.push_back(static_cast<std::uint64_t>(version.is_int64() ? version.get_int64() : 0));
        }
    }
    if (const auto *list = object.if_contains("obstacles"); list != nullptr && list->is_array()) {
        for (const boost::json::value &item : list->get_array()) {
            const boost::json::object &obstacle = item.as_object();
            result.obstacles.push_back({.operation = static_cast<std::size_t>(integerField(obstacle, "operation")),
                                        .guard = obstacle.contains("guard") && obstacle.at("guard").as_bool(),
                                        .row = rowFromJson(obstacle.at("row"))});
        }
    }
    return result;
}

}
