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

/// The table that routers' checkpoints are in; a router's address is its part, so that no two routers ever conflict.
inline constexpr std::string_view s_checkpointTable = "checkpoint";

/// The key of a checkpoint's row.
inline constexpr std::string_view s_checkpointKey = "newest";

/// A commitment does not grow for this long. A router in touch with the store writes another one sooner, so the growth serves outages of
/// the store alone; and what it allows is lost when routers die, since nobody knows how much of it was used. Killed processes are most
/// often back within this time.
inline constexpr Duration s_stillTime = std::chrono::milliseconds(2500);

/// No count of tokens or time that a row of ours holds is larger; one that is comes from somewhere else, and sums of such do not overflow.
inline constexpr std::int64_t s_mostStored = 1'000'000'000'000'000;

/// What a router promises about one team from the moment of a checkpoint until its next one.
struct Commitment {
    /// Tokens spent for good, lent, or reserved at that moment.
    Tokens committed = 0;
    /// On top of it: this much at once, and once `s_stillTime` has passed so many tokens a second.
    Tokens burst = 0;
    Tokens rate = 0;

    /// The most that is committed this long after the checkpoint.
    Tokens most(double elapsedSeconds) const;

    bool operator==(const Commitment &) const = default;
};

/// The last checkpoint of one process.
struct Checkpoint {
    std::string incarnation;
    std::uint64_t sequence = 0;
    /// Store time that is not later than the moment from which the process counts.
    StoreTimeMs baseline = 0;
    /// Store time by which the process was surely dead; none while that is unknown.
    std::optional<StoreTimeMs> diedBefore;
    /// By team. A team that is not in it had nothing committed.
    std::map<std::string, Commitment, std::less<>> teams;

    /// The most that a process that was dead at that store time can have committed for the team.
    Tokens mostCommitted(std::string_view team, StoreTimeMs deadBy) const;
};

/// A router's row: its own checkpoint, and those of earlier processes at its address whose holdings are not all recovered yet.
struct CheckpointRow {
    Checkpoint own;
    std::vector<Checkpoint> earlier;
};

/// The row's text in the store. A text that cannot be read leaves a line in the log and gives a row without any checkpoint, by which all
/// that the dead held counts as spent.
std::string toText(const CheckpointRow &row);
CheckpointRow checkpointRowFrom(const StoredRow &stored);

}
