#include "budget/keepers.h"

#include "routing/stablehash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace bamboohold {

std::vector<std::string> keepersOf(std::string_view team, Tokens prepaid, double usualBound, std::span<const std::string> routers)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(routers.size());
    for (const std::string &router : routers) {
        ranked.emplace_back(mixed(stableHash(team) ^ stableHash(router)), router);
    }
    std::ranges::sort(ranked, std::greater{});
    const double bound = usualBound > 0 ? usualBound : s_usualBoundAtFirst;
    const auto worth = static_cast<std::size_t>(static_cast<double>(std::max<Tokens>(0, prepaid)) / (s_requestsPerKeeper * bound));
    ranked.resize(std::min(ranked.size(), std::clamp(worth, s_fewestKeepers, s_mostKeepers)));
    std::vector<std::string> keepers;
    keepers.reserve(ranked.size());
    for (auto &[weight, router] : ranked) {
        keepers.push_back(std::move(router));
    }
    return keepers;
}

}
