#pragma once

#include "clock/instant.h"
#include "store/rowstore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// The table of the routers' checkpoints. Each router's address is a part of its own, so that two routers never conflict.
inline constexpr std::string_view s_checkpointTable = "checkpoint";

/// The key of a checkpoint's row.
inline constexpr std::string_view s_checkpointKey = "newest";

/// Time after a checkpoint during which its commitments do not grow. A router that reaches the store writes its next checkpoint sooner, so
/// growth is needed only while the store is away. What growth allows is lost when a router dies, because nobody knows how much of it was
/// used; killed processes are mostly back within this time.
inline constexpr Duration s_growthDelay = std::chrono::milliseconds(2500);

/// Upper limit of all token counts and times in stored rows. A larger value was not written by a router and is rejected, so that sums of
/// stored values do not overflow.
inline constexpr std::int64_t s_maxStoredValue = 1'000'000'000'000'000;

/// The limit on what a router commits for one team, valid from one checkpoint until the next.
struct Commitment {
    /// Tokens spent, lent, or reserved at the time of the checkpoint.
    Tokens committed = 0;
    /// Tokens that may be committed beyond that: `burst` at once, and `rate` tokens a second after `s_growthDelay` has passed.
    Tokens burst = 0;
    Tokens rate = 0;

    /// Maximum number of committed tokens this long after the checkpoint.
    Tokens limitAfter(double elapsedSeconds) const;

    bool operator==(const Commitment &) const = default;
};

/// The latest checkpoint of one process.
struct Checkpoint {
    std::string incarnation;
    std::uint64_t sequence = 0;
    /// The store's generation known to the process. In a later one the checkpoint may be older than what the process relied on.
    StoreGeneration generation = 0;
    /// Store time no later than the moment at which the process made the checkpoint.
    StoreTimeMs baseline = 0;
    /// Store time by which the process was certainly dead; none while unknown.
    std::optional<StoreTimeMs> diedBefore;
    /// By team. A team without an entry had nothing committed.
    std::map<std::string, Commitment, std::less<>> teams;

    /// Maximum number of tokens that the process can have committed for the team if it was dead by `deadBy`.
    Tokens maxCommitted(std::string_view team, StoreTimeMs deadBy) const;
};

/// A router's row: its own checkpoint, and those of earlier processes at its address whose holdings are not all recovered yet.
struct CheckpointRow {
    Checkpoint own;
    std::vector<Checkpoint> predecessors;
};

/// Serialize a row to its text in the store, and parse it. A text that cannot be parsed is logged as an error and yields a row without
/// checkpoints; all tokens held by the dead processes then count as spent.
std::string toText(const CheckpointRow &row);
CheckpointRow checkpointRowFrom(const StoredRow &stored);

}
