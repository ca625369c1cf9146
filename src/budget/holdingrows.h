#pragma once

#include "clock/instant.h"
#include "store/rowstore.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohold {

/// The table that contains all rows of budgets. Each team's rows form one part of it.
inline constexpr std::string_view s_budgetTable = "budget";

/// The key of a team's pool row, which contains the tokens that no router holds.
inline constexpr std::string_view s_poolKey = "pool";

/// The key of a holder's row.
std::string holderKey(std::string_view holder);

/// A holder's row in the store: what one router holds of a team's budget.
struct HolderRow {
    std::string incarnation;
    std::uint64_t flushSequence = 0;
    Tokens granted = 0;
    Tokens settled = 0;
    /// As of this write, for the other routers. Recovery after a death relies on the holder's checkpoint instead.
    Tokens committed = 0;
    /// Estimated demand at the holder in tokens a second, including requests that it had to refuse.
    Tokens demand = 0;
    /// Store time of the write, or a little earlier.
    StoreTimeMs writtenAt = 0;
};

/// A team's pool row in the store.
struct PoolRow {
    Tokens prepaid = 0;
    std::uint64_t planVersion = 0;
    /// Tokens granted to holders, and tokens spent by holders that are gone.
    Tokens allocated = 0;
};

/// Serialize rows to their text in the store, and parse them. A text that cannot be parsed is logged as an error, and yields a holder that
/// holds nothing or a pool that has nothing free.
std::string toText(const HolderRow &row);
std::string toText(const PoolRow &row);
HolderRow holderRowFrom(const StoredRow &stored);
PoolRow poolRowFrom(const StoredRow &stored);

}
