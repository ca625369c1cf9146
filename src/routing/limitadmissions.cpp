#include "routing/limitadmissions.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// Targets that nobody has asked about for so long are forgotten.
constexpr Duration s_memory = std::chrono::minutes(1);

Duration interval(double requestsPerSecond)
{
    const double rate = std::max(requestsPerSecond, LimitAdmissions::s_leastPerSecond);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
}

}

LimitAdmissions::Entry &LimitAdmissions::entry(std::uint64_t target, Instant now)
{
    if (!m_entries.contains(target)) {
        absl::erase_if(m_entries, [now](const auto &known) {
            return now - known.second.touched > s_memory;
        });
    }
    Entry &entry = m_entries[target];
    entry.touched = now;
    return entry;
}

void LimitAdmissions::heard(std::uint64_t target, double requestsPerSecond, Instant now)
{
    entry(target, now).limit = requestsPerSecond;
}

std::optional<double> LimitAdmissions::limit(std::uint64_t target) const
{
    const auto found = m_entries.find(target);
    return found == m_entries.end() ? std::nullopt : found->second.limit;
}

AdmissionDecision LimitAdmissions::admit(std::uint64_t target, double requestsPerSecond, const TargetLoad &underWay, Instant now)
{
    const Duration step = interval(requestsPerSecond);
    Entry &known = entry(target, now);
    if (!known.usedUntil) {
        const Duration earlier = std::min<Duration>(s_longestStart, step * underWay.outstanding);
        known.usedUntil = now + s_leeway + std::max(s_admissionSpan, earlier);
    }
    const Instant usedUntil = std::max(*known.usedUntil, now);
    if (usedUntil - now > s_leeway) {
        return {.wait = usedUntil - now - s_leeway};
    }
    known.usedUntil = usedUntil + step;
    return {.admitted = true};
}

}
