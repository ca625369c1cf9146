#pragma once

#include "clock/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bamboohold {

/// A crash of a target, as far as a router knows of it.
struct SeenCrash {
    /// Hash of the target's incarnation.
    std::uint64_t target = 0;
    Instant at{};
    /// Of a part of prompts: hash of the request that it was in; 0 if unknown.
    std::uint64_t request = 0;
};

/// Remembers when targets crashed, and weighs the crashes that have something in common.
///
/// Pure decision code without I/O. Targets also crash of other causes, and then often many at once, for example all of a failure domain.
/// Whatever a few of those had in flight proves little, so crashes at about the same time count as one unless most of them have it in
/// common.
class CrashEvidence
{
public:
    struct Options {
        /// Crashes no further apart than this may have a common cause. Routers date one crash differently by the time that a report takes
        /// between regions.
        Duration burst = std::chrono::milliseconds(150);
        /// Targets that end together are dated no further apart than this.
        Duration atOnce = std::chrono::milliseconds(50);
        /// A crash is remembered for this long.
        Duration retention = std::chrono::minutes(5);
        /// Maximum number of crashes remembered. When it is exceeded, the oldest ones are forgotten.
        std::size_t maxCrashes = 1024;
    };

    CrashEvidence();
    explicit CrashEvidence(Options options);

    /// Records that a target crashed, whatever it had in flight. The earliest time that is reported for a crash holds.
    void recordCrash(const SeenCrash &crash);

    /// Returns the time of the crash with which the weight of these crashes reaches `wanted`, or nullopt if it does not. Each crash weighs
    /// 1. Crashes within a burst weigh 1 together if they are no more than half of the crashes known from that time.
    std::optional<Instant> reaches(std::size_t wanted, std::span<const SeenCrash> crashes) const;

    /// Returns true if several targets ended together at this time.
    bool severalAtOnce(Instant at) const
    {
        return countNear(at, m_options.atOnce) > 1;
    }

    /// Removes outdated crashes. Call this periodically.
    void expire(Instant now);

private:
    std::size_t countNear(Instant at, Duration within) const;

    Options m_options;
    /// Times of crashes by target, and the same times in order.
    std::map<std::uint64_t, Instant> m_crashes;
    std::multimap<Instant, std::uint64_t> m_byTime;
};

}
