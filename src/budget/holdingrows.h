#pragma once

#include "clock/instant.h"
#include "store/rowstore.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohold {

/// The table that all rows of budgets are in; a team's rows are its part.
inline constexpr std::string_view s_budgetTable = "budget";

/// The key of a team's pool row.
inline constexpr std::string_view s_poolKey = "pool";

/// The key of a holder's row.
std::string holderKey(std::string_view holder);

/// A holder's row as it stands in the store.
struct HolderRow {
    std::string incarnation;
    std::uint64_t flush = 0;
    Tokens granted = 0;
    Tokens settled = 0;
    /// As of this row, for the other routers; what the holder answers for stands in its checkpoint.
    Tokens committed = 0;
    /// Tokens a second that the holder's requests probably use, those that it had to refuse included.
    Tokens demand = 0;
    /// Store time at which the row was written, or somewhat earlier.
    StoreTimeMs writtenAt = 0;
};

/// The pool's row as it stands in the store.
struct PoolRow {
    Tokens prepaid = 0;
    std::uint64_t planVersion = 0;
    /// Tokens with holders, and those spent by holders that are gone.
    Tokens allocated = 0;
};

/// The rows' text in the store. A text that cannot be read leaves a line in the log and gives a holder with nothing, or a pool with nothing
/// free.
std::string toText(const HolderRow &row);
std::string toText(const PoolRow &row);
HolderRow holderRowFrom(const StoredRow &stored);
PoolRow poolRowFrom(const StoredRow &stored);

}
