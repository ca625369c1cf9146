#include "overload/retryafterplanner.h"

#include "routing/stablehash.h"

#include <algorithm>
#include <cmath>

namespace bamboohold {

namespace {

/// The part of the rate that retries may use; the rest is for new requests. Retries of the most urgent rank may use all of it.
constexpr double s_retryShare = 0.5;
/// Callers come back as told only within this part of the time that they still wait.
constexpr int s_obeyedFraction = 3;
/// Fractions of a retry per slot are made up for within a second.
constexpr std::int64_t s_minWindowSlots = 10;

/// A product that is a whole number may come out as slightly less.
constexpr double s_roundingError = 1e-9;
/// Callers for whom no slot is free are spread over this time after the last one.
constexpr Duration s_overflowSpread = std::chrono::seconds(1);

/// A time between the two, by the hash.
Instant spread(Instant from, Instant to, std::uint64_t hash)
{
    const auto width = static_cast<std::uint64_t>(std::max<Duration::rep>((to - from).count(), 1));
    return from + Duration(static_cast<Duration::rep>(mixed(hash) % width));
}

}

void RetryAfterPlanner::recordDispatch(Instant now)
{
    m_dispatched.extendTo(slotOf(now));
    m_dispatched.increment(slotOf(now));
}

void RetryAfterPlanner::revokeDispatch(Instant sentAt)
{
    m_dispatched.decrement(slotOf(sentAt));
}

double RetryAfterPlanner::dispatchRate(Instant now) const
{
    const std::int64_t current = slotOf(now);
    std::uint32_t dispatched = 0;
    for (std::int64_t slot = current - s_rateSlots; slot <= current; ++slot) {
        dispatched += m_dispatched.count(slot);
    }
    const Duration inCurrent = now.time_since_epoch() - current * s_slot;
    return dispatched / seconds(s_rateWindow + inCurrent);
}

RetryAfterPlanner::Bounds RetryAfterPlanner::boundsOf(const Urgency &urgency, double rate)
{
    const bool mostUrgent = urgency.rank == 0 && urgency.ranks > 1;
    const double perSlot = rate * seconds(s_slot) * (mostUrgent ? 1 : s_retryShare);
    const double slotsPerRetry = std::clamp<double>(std::ceil(1 / perSlot), s_minWindowSlots, s_horizonSlots);
    const auto perWindow = static_cast<std::int64_t>(perSlot * slotsPerRetry + s_roundingError);
    return {.perSlot = perSlot, .windowSlots = static_cast<std::int64_t>(slotsPerRetry), .perWindow = std::max<std::int64_t>(perWindow, 1)};
}

bool RetryAfterPlanner::hasRoom(std::int64_t slot, const Bounds &bounds) const
{
    if (m_planned.count(slot) >= std::max(bounds.perSlot, 1.0)) {
        return false;
    }
    std::int64_t sum = 0;
    for (std::int64_t other = slot - bounds.windowSlots + 1; other < slot + bounds.windowSlots; ++other) {
        sum += m_planned.count(other);
        sum -= other > slot ? m_planned.count(other - bounds.windowSlots) : 0;
        if (other >= slot && sum >= bounds.perWindow) {
            return false;
        }
    }
    return true;
}

Duration RetryAfterPlanner::plan(const Caller &caller, Instant now)
{
    const Instant earliest = std::max(now + s_minRetryTime, caller.opensAt.value_or(now));
    const double rate = dispatchRate(now);
    if (rate <= 0) {
        const Instant told = spread(now + s_unknownRateTime, now + 2 * s_unknownRateTime, caller.requestHash);
        return std::max(told, earliest) - now;
    }
    const Bounds bounds = boundsOf(caller.urgency, rate);
    const std::int64_t last = slotOf(now) + s_horizonSlots;
    m_planned.extendTo(last);
    for (std::int64_t slot = slotOf(earliest); slot <= last; ++slot) {
        if (!hasRoom(slot, bounds)) {
            continue;
        }
        const Instant slotStart = Instant(slot * s_slot);
        const Instant told = spread(std::max(slotStart, earliest), slotStart + s_slot, caller.requestHash);
        if (told - now <= caller.timeLeft / s_obeyedFraction) {
            m_planned.increment(slot);
        }
        return told - now;
    }
    return std::max(earliest, spread(now + s_horizon, now + s_horizon + s_overflowSpread, caller.requestHash)) - now;
}

}
