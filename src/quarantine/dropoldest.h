#pragma once

#include "clock/instant.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace bamboohold {

/// Drops about the quarter of a map's entries whose times, as `timeOf` gives them for a value, are longest ago. A quarter at once, so that
/// a map that is full does not look through all its entries for each new one.
template<typename Map, typename TimeOf>
void dropOldestQuarter(Map &map, TimeOf timeOf)
{
    std::vector<Instant> times;
    times.reserve(map.size());
    for (const auto &[key, value] : map) {
        times.push_back(timeOf(value));
    }
    const auto oldest = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 4);
    std::ranges::nth_element(times, oldest);
    std::size_t surplus = times.size() / 4 + 1;
    std::erase_if(map, [&](const auto &entry) {
        const bool drop = surplus > 0 && timeOf(entry.second) <= *oldest;
        surplus -= drop ? 1 : 0;
        return drop;
    });
}

}
