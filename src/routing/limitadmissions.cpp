#include "routing/limitadmissions.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// Entries of targets that no router has asked about for this long are dropped.
constexpr Duration s_entryTimeout = std::chrono::minutes(1);
/// More targets than there are: anybody can ask about any number of them. Those asked about longest ago are forgotten first.
constexpr std::size_t s_maxEntries = 4096;

/// Time between two admissions at the given rate.
Duration emissionInterval(double requestsPerSecond)
{
    const double rate = std::max(requestsPerSecond, LimitAdmissions::s_minRequestsPerSecond);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
}

}

LimitAdmissions::Entry &LimitAdmissions::entry(std::uint64_t target, Instant now)
{
    if (!m_entries.contains(target)) {
        absl::erase_if(m_entries, [now](const auto &known) {
            return now - known.second.lastAccess > s_entryTimeout;
        });
        if (m_entries.size() >= s_maxEntries) {
            m_entries.erase(std::ranges::min_element(m_entries, {}, [](const auto &known) {
                return known.second.lastAccess;
            }));
        }
    }
    Entry &entry = m_entries[target];
    entry.lastAccess = now;
    return entry;
}

void LimitAdmissions::recordLimit(std::uint64_t target, double requestsPerSecond, Instant now)
{
    entry(target, now).limit = requestsPerSecond;
}

std::optional<double> LimitAdmissions::limit(std::uint64_t target) const
{
    const auto found = m_entries.find(target);
    return found == m_entries.end() ? std::nullopt : found->second.limit;
}

AdmissionDecision LimitAdmissions::admit(std::uint64_t target, double requestsPerSecond, const TargetLoad &inFlight, Instant now)
{
    const Duration interval = emissionInterval(requestsPerSecond);
    Entry &known = entry(target, now);
    if (!known.theoreticalArrival) {
        const Duration inFlightDelay = std::min<Duration>(s_maxInitialDelay, interval * inFlight.outstanding);
        known.theoreticalArrival = now + s_burstTolerance + std::max(s_admissionSpan, inFlightDelay);
    }
    const Instant theoreticalArrival = std::max(*known.theoreticalArrival, now);
    if (theoreticalArrival - now > s_burstTolerance) {
        return {.wait = theoreticalArrival - now - s_burstTolerance};
    }
    known.theoreticalArrival = theoreticalArrival + interval;
    return {.admitted = true};
}

}
