#include "budget/assignedholders.h"

#include "routing/stablehash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace bamboohold {

std::vector<std::string>
assignedHolders(std::string_view team, Tokens prepaid, double averageRequestBound, std::span<const std::string> routers)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(routers.size());
    for (const std::string &router : routers) {
        ranked.emplace_back(mixed(stableHash(team) ^ stableHash(router)), router);
    }
    std::ranges::sort(ranked, std::greater{});
    const double bound = averageRequestBound > 0 ? averageRequestBound : s_initialRequestBound;
    const auto affordable = static_cast<std::size_t>(static_cast<double>(std::max<Tokens>(0, prepaid)) / (s_requestsPerHolder * bound));
    ranked.resize(std::min(ranked.size(), std::clamp(affordable, s_minHolders, s_maxHolders)));
    std::vector<std::string> holders;
    holders.reserve(ranked.size());
    for (auto &[weight, router] : ranked) {
        holders.push_back(std::move(router));
    }
    return holders;
}

}
