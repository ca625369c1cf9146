#include "membership/settlementtracker.h"

namespace bamboohold {

void SettlementTracker::recordIncarnation(std::string_view target, std::string_view incarnation, Instant now)
{
    const auto found = m_entries.find(target);
    if (found != m_entries.end() && found->second.incarnation == incarnation) {
        return;
    }
    m_entries.insert_or_assign(std::string(target), Entry{.incarnation = std::string(incarnation), .firstReportedAt = now});
}

void SettlementTracker::updateProgress(std::optional<Instant> oldestRequestStart, std::uint64_t nextFlush, std::uint64_t appliedFlush)
{
    for (auto &[target, entry] : m_entries) {
        const bool earlierRequestsDone = !oldestRequestStart || *oldestRequestStart > entry.firstReportedAt;
        if (!entry.requiredFlush && earlierRequestsDone) {
            entry.requiredFlush = nextFlush;
        }
        entry.settled = entry.settled || (entry.requiredFlush && appliedFlush >= *entry.requiredFlush);
    }
}

std::string SettlementTracker::settledBefore(std::string_view target) const
{
    const auto found = m_entries.find(target);
    return found != m_entries.end() && found->second.settled ? found->second.incarnation : std::string();
}

}
