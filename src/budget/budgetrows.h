#pragma once

#include "budget/budgetaccount.h"
#include "store/table.h"

#include <string>
#include <string_view>

/// Keys and fields of the rows in which budgets last. A budget's row always satisfies prepaid == free + granted + consumed; `granted` is
/// the sum of `unspent` over its grant rows.
namespace bamboohold {

inline constexpr std::string_view s_budgetPrefix = "budget/";
inline constexpr std::string_view s_grantPrefix = "grant/";
inline constexpr std::string_view s_nodePrefix = "node/";
inline constexpr std::string_view s_ledgerPrefix = "ledger/";

/// Row of a budget: prepaid, free, granted, consumed, state ("open" or "closed").
std::string budgetKey(std::string_view budget);

/// Row of what one router incarnation holds of a budget: unspent, budget, holder.
std::string grantKey(std::string_view incarnation, std::string_view budget);

/// Row of a router incarnation: state ("live", "sealing", "closed"), flush, sequence, host, address.
std::string nodeKey(std::string_view incarnation);

/// Name of the flush that wrote a ledger page, from the page's key.
std::string flushIdOfLedgerKey(std::string_view key);

/// Object with the charges of one flush.
std::string ledgerKey(std::string_view incarnation, std::string_view flushId);

/// Reads a budget's row; a row of version 0 gives one that does not exist.
BudgetRow parseBudgetRow(const TableRow &row);

/// The fields of a new budget's row.
boost::json::object newBudgetFields(Tokens prepaid);

/// The operations that pay more tokens into a budget (or, with a negative amount, take free ones out), guarded so that no granted token is
/// taken.
std::vector<TableOperation> topUpOperations(std::string_view budget, Tokens amount);

}
