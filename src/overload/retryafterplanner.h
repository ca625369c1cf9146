#pragma once

#include "clock/instant.h"
#include "gateway/routingplan.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

namespace bamboohold {

/// Numbers of events in slots of 100 ms, over the `Slots` slots up to the latest one. The numbers of earlier slots are dropped.
template<std::size_t Slots>
class SlotCounts
{
public:
    /// Moves the latest slot ahead; never back.
    void extendTo(std::int64_t latest)
    {
        // After a long pause everything is dropped, however many slots have passed.
        for (std::int64_t slot = std::max(m_latest + 1, latest - static_cast<std::int64_t>(Slots) + 1); slot <= latest; ++slot) {
            m_counts[index(slot)] = 0;
        }
        m_latest = std::max(m_latest, latest);
    }

    /// The number of a slot; 0 for one that is not covered.
    std::uint32_t count(std::int64_t slot) const
    {
        return covers(slot) ? m_counts[index(slot)] : 0;
    }

    void increment(std::int64_t slot)
    {
        if (covers(slot)) {
            ++m_counts[index(slot)];
        }
    }

    void decrement(std::int64_t slot)
    {
        if (count(slot) > 0) {
            --m_counts[index(slot)];
        }
    }

private:
    static std::size_t index(std::int64_t slot)
    {
        return static_cast<std::size_t>(slot) % Slots;
    }

    bool covers(std::int64_t slot) const
    {
        return slot >= 0 && slot <= m_latest && slot > m_latest - static_cast<std::int64_t>(Slots);
    }

    std::array<std::uint32_t, Slots> m_counts{};
    std::int64_t m_latest = -1;
};

/// Plans when the refused callers of one service are to come back to it, so that no more of them come at a time than this router can serve.
///
/// The rate at which the router dispatches requests to the service is the rate at which it can serve retries. Half of it is left to new
/// requests, except for retries of the most urgent rank. Pure: events and `now` in.
class RetryAfterPlanner
{
public:
    /// A caller that is refused.
    struct Caller {
        Urgency urgency;
        /// Any evenly distributed value of the request, by which callers are spread within a slot.
        std::uint64_t requestHash = 0;
        /// How long the caller would still wait for an answer.
        Duration timeLeft{};
        /// The service is known to accept nothing before this time.
        std::optional<Instant> opensAt;
    };

    /// A request was sent to a target of the service.
    void recordDispatch(Instant now);

    /// The request that was sent at `sentAt` was declined by its target, or never reached it. It does not count as served.
    void revokeDispatch(Instant sentAt);

    /// Requests that are dispatched per second, averaged over `s_rateWindow`.
    double dispatchRate(Instant now) const;

    /// The time after which the caller is told to come back. Its retry is planned for then, unless the caller does not wait that long.
    Duration plan(const Caller &caller, Instant now);

    /// Retries that are planned for the slot of this time.
    std::uint32_t planned(Instant time) const
    {
        return m_planned.count(slotOf(time));
    }

    static constexpr Duration s_slot = std::chrono::milliseconds(100);
    /// Planned times are kept for this long, ahead and past.
    static constexpr Duration s_horizon = std::chrono::seconds(10);
    static constexpr Duration s_rateWindow = std::chrono::seconds(2);
    /// A retry in less time than this finds the service as it was.
    static constexpr Duration s_minRetryTime = std::chrono::milliseconds(50);
    /// Told where nothing has been dispatched during the rate window, so that no rate is known; callers are spread over as much again.
    static constexpr Duration s_unknownRateTime = std::chrono::seconds(1);

private:
    static constexpr std::int64_t s_horizonSlots = s_horizon / s_slot;
    static constexpr std::int64_t s_rateSlots = s_rateWindow / s_slot;

    /// How many retries a caller may be planned next to.
    struct Bounds {
        double perSlot = 0;
        /// For rates below one retry a slot, and fractions of a retry: the bound of any sequence of this many slots.
        std::int64_t windowSlots = 0;
        std::int64_t perWindow = 0;
    };

    static std::int64_t slotOf(Instant time)
    {
        return time.time_since_epoch() / s_slot;
    }

    static Bounds boundsOf(const Urgency &urgency, double rate);
    bool hasRoom(std::int64_t slot, const Bounds &bounds) const;

    SlotCounts<static_cast<std::size_t>(s_rateSlots) + 1> m_dispatched;
    SlotCounts<2 * static_cast<std::size_t>(s_horizonSlots) + 1> m_planned;
};

}
