#include "routing/warmup.h"

#include "routing/stablehash.h"

#include <algorithm>
#include <utility>

namespace bamboohold {

std::size_t admissionsPerSpan(double requestsPerSecond)
{
    // Far more than any target takes in a second.
    constexpr double most = 1e6;
    return static_cast<std::size_t>(std::clamp(requestsPerSecond, 1.0, most));
}

WarmupAdmissions::WarmupAdmissions(Instant startedAt)
    : m_startedAt(startedAt)
{
}

bool WarmupAdmissions::admit(std::uint64_t target, double requestsPerSecond, Instant now)
{
    if (now - m_startedAt < s_admissionSpan) {
        return false;
    }
    if (target != m_target) {
        m_target = target;
        m_admitted.clear();
    }
    while (!m_admitted.empty() && now - m_admitted.front() >= s_admissionSpan) {
        m_admitted.pop_front();
    }
    if (m_admitted.size() >= admissionsPerSpan(requestsPerSecond)) {
        return false;
    }
    m_admitted.push_back(now);
    return true;
}

WarmupShares::WarmupShares(std::string self)
    : m_self(std::move(self))
{
}

void WarmupShares::setRouters(std::span<const std::string> routers)
{
    m_others.clear();
    for (const std::string &router : routers) {
        if (router != m_self) {
            m_others.push_back(stableHash(router));
        }
    }
}

std::size_t WarmupShares::rank(std::string_view target) const
{
    const std::uint64_t hash = stableHash(target);
    const std::uint64_t own = mixed(stableHash(m_self) ^ hash);
    return static_cast<std::size_t>(std::ranges::count_if(m_others, [&](std::uint64_t other) {
        return mixed(other ^ hash) > own;
    }));
}

bool WarmupShares::admit(std::string_view target, double requestsPerSecond, Instant now)
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
