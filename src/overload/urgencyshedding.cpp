#include "overload/urgencyshedding.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace bamboohold {

namespace {

/// Time constant of the decay of arrivals. The mix of ranks is known within about a second, and a few requests do not change it.
constexpr Duration s_memory = std::chrono::seconds(1);
/// The arrivals of all services are forgotten when there are more than this, so that services that were removed do not accumulate.
constexpr std::size_t s_maxServices = 256;

}

bool UrgencyShedding::shouldRefuse(
    std::string_view service, std::size_t rank, std::size_t ranks, double refusedShare, double hash, Instant now)
{
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        if (m_services.size() >= s_maxServices) {
            m_services.clear();
        }
        found = m_services.emplace(service, Arrivals{.updatedAt = now}).first;
    }
    Arrivals &arrivals = found->second;
    // A new configuration may change the ranks.
    arrivals.byRank.resize(std::max<std::size_t>(1, ranks));
    const std::size_t index = std::min(rank, arrivals.byRank.size() - 1);
    const double remaining = std::exp(-seconds(std::max(Duration::zero(), now - arrivals.updatedAt)) / seconds(s_memory));
    for (double &count : arrivals.byRank) {
        count *= remaining;
    }
    arrivals.updatedAt = now;
    arrivals.byRank[index] += 1;
    const double all = std::accumulate(arrivals.byRank.begin(), arrivals.byRank.end(), 0.0);
    const auto own = arrivals.byRank.begin() + static_cast<std::ptrdiff_t>(index);
    const double lessUrgent = std::accumulate(own + 1, arrivals.byRank.end(), 0.0);
    // The part of this rank that is needed after all less urgent ranks have been refused.
    return hash * *own < refusedShare * all - lessUrgent;
}

}
