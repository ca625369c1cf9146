#include "membership/handover.h"

namespace bamboohold {

void Handover::seen(std::string_view target, std::string_view incarnation, Instant now)
{
    const auto found = m_entries.find(target);
    if (found != m_entries.end() && found->second.incarnation == incarnation) {
        return;
    }
    m_entries.insert_or_assign(std::string(target), Entry{.incarnation = std::string(incarnation), .seenAt = now});
}

void Handover::advance(std::optional<Instant> oldestBegin, std::uint64_t nextFlush, std::uint64_t appliedFlush)
{
    for (auto &[target, entry] : m_entries) {
        const bool earlierRequestsOver = !oldestBegin || *oldestBegin > entry.seenAt;
        if (!entry.awaitedFlush && earlierRequestsOver) {
            entry.awaitedFlush = nextFlush;
        }
        entry.settled = entry.settled || (entry.awaitedFlush && appliedFlush >= *entry.awaitedFlush);
    }
}

std::string Handover::settledBefore(std::string_view target) const
{
    const auto found = m_entries.find(target);
    return found != m_entries.end() && found->second.settled ? found->second.incarnation : std::string();
}

}
