#pragma once

#include "budget/budgetaccount.h"
#include "store/table.h"

#include <string>
#include <string_view>

/// Keys and fields of the table rows that store budgets. In every budget row, prepaid == free + granted + consumed, and `granted` is the
/// sum of `unspent` over the budget's grant rows. All amounts are in tokens.
namespace bamboohold {

inline constexpr std::string_view s_budgetPrefix = "budget/";
inline constexpr std::string_view s_grantPrefix = "grant/";
inline constexpr std::string_view s_nodePrefix = "node/";
inline constexpr std::string_view s_ledgerPrefix = "ledger/";

/// Key of a budget's row. Fields: prepaid, free, granted, consumed, state ("open" or "closed").
std::string budgetKey(std::string_view budget);

/// Key of the row with the tokens of a budget that one router incarnation holds. Fields: unspent, budget, holder.
std::string grantKey(std::string_view incarnation, std::string_view budget);

/// Key of a router incarnation's row. Fields: state ("live", "sealing" or "closed"), flush, ledger, host, address; from sealing on also
/// epoch and reclaimer.
std::string nodeKey(std::string_view incarnation);

/// Returns the id of the flush that wrote the ledger page stored under this key.
std::string flushIdOfLedgerKey(std::string_view key);

/// Object key of the ledger page with the charges of one flush.
std::string ledgerKey(std::string_view incarnation, std::string_view flushId);

/// Parses a budget's row. Version 0 means that the budget does not exist.
BudgetRow parseBudgetRow(const TableRow &row);

/// Returns the fields of a new budget's row, in which all prepaid tokens are free.
boost::json::object newBudgetFields(Tokens prepaid);

/// Returns the operations that add prepaid tokens to a budget or, if the amount is negative, remove free ones. The transaction is rejected
/// if the budget has fewer free tokens than that, so tokens granted to routers are never removed.
std::vector<TableOperation> topUpOperations(std::string_view budget, Tokens amount);

}
