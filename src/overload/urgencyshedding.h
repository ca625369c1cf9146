#pragma once

#include "clock/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Selects which requests make up the share that an overloaded router refuses: those of the least urgent rank first, and a rank by hash
/// only where the share falls within it. Ranks of different services cannot be compared, so each service is refused the same share of its
/// requests. Pure: arrivals and `now` in.
class UrgencyShedding
{
public:
    /// Records an arriving request and returns whether it belongs to the refused share. `rank` 0 is the most urgent. `hash` is evenly
    /// distributed between 0 and 1.
    bool shouldRefuse(std::string_view service, std::size_t rank, std::size_t ranks, double refusedShare, double hash, Instant now);

private:
    /// Recent arrivals by rank, each weighted down with its age.
    struct Arrivals {
        std::vector<double> byRank;
        Instant updatedAt{};
    };

    std::map<std::string, Arrivals, std::less<>> m_services;
};

}
