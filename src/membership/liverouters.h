#pragma once

#include "clock/instant.h"
#include "store/rowstore.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace bamboohold {

/// Decides from the rows of the routers which of them are live. Pure decision code without I/O.
///
/// When the store returns from an older copy, rows of live routers may be missing until these have written again, and rows of routers that
/// have deregistered may be back. What was known before the return then counts, until a row says otherwise.
class LiveRouters
{
public:
    /// Every router in contact with the store has written its row again within one interval and this margin. The margin covers calls that
    /// hang while the store is away.
    static constexpr Duration s_rewriteMargin = std::chrono::seconds(4);

    struct Options {
        /// Time between two writes of a router.
        Duration interval{};
        /// A router whose row is older than this is gone.
        Duration rowTimeout{};
    };

    /// A valid row.
    struct Row {
        std::string router;
        /// Store time at which the router wrote the row, or 0 if it did not know the time.
        StoreTimeMs writtenAt = 0;
    };

    explicit LiveRouters(Options options);

    /// Returns the live routers in the order of their names. Reads of an earlier generation than the last one must not be passed.
    std::vector<std::string> update(std::span<const Row> rows, StoreGeneration generation, StoreTimeMs now);

private:
    /// The state of the store in which a row was found missing.
    struct Removal {
        StoreGeneration generation = 0;
        StoreTimeMs at = 0;
    };

    void noteRemovals(const std::set<std::string> &present, StoreGeneration generation, StoreTimeMs now);
    bool isLive(const Row &row, StoreGeneration generation, StoreTimeMs now) const;

    Options m_options;
    std::optional<StoreGeneration> m_generation;
    /// Routers with a row in the last read.
    std::set<std::string> m_present;
    /// Routers in the last count.
    std::set<std::string> m_live;
    /// Routers that were counted before the store returned, and the time until which they count without a row.
    std::set<std::string> m_awaited;
    StoreTimeMs m_awaitedUntil = 0;
    /// Removed rows, for as long as a copy of the store that has them may return.
    std::map<std::string, Removal> m_removals;
};

}
