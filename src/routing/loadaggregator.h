#pragma once

#include "clock/instant.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace bamboohold {

/// What is under way at a target.
struct TargetLoad {
    /// Requests sent and not ended.
    std::uint32_t outstanding = 0;
    /// Prompt tokens sent and not yet read.
    Tokens unread = 0;

    bool operator==(const TargetLoad &) const = default;
};

/// What one router has at a target. Routers and lives of targets go by the hash of their names.
struct LoadReport {
    std::uint64_t router = 0;
    std::uint64_t target = 0;
    /// Grows with each report of a router, so that an older one that arrives late changes nothing.
    std::uint64_t sequence = 0;
    TargetLoad load;
};

/// What all routers together have at the target of one host; kept by the relay beside it.
///
/// A router knows its own dispatches only. With a hundred routers that is one in a hundred of what a target has, so that all of them take
/// the same busy target for idle, and go there together. Reports are whole totals, not changes: a lost datagram is made good by the next
/// one, and a router that is gone is forgotten with its last.
///
/// Pure: reports and `now` in, totals out.
class LoadAggregator
{
public:
    /// A report that was not renewed for so long no longer counts. Routers renew theirs every second while they have anything there.
    static constexpr Duration s_reportLifetime = std::chrono::milliseconds(2500);

    /// Takes a report, and returns what all other routers have at the same target.
    TargetLoad update(const LoadReport &report, Instant now);

private:
    struct Entry {
        std::uint64_t target = 0;
        std::uint64_t sequence = 0;
        TargetLoad load;
        Instant receivedAt{};
    };

    /// By router.
    absl::flat_hash_map<std::uint64_t, Entry> m_entries;
    Instant m_lastExpiry{};
};

}
