#include "routing/loadaggregator.h"

#include <algorithm>
#include <limits>

namespace bamboohold {

namespace {

/// The most answers for which one router's report counts; an engine serves some hundred requests in the seconds that a report covers.
constexpr std::uint32_t s_maxAnswersPerRouter = 500;

}

TargetLoad LoadAggregator::update(const LoadReport &report, Instant now)
{
    if (now - m_lastExpiry > s_reportLifetime) {
        m_lastExpiry = now;
        absl::erase_if(m_entries, [now](const auto &known) {
            return now - known.second.receivedAt > s_reportLifetime;
        });
    }
    if (m_entries.contains(report.router) || m_entries.size() < s_maxRouters) {
        record(report, now);
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

void LoadAggregator::record(const LoadReport &report, Instant now)
{
    Entry &entry = m_entries[report.router];
    // A restarted router has a new incarnation, so that sequence numbers never decrease within one entry.
    if (report.sequence >= entry.sequence) {
        const bool usable = report.speed && speedReportFault(*report.speed).empty();
        entry = {.target = report.target,
                 .sequence = report.sequence,
                 .load = report.load,
                 .speed = usable ? report.speed : std::nullopt,
                 .receivedAt = now};
    }
}

std::optional<SpeedReport> LoadAggregator::speedByOthers(std::uint64_t router, std::uint64_t target, Instant now) const
{
    double weighted = 0;
    std::uint64_t answers = 0;
    for (const auto &[reporter, known] : m_entries) {
        if (known.speed && reporter != router && known.target == target && now - known.receivedAt <= s_reportLifetime) {
            // A single router must not outweigh all others by a number that no router can have counted.
            const std::uint32_t counted = std::min(known.speed->answers, s_maxAnswersPerRouter);
            weighted += known.speed->ratio * counted;
            answers += counted;
        }
    }
    if (answers == 0) {
        return std::nullopt;
    }
    return SpeedReport{.ratio = weighted / static_cast<double>(answers),
                       .answers = static_cast<std::uint32_t>(std::min<std::uint64_t>(answers, std::numeric_limits<std::uint32_t>::max()))};
}

}
