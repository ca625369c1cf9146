#pragma once

#include <chrono>
#include <cstdint>

namespace bamboohold {

/// Duration type of decision code, in microseconds.
using Duration = std::chrono::microseconds;

/// Clock tag that keeps the fleet's time points apart from those of the std::chrono clocks. It has no now(): decision code receives the
/// time and cannot read it. The caller chooses the origin, so a test can start at zero.
struct FleetClock {
    using duration = Duration;
    using rep = Duration::rep;
    using period = Duration::period;
    using time_point = std::chrono::time_point<FleetClock, Duration>;
};

/// A point in time, passed to decision code by its caller.
using Instant = FleetClock::time_point;

/// Number of tokens, prompt and output together: the unit of budgets.
using Tokens = std::int64_t;

/// Converts a duration to seconds as a floating-point number, for rates.
inline double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}
