#include "store/memorytable.h"

#include "failure/failure.h"

#include <utility>

namespace bamboohold {

std::optional<TableObstacle> MemoryTable::obstacleTo(const TableOperation &operation, std::size_t index) const
{
    const auto found = m_rows.find(operation.key);
    TableObstacle obstacle{.operation = index, .row = {.key = operation.key}};
    if (found != m_rows.end()) {
        obstacle.row = found->second;
    }
    if (operation.expectedVersion && *operation.expectedVersion != obstacle.row.version) {
        return obstacle;
    }
    if (operation.kind != TableOperation::Kind::Add) {
        return std::nullopt;
    }
    if (obstacle.row.version == 0) {
        return obstacle;
    }
    const std::int64_t sum = integerField(obstacle.row.fields, operation.field) + operation.delta;
    if (operation.minimum && sum < *operation.minimum) {
        obstacle.guard = true;
        return obstacle;
    }
    return std::nullopt;
}

void MemoryTable::apply(const TableOperation &operation)
{
    if (operation.kind == TableOperation::Kind::Check) {
        return;
    }
    if (operation.kind == TableOperation::Kind::Remove) {
        m_rows.erase(operation.key);
        return;
    }
    TableRow &row = m_rows[operation.key];
    row.key = operation.key;
    row.version = ++m_lastVersion;
    if (operation.kind == TableOperation::Kind::Put) {
        row.fields = operation.fields;
        return;
    }
    row.fields[operation.field] = integerField(row.fields, operation.field) + operation.delta;
}

absl::StatusOr<TableTransactionResult> MemoryTable::transact(const TableTransaction &transaction)
{
    TableTransactionResult result;
    for (std::size_t index = 0; index < transaction.operations.size(); ++index) {
        if (auto obstacle = obstacleTo(transaction.operations[index], index)) {
            result.obstacles.push_back(*std::move(obstacle));
        }
    }
    if (!result.obstacles.empty()) {
        return result;
    }
    for (const TableOperation &operation : transaction.operations) {
        apply(operation);
    }
    for (const TableOperation &operation : transaction.operations) {
        const auto row = m_rows.find(operation.key);
        result.versions.push_back(row == m_rows.end() ? 0 : row->second.version);
    }
    ++m_writes;
    result.applied = true;
    return result;
}

absl::StatusOr<TableRow> MemoryTable::read(std::string_view key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? TableRow{.key = std::string(key)} : found->second;
}

absl::StatusOr<std::vector<TableRow>> MemoryTable::scan(std::string_view prefix) const
{
    std::vector<TableRow> rows;
    for (auto entry = m_rows.lower_bound(prefix); entry != m_rows.end() && entry->first.starts_with(prefix); ++entry) {
        rows.push_back(entry->second);
    }
    return rows;
}

absl::Status MemoryTable::putObject(std::string_view key, std::string content)
{
    m_objects.insert_or_assign(std::string(key), std::move(content));
    return absl::OkStatus();
}

absl::StatusOr<std::string> MemoryTable::readObject(std::string_view key) const
{
    const auto found = m_objects.find(key);
    if (found == m_objects.end()) {
        return failed(FailureKind::NotFound, key);
    }
    return found->second;
}

}
