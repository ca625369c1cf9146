#pragma once

#include <chrono>
#include <cstdint>

namespace bamboohold {

/// Time as decision code sees it. Microseconds; the origin is whatever the caller chose, so a test starts at zero.
using Duration = std::chrono::microseconds;

/// Tag that keeps the fleet's instants apart from the clocks of std::chrono: decision code can take one but never read one.
struct FleetClock {
    using duration = Duration;
    using rep = Duration::rep;
    using period = Duration::period;
    using time_point = std::chrono::time_point<FleetClock, Duration>;
};

/// A point in time handed to decision code by whoever drives it.
using Instant = FleetClock::time_point;

/// Tokens, prompt and output together: the unit of budgets.
using Tokens = std::int64_t;

/// Seconds as a real number, for rates.
inline double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}
