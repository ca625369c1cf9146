#include "membership/relayedstore.h"

namespace bamboohold {

namespace {

void setAddress(wire::StoreRow &message, const RowAddress &address)
{
    message.set_table(address.table);
    message.set_part(address.part);
    message.set_key(address.key);
}

RowAddress addressOf(const wire::StoreRow &message)
{
    return {.table = message.table(), .part = message.part(), .key = message.key()};
}

void addRows(wire::StoreAnswer &message, const std::vector<StoredRow> &rows)
{
    for (const StoredRow &row : rows) {
        wire::StoreRow &added = *message.add_rows();
        setAddress(added, row.address);
        added.set_version(row.version);
        added.set_value(row.value);
    }
}

std::vector<StoredRow> rowsOf(const wire::StoreAnswer &message)
{
    std::vector<StoredRow> rows;
    for (const wire::StoreRow &row : message.rows()) {
        rows.push_back({.address = addressOf(row), .value = row.value(), .version = row.version()});
    }
    return rows;
}

}

wire::StoreTransaction toWire(const RowTransaction &transaction)
{
    wire::StoreTransaction message;
    for (const RowCondition &condition : transaction.conditions) {
        wire::StoreRow &added = *message.add_conditions();
        setAddress(added, condition.address);
        added.set_version(condition.version);
    }
    for (const RowChange &change : transaction.changes) {
        wire::StoreRow &added = *message.add_changes();
        setAddress(added, change.address);
        if (change.value) {
            added.set_value(*change.value);
        }
    }
    return message;
}

RowTransaction fromWire(const wire::StoreTransaction &message)
{
    RowTransaction transaction;
    for (const wire::StoreRow &condition : message.conditions()) {
        transaction.conditions.push_back({.address = addressOf(condition), .version = condition.version()});
    }
    for (const wire::StoreRow &change : message.changes()) {
        const auto value = change.has_value() ? std::optional(change.value()) : std::nullopt;
        transaction.changes.push_back({.address = addressOf(change), .value = value});
    }
    return transaction;
}

wire::StoreAnswer toWire(const RowTransactionResult &verdict)
{
    wire::StoreAnswer message;
    message.set_applied(verdict.applied);
    message.set_version(verdict.version);
    message.set_store_time_ms(verdict.storeTime);
    message.set_generation(verdict.generation);
    addRows(message, verdict.current);
    return message;
}

wire::StoreAnswer toWire(const RowsSnapshot &read)
{
    wire::StoreAnswer message;
    message.set_version(read.version);
    message.set_store_time_ms(read.storeTime);
    message.set_generation(read.generation);
    addRows(message, read.rows);
    return message;
}

RowTransactionResult verdictFromWire(const wire::StoreAnswer &message)
{
    return {.applied = message.applied(),
            .version = message.version(),
            .current = rowsOf(message),
            .storeTime = message.store_time_ms(),
            .generation = message.generation()};
}

RowsSnapshot readFromWire(const wire::StoreAnswer &message)
{
    return {
        .rows = rowsOf(message), .version = message.version(), .storeTime = message.store_time_ms(), .generation = message.generation()};
}

}
