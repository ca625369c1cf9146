#include "routing/admissionshares.h"

#include "routing/admission.h"
#include "routing/coldadmissions.h"
#include "routing/stablehash.h"

#include <algorithm>
#include <utility>

namespace bamboohold {

AdmissionShares::AdmissionShares(std::string self)
    : m_self(std::move(self))
{
}

void AdmissionShares::setRouters(std::span<const std::string> routers)
{
    m_others.clear();
    for (const std::string &router : routers) {
        if (router != m_self) {
            m_others.push_back(stableHash(router));
        }
    }
}

std::size_t AdmissionShares::rank(std::string_view target) const
{
    const std::uint64_t hash = stableHash(target);
    const std::uint64_t own = mixed(stableHash(m_self) ^ hash);
    return static_cast<std::size_t>(std::ranges::count_if(m_others, [&](std::uint64_t other) {
        return mixed(other ^ hash) > own;
    }));
}

bool AdmissionShares::admit(std::string_view target, double requestsPerSecond, Instant now)
{
    const std::size_t admissions = admissionsPerSpan(requestsPerSecond);
    const std::size_t chosen = std::min(admissions, m_others.size() + 1);
    if (rank(target) >= chosen) {
        return false;
    }
    absl::erase_if(m_next, [now](const auto &entry) {
        return entry.second <= now;
    });
    const double spans = static_cast<double>(chosen) / static_cast<double>(admissions) / std::min(1.0, requestsPerSecond);
    const auto pause = std::chrono::duration_cast<Duration>(s_admissionSpan * spans);
    return m_next.try_emplace(std::string(target), now + pause).second;
}

}
