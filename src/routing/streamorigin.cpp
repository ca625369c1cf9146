#include "routing/streamorigin.h"

#include "routing/stablehash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace bamboohold {

std::uint64_t streamKey(std::string_view team, std::string_view requestId)
{
    return mixed(stableHash(requestId) ^ mixed(stableHash(team)));
}

void StreamKeepers::setProcesses(std::span<const std::string> addresses)
{
    m_processes.clear();
    for (const std::string &address : addresses) {
        m_processes.push_back({.hash = stableHash(address), .address = address});
    }
}

std::vector<std::string> StreamKeepers::keepersOf(std::uint64_t key, std::size_t most) const
{
    std::vector<std::pair<std::uint64_t, const std::string *>> weights;
    weights.reserve(m_processes.size());
    for (const Process &process : m_processes) {
        weights.emplace_back(mixed(process.hash ^ key), &process.address);
    }
    const std::size_t size = std::min(most, weights.size());
    std::ranges::partial_sort(weights, weights.begin() + static_cast<std::ptrdiff_t>(size), std::greater<>());
    std::vector<std::string> keepers;
    for (std::size_t index = 0; index < size; ++index) {
        keepers.push_back(*weights[index].second);
    }
    return keepers;
}

}
