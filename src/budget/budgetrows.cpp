#include "budget/budgetrows.h"

#include <absl/strings/str_cat.h>

namespace bamboohold {

namespace {

std::string concatenated(std::string_view first, std::string_view second)
{
    return std::string(first).append(second);
}

}

std::string budgetKey(std::string_view budget)
{
    return concatenated(s_budgetPrefix, budget);
}

std::string grantKey(std::string_view incarnation, std::string_view budget)
{
    return concatenated(concatenated(s_grantPrefix, incarnation).append("/"), budget);
}

std::string nodeKey(std::string_view incarnation)
{
    return concatenated(s_nodePrefix, incarnation);
}

std::string ledgerKey(std::string_view incarnation, std::string_view flushId)
{
    return concatenated(concatenated(s_ledgerPrefix, incarnation).append("/"), flushId);
}

std::string flushIdOfLedgerKey(std::string_view key)
{
    return std::string(key.substr(key.rfind('/') + 1));
}

BudgetRow parseBudgetRow(const TableRow &row)
{
    return {.free = integerField(row.fields, "free"), .closed = textField(row.fields, "state") == "closed", .exists = row.version != 0};
}

boost::json::object newBudgetFields(Tokens prepaid)
{
    return {{"prepaid", prepaid}, {"free", prepaid}, {"granted", 0}, {"consumed", 0}, {"state", "open"}};
}

std::vector<TableOperation> topUpOperations(std::string_view budget, Tokens amount)
{
    const std::string key = budgetKey(budget);
    return {addToField(key, "free", amount, 0), addToField(key, "prepaid", amount, 0)};
}

}
