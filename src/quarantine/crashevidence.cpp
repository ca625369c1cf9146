#include "quarantine/crashevidence.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// Tolerance for sums of fractions.
constexpr double s_rounding = 1e-6;

}

CrashEvidence::CrashEvidence()
    : CrashEvidence(Options{})
{
}

CrashEvidence::CrashEvidence(Options options)
    : m_options(options)
{
}

void CrashEvidence::recordCrash(const SeenCrash &crash)
{
    const auto [known, isNew] = m_crashes.try_emplace(crash.target, crash.at);
    if (!isNew && known->second <= crash.at) {
        return;
    }
    if (!isNew) {
        const auto [first, last] = m_byTime.equal_range(known->second);
        m_byTime.erase(std::find_if(first, last, [&](const auto &entry) {
            return entry.second == crash.target;
        }));
        known->second = crash.at;
    }
    m_byTime.emplace(crash.at, crash.target);
    while (m_byTime.size() > m_options.maxCrashes) {
        m_crashes.erase(m_byTime.begin()->second);
        m_byTime.erase(m_byTime.begin());
    }
}

std::size_t CrashEvidence::countNear(Instant at, Duration within) const
{
    const auto first = m_byTime.lower_bound(at - within);
    const auto last = m_byTime.upper_bound(at + within);
    return static_cast<std::size_t>(std::distance(first, last));
}

std::optional<Instant> CrashEvidence::reaches(std::size_t wanted, std::span<const SeenCrash> crashes) const
{
    if (crashes.size() < wanted) {
        return std::nullopt;
    }
    std::vector<Instant> times;
    times.reserve(crashes.size());
    for (const SeenCrash &crash : crashes) {
        times.push_back(crash.at);
    }
    std::ranges::sort(times);
    double weight = 0;
    for (const Instant at : times) {
        const auto own = std::ranges::count_if(times, [&](Instant other) {
            return other >= at - m_options.burst && other <= at + m_options.burst;
        });
        const bool most = 2 * static_cast<std::size_t>(own) > countNear(at, m_options.burst);
        weight += most ? 1 : 1 / static_cast<double>(own);
        if (weight + s_rounding >= static_cast<double>(wanted)) {
            return at;
        }
    }
    return std::nullopt;
}

void CrashEvidence::expire(Instant now)
{
    while (!m_byTime.empty() && now - m_byTime.begin()->first > m_options.retention) {
        m_crashes.erase(m_byTime.begin()->second);
        m_byTime.erase(m_byTime.begin());
    }
}

}
