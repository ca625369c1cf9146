#include "routing/loadaggregator.h"

namespace bamboohold {

TargetLoad LoadAggregator::update(const LoadReport &report, Instant now)
{
    Entry &entry = m_entries[report.router];
    // A restarted router has a new incarnation, so that sequence numbers never decrease within one entry.
    if (report.sequence >= entry.sequence) {
        entry = {.target = report.target, .sequence = report.sequence, .load = report.load, .receivedAt = now};
    }
    if (now - m_lastExpiry > s_reportLifetime) {
        m_lastExpiry = now;
        absl::erase_if(m_entries, [now](const auto &known) {
            return now - known.second.receivedAt > s_reportLifetime;
        });
    }
    TargetLoad others;
    for (const auto &[router, known] : m_entries) {
        if (router != report.router && known.target == report.target && now - known.receivedAt <= s_reportLifetime) {
            others.outstanding += known.load.outstanding;
            others.unread += known.load.unread;
        }
    }
    return others;
}

}
