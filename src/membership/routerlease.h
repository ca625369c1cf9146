#pragma once

#include "clock/instant.h"
#include "store/rowstore.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bamboohold {

/// The place of a router among those that divide something among them: its rank, from 0, and how many they are.
struct FleetPosition {
    std::size_t rank = 0;
    std::size_t routers = 1;
};

/// Decides whether this router may use a share of a limit that holds for all routers together.
///
/// Routers know of each other by their rows in the store. Their counts differ: a router that has joined is missing in older counts, one
/// that could not write is missing in newer ones, and one that has left may have used its share a moment ago. So a router has a position
/// only while its last write and its last count are recent, and only after both have been for so long that every router with a position has
/// counted it. It also counts routers that it no longer finds, until what they used is out of the span. Of any routers that use their
/// shares within one span, each has then counted all others, so the shares add up to the limit at most.
///
/// Relies on the clocks of hosts running at the same rate; they may show different times. Has no I/O and no clock of its own.
class RouterLease
{
public:
    struct Options {
        /// The name of this router.
        std::string router;
        /// How long a write or a count is recent. Shorter than the time after which others take the row for outdated.
        Duration lease = std::chrono::seconds(8);
        /// The limit applies to what the routers use within this time.
        Duration span = std::chrono::seconds(11);
    };

    explicit RouterLease(Options options);

    /// The store has acknowledged at `now` the write of this router's row that was sent at `sentAt`.
    void recordWrite(Instant sentAt, StoreGeneration generation, Instant now);

    /// The store has answered at `now` a read that was sent at `sentAt`; these routers were found alive.
    void recordCount(Instant sentAt, std::span<const std::string> routers, StoreGeneration generation, Instant now);

    /// This router is about to remove its row.
    void end();

    /// The position of this router in the division of what has this name; none while it has no share.
    std::optional<FleetPosition> position(std::string_view name, Instant now) const;

private:
    /// The time for which a router must have had a lease before it has a position.
    Duration joinTime() const
    {
        return m_options.lease + m_options.span;
    }

    bool lapsed(Instant now) const;
    /// Starts over if the lease has lapsed, or the store has returned from a copy: it may have lost rows that were counted before.
    void renew(StoreGeneration generation, Instant now);

    Options m_options;
    std::optional<StoreGeneration> m_generation;
    /// When the first write of the unbroken lease was acknowledged.
    std::optional<Instant> m_since;
    std::optional<Instant> m_lastWriteSent;
    std::optional<Instant> m_lastCountSent;
    /// Routers that were counted, and when the last read that found them was sent.
    std::map<std::string, Instant> m_counted;
    bool m_ended = false;
};

}
