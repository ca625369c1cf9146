#pragma once

#include "budget/checkpointrow.h"
#include "clock/instant.h"
#include "store/rowstore.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohold {

/// The table that contains all rows of budgets. Each team's rows form one part of it.
inline constexpr std::string_view s_budgetTable = "budget";

/// The key of a team's pool row, which contains the tokens that no router holds.
inline constexpr std::string_view s_poolKey = "pool";

/// Prefix of the key of the row that marks the store's generation in a team's part. It has the generation's number in its key, exists only
/// in that generation, and every transaction is conditional on it: one that was planned in an earlier generation cannot match a version
/// that was given out again.
std::string generationKey(StoreGeneration generation);

/// Serialize the store's time at which a generation was first marked, and parse it; 0 for a text that cannot be parsed.
std::string markText(StoreTimeMs since);
StoreTimeMs markTimeFrom(const StoredRow &stored);

/// Whether the key is one that generationKey() returns.
bool isGenerationKey(std::string_view key);

/// The key of a holder's row.
std::string holderKey(std::string_view holder);

/// Whether the key is one that holderKey() returns.
bool isHolderKey(std::string_view key);

/// The key of the row that exists only while the pool's row is the one of this write. Transactions that change the pool are conditional on
/// it too: after a return of the store, another write may be given the pool's version that they expect.
std::string poolWriteKey(std::string_view writeId);

/// Whether the key is one that poolWriteKey() returns.
bool isPoolWriteKey(std::string_view key);

/// The most that a holder lets itself be granted while the store may still return from a copy with the row that says so. After a return,
/// the others leave as much in the pool until the holder has written its row again.
struct DrawLimit {
    static constexpr std::int64_t s_wholeShare = 1000;

    Tokens ceiling = 0;
    /// The team's prepaid tokens when the row was written, and the part of later top-ups that the holder may draw, in thousandths.
    Tokens prepaid = 0;
    std::int64_t share = 0;
    /// What the limits in earlier rows of the holder allow.
    Tokens older = s_unlimited;

    static constexpr Tokens s_unlimited = s_maxStoredValue;

    /// The most that may be granted when this much is prepaid.
    Tokens most(Tokens nowPrepaid) const
    {
        return ceiling + std::max<Tokens>(0, nowPrepaid - prepaid) / s_wholeShare * share;
    }

    bool operator==(const DrawLimit &) const = default;
};

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
    /// The store's generation known to the writer.
    StoreGeneration generation = 0;
    /// The store's generation in which the writer started, or the process that it recovered.
    StoreGeneration startedIn = 0;
    /// The writer's link address; empty in rows of earlier versions.
    std::string link;
    DrawLimit draws;
};

/// A team's pool row in the store.
struct PoolRow {
    Tokens prepaid = 0;
    std::uint64_t planVersion = 0;
    /// Tokens granted to holders, and tokens spent by holders that are gone.
    Tokens allocated = 0;
    /// Identifies the flush that wrote the row; empty in rows of earlier versions.
    std::string writeId;
    /// Number of holders whose first row may have been lost when the store returned from a copy, and what they may hold: it stays in the
    /// pool until they have written their rows again.
    std::int64_t lostRows = 0;
    Tokens withheld = 0;

    Tokens withheldForLostRows() const
    {
        return lostRows > 0 ? withheld : 0;
    }
};

/// Serialize rows to their text in the store, and parse them. A text that cannot be parsed is logged as an error, and yields a holder that
/// holds nothing or a pool that has nothing free.
std::string toText(const HolderRow &row);
std::string toText(const PoolRow &row);
HolderRow holderRowFrom(const StoredRow &stored);
PoolRow poolRowFrom(const StoredRow &stored);

}
