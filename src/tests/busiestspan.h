#pragma once

#include "clock/instant.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace bamboohold {

/// Simulated time in milliseconds.
using Millis = std::int64_t;

/// Converts simulated time to the clock of the objects under test.
inline Instant at(Millis time)
{
    return Instant{} + std::chrono::hours(1) + std::chrono::milliseconds(time);
}

/// Returns the largest number of arrivals within any span of `length` milliseconds.
inline std::size_t busiestSpan(std::vector<Millis> arrivals, Millis length)
{
    std::ranges::sort(arrivals);
    std::size_t most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto end = std::lower_bound(first, arrivals.end(), *first + length);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

}
