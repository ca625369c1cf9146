#include "routing/targettable.h"

#include <algorithm>
#include <utility>

namespace bamboohold {

namespace {

/// One second of link latency costs as much as this much load per slot.
constexpr double s_loadPerLatencySecond = 10;

bool matches(const TargetDescriptor &descriptor, const TargetRequirements &requirements)
{
    return requirements.service.empty() ? descriptor.model == requirements.model && !requirements.model.empty()
                                        : descriptor.service == requirements.service;
}

}

TargetTable::TargetTable(Options options)
    : m_options(options)
{
}

void TargetTable::setTargets(std::vector<TargetDescriptor> descriptors)
{
    absl::flat_hash_map<std::string, Entry> kept;
    m_order.clear();
    for (TargetDescriptor &descriptor : descriptors) {
        const auto found = m_entries.find(descriptor.name);
        Entry entry = found == m_entries.end() ? Entry{} : std::move(found->second);
        m_order.push_back(descriptor.name);
        entry.descriptor = std::move(descriptor);
        kept.emplace(m_order.back(), std::move(entry));
    }
    m_entries = std::move(kept);
}

void TargetTable::setEvacuated(std::set<std::string> domains)
{
    m_evacuated = std::move(domains);
}

void TargetTable::recordReport(std::string_view target, const TargetReport &report, Instant now)
{
    const auto found = m_entries.find(std::string(target));
    if (found == m_entries.end()) {
        return;
    }
    found->second.report = report;
    found->second.reportedAt = now;
    found->second.sentSinceReport = 0;
}

bool TargetTable::usable(const Entry &entry, Instant now) const
{
    const bool recentlyReported = entry.reportedAt && now - *entry.reportedAt <= m_options.reportTimeout;
    const bool backingOff = entry.backoffUntil && now < *entry.backoffUntil;
    const bool withdrawn = entry.report.leaving || m_evacuated.contains(entry.descriptor.failureDomain);
    return recentlyReported && !backingOff && !withdrawn && entry.report.engineReachable;
}

double TargetTable::score(const Entry &entry)
{
    const double load = entry.report.running + entry.report.waiting + entry.sentSinceReport;
    return load / std::max<std::uint32_t>(1, entry.report.slots)
        + s_loadPerLatencySecond * static_cast<double>(entry.descriptor.latencyUs) / 1e6;
}

std::optional<TargetChoice> TargetTable::choose(const TargetRequirements &requirements, Instant now) const
{
    const Entry *best = nullptr;
    for (const std::string &name : m_order) {
        const Entry &entry = m_entries.at(name);
        const bool declined = std::find(requirements.excluded.begin(), requirements.excluded.end(), name) != requirements.excluded.end();
        if (!matches(entry.descriptor, requirements) || declined || !usable(entry, now)) {
            continue;
        }
        if (best == nullptr || score(entry) < score(*best)) {
            best = &entry;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return TargetChoice{.target = best->descriptor.name, .incarnation = best->report.incarnation};
}

bool TargetTable::exists(const TargetRequirements &requirements) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&requirements](const auto &entry) {
        return matches(entry.second.descriptor, requirements);
    });
}

void TargetTable::recordSent(std::string_view target)
{
    if (const auto found = m_entries.find(std::string(target)); found != m_entries.end()) {
        ++found->second.outstanding;
        ++found->second.sentSinceReport;
    }
}

void TargetTable::recordDone(std::string_view target)
{
    if (const auto found = m_entries.find(std::string(target)); found != m_entries.end() && found->second.outstanding > 0) {
        --found->second.outstanding;
    }
}

void TargetTable::recordRefusal(std::string_view target, bool leaving, Instant now)
{
    if (const auto found = m_entries.find(std::string(target)); found != m_entries.end()) {
        found->second.backoffUntil = now + m_options.refusalBackoff;
        found->second.report.leaving = found->second.report.leaving || leaving;
    }
}

std::string TargetTable::liveIncarnation(std::string_view target, Instant now, Duration maxAge) const
{
    const auto found = m_entries.find(std::string(target));
    const bool recentlyReported = found != m_entries.end() && found->second.reportedAt && now - *found->second.reportedAt <= maxAge;
    return recentlyReported ? found->second.report.incarnation : std::string();
}

std::vector<TargetTable::Row> TargetTable::rows(Instant now) const
{
    std::vector<Row> rows;
    for (const std::string &name : m_order) {
        const Entry &entry = m_entries.at(name);
        rows.push_back(
            {.descriptor = entry.descriptor, .report = entry.report, .outstanding = entry.outstanding, .usable = usable(entry, now)});
    }
    return rows;
}

}
