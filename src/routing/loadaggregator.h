#pragma once

#include "clock/instant.h"
#include "routing/targetspeed.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace bamboohold {

/// Load that routers have placed on a target.
struct TargetLoad {
    /// Requests sent that have not ended.
    std::uint32_t outstanding = 0;
    /// Prompt tokens sent that the target has not processed yet.
    Tokens unread = 0;

    bool operator==(const TargetLoad &) const = default;
};

/// The load of one router at a target. Routers and targets are identified by the hash of their incarnation.
struct LoadReport {
    std::uint64_t router = 0;
    std::uint64_t target = 0;
    /// Increases with each report of a router, so that an older report that arrives late is ignored.
    std::uint64_t sequence = 0;
    TargetLoad load;
    /// The router's measurements of the target's speed; none while it has none.
    std::optional<SpeedReport> speed = std::nullopt;
};

/// Adds up the load that all routers report for the target on one host. Runs in the relay beside the target.
///
/// A router by itself knows only the requests that it has dispatched. With a hundred routers that is one hundredth of a target's load, so
/// that all of them would take the same busy target for idle and send their requests there. Reports carry totals, not differences: the next
/// report makes up for a lost datagram, and once a router's last report has expired nothing of it remains.
///
/// Has no I/O; the caller passes the time.
class LoadAggregator
{
public:
    /// A report that is not renewed within this time expires. Routers renew theirs every second while they have load at the target.
    static constexpr Duration s_reportLifetime = std::chrono::milliseconds(2500);

    /// Reports of further routers are not kept, since anybody can send some in any name.
    static constexpr std::size_t s_maxRouters = 1024;

    /// Stores a report, and returns the total load of all other routers at the same target.
    TargetLoad update(const LoadReport &report, Instant now);

    /// The average speed that all other routers report for the target, weighted by answers; none when no other router reports any.
    std::optional<SpeedReport> speedByOthers(std::uint64_t router, std::uint64_t target, Instant now) const;

private:
    struct Entry {
        std::uint64_t target = 0;
        std::uint64_t sequence = 0;
        TargetLoad load;
        std::optional<SpeedReport> speed;
        Instant receivedAt{};
    };

    void record(const LoadReport &report, Instant now);

    /// By router.
    absl::flat_hash_map<std::uint64_t, Entry> m_entries;
    Instant m_lastExpiry{};
};

}
