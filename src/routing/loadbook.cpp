#include "routing/loadbook.h"

namespace bamboohold {

TargetLoad LoadBook::noted(const LoadReport &report, Instant now)
{
    Entry &entry = m_entries[report.router];
    // A process that starts again has another name, so that within one name sequences only grow.
    if (report.sequence >= entry.sequence) {
        entry = {.target = report.target, .sequence = report.sequence, .load = report.load, .at = now};
    }
    if (now - m_lastSweep > s_expiry) {
        m_lastSweep = now;
        absl::erase_if(m_entries, [now](const auto &known) {
            return now - known.second.at > s_expiry;
        });
    }
    TargetLoad others;
    for (const auto &[router, known] : m_entries) {
        if (router != report.router && known.target == report.target && now - known.at <= s_expiry) {
            others.outstanding += known.load.outstanding;
            others.unread += known.load.unread;
        }
    }
    return others;
}

}
