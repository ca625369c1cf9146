#pragma once

#include "clock/instant.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace bamboohold {

/// Removes about a quarter of a map's entries: those with the oldest times, where `timeOf` returns the time of a value. Removing a quarter
/// at once avoids a scan of the whole map for each new entry of a full map.
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
