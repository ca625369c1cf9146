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
    m_otherRouterHashes.clear();
    for (const std::string &router : routers) {
        if (router != m_self) {
            m_otherRouterHashes.push_back(stableHash(router));
        }
    }
}

std::size_t AdmissionShares::rank(std::string_view target) const
{
    const std::uint64_t hash = stableHash(target);
    const std::uint64_t own = mixed(stableHash(m_self) ^ hash);
    return static_cast<std::size_t>(std::ranges::count_if(m_otherRouterHashes, [&](std::uint64_t other) {
        return mixed(other ^ hash) > own;
    }));
}

bool AdmissionShares::admit(std::string_view target, double requestsPerSecond, Instant now)
{
    const std::size_t admissions = admissionsPerSpan(requestsPerSecond);
    const std::size_t chosenRouters = std::min(admissions, m_otherRouterHashes.size() + 1);
    if (rank(target) >= chosenRouters) {
        return false;
    }
    absl::erase_if(m_nextAdmission, [now](const auto &entry) {
        return entry.second <= now;
    });
    const double spansPerAdmission =
        static_cast<double>(chosenRouters) / static_cast<double>(admissions) / std::min(1.0, requestsPerSecond);
    const auto interval = std::chrono::duration_cast<Duration>(s_admissionSpan * spansPerAdmission);
    return m_nextAdmission.try_emplace(std::string(target), now + interval).second;
}

}
