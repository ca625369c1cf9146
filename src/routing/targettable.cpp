#include "routing/targettable.h"

#include <algorithm>
#include <utility>

namespace bamboohold {

namespace {

/// What a whole slot's worth of load weighs against a second of link latency.
constexpr double s_latencyWeight = 10;

bool serves(const TargetPlace &place, const TargetWish &wish)
{
    return wish.service.empty() ? place.model == wish.model && !wish.model.empty() : place.service == wish.service;
}

}

TargetTable::TargetTable(Options options)
    : m_options(options)
{
}

void TargetTable::setPlaces(std::vector<TargetPlace> places)
{
    absl::flat_hash_map<std::string, Entry> kept;
    m_order.clear();
    for (TargetPlace &place : places) {
        const auto found = m_entries.find(place.name);
        Entry entry = found == m_entries.end() ? Entry{} : std::move(found->second);
        m_order.push_back(place.name);
        entry.place = std::move(place);
        kept.emplace(m_order.back(), std::move(entry));
    }
    m_entries = std::move(kept);
}

void TargetTable::setEvacuated(std::set<std::string> domains)
{
    m_evacuated = std::move(domains);
}

void TargetTable::reported(std::string_view target, const TargetReport &report, Instant now)
{
    const auto found = m_entries.find(std::string(target));
    if (found == m_entries.end()) {
        return;
    }
    found->second.report = report;
    found->second.heardAt = now;
    found->second.sentSinceReport = 0;
}

bool TargetTable::usable(const Entry &entry, Instant now) const
{
    const bool heard = entry.heardAt && now - *entry.heardAt <= m_options.silenceLimit;
    const bool paused = entry.pausedUntil && now < *entry.pausedUntil;
    const bool withdrawn = entry.report.leaving || m_evacuated.contains(entry.place.failureDomain);
    return heard && !paused && !withdrawn && entry.report.engineReachable;
}

double TargetTable::score(const Entry &entry)
{
    const double load = entry.report.running + entry.report.waiting + entry.sentSinceReport;
    return load / std::max<std::uint32_t>(1, entry.report.slots) + s_latencyWeight * static_cast<double>(entry.place.latencyUs) / 1e6;
}

std::optional<TargetChoice> TargetTable::choose(const TargetWish &wish, Instant now) const
{
    const Entry *best = nullptr;
    for (const std::string &name : m_order) {
        const Entry &entry = m_entries.at(name);
        const bool declined = std::find(wish.except.begin(), wish.except.end(), name) != wish.except.end();
        if (!serves(entry.place, wish) || declined || !usable(entry, now)) {
            continue;
        }
        if (best == nullptr || score(entry) < score(*best)) {
            best = &entry;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return TargetChoice{.target = best->place.name, .incarnation = best->report.incarnation};
}

bool TargetTable::exists(const TargetWish &wish) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&wish](const auto &entry) {
        return serves(entry.second.place, wish);
    });
}

void TargetTable::sent(std::string_view target)
{
    if (const auto found = m_entries.find(std::string(target)); found != m_entries.end()) {
        ++found->second.outstanding;
        ++found->second.sentSinceReport;
    }
}

void TargetTable::done(std::string_view target)
{
    if (const auto found = m_entries.find(std::string(target)); found != m_entries.end() && found->second.outstanding > 0) {
        --found->second.outstanding;
    }
}

void TargetTable::refused(std::string_view target, bool leaving, Instant now)
{
    if (const auto found = m_entries.find(std::string(target)); found != m_entries.end()) {
        found->second.pausedUntil = now + m_options.pauseAfterRefusal;
        found->second.report.leaving = found->second.report.leaving || leaving;
    }
}

std::string TargetTable::liveIncarnation(std::string_view target, Instant now, Duration within) const
{
    const auto found = m_entries.find(std::string(target));
    const bool heard = found != m_entries.end() && found->second.heardAt && now - *found->second.heardAt <= within;
    return heard ? found->second.report.incarnation : std::string();
}

std::vector<TargetTable::Row> TargetTable::rows(Instant now) const
{
    std::vector<Row> rows;
    for (const std::string &name : m_order) {
        const Entry &entry = m_entries.at(name);
        rows.push_back({.place = entry.place, .report = entry.report, .outstanding = entry.outstanding, .usable = usable(entry, now)});
    }
    return rows;
}

}
