#include "gateway/targetfollower.h"

#include "failure/failure.h"
#include "operations/log.h"

#include <optional>
#include <utility>
#include <vector>

namespace bamboohold {

namespace {

/// How long removed rows are remembered; longer than the age of a copy from which the store may come back.
constexpr Duration s_removedRowRetention = std::chrono::minutes(2);

}

TargetFollower::TargetFollower(TargetBalancer &balancer, RelaySelector &relaySelector, Metrics &metrics, Options options)
    : m_balancer(balancer)
    , m_relaySelector(relaySelector)
    , m_metrics(metrics)
    , m_options(std::move(options))
{
}

void TargetFollower::beginGeneration(StorePosition first, Instant now)
{
    const bool returned = first.generation > m_generation.value_or(0);
    m_generation = first.generation;
    if (returned) {
        m_copyVersion = first.version;
        m_balancer.setStoreReturned(now);
    }
}

bool TargetFollower::supersededBeforeReturn(const StoredRow &row) const
{
    const auto known = m_newest.find(row.address.key);
    if (row.version > m_copyVersion || known == m_newest.end() || known->second.position.generation >= m_generation.value_or(0)) {
        return false;
    }
    return known->second.removedAt || known->second.position.version >= row.version;
}

void TargetFollower::recordMissing(const std::set<std::string> &present, Instant now)
{
    for (auto &[name, newest] : m_newest) {
        if (!present.contains(name) && !newest.removedAt) {
            logLine(Severity::Info, "target.unlisted", {{"target", name}});
            newest.removedAt = now;
        }
    }
    std::erase_if(m_newest, [&present, now](const auto &entry) {
        return !present.contains(entry.first) && now - *entry.second.removedAt > s_removedRowRetention;
    });
}

void TargetFollower::applyTable(std::span<const StoredRow> rows, Instant now)
{
    std::vector<TargetListing> listings;
    std::vector<std::string> unusable;
    std::vector<std::string> unchanged;
    std::set<std::string> present;
    for (const StoredRow &row : rows) {
        present.insert(row.address.key);
        if (supersededBeforeReturn(row)) {
            unchanged.push_back(row.address.key);
            const absl::StatusOr<TargetListing> copied = m_options.decodeListing(row);
            if (copied.ok() && copied->leaving) {
                m_balancer.markLeaving(copied->incarnation);
            }
            continue;
        }
        m_newest[row.address.key] = {.position = {.generation = m_generation.value_or(0), .version = row.version}};
        std::optional<TargetListing> listing = readListing(row);
        if (listing) {
            listings.push_back(*std::move(listing));
        } else {
            unusable.push_back(row.address.key);
        }
    }
    recordMissing(present, now);
    std::erase_if(m_unusableReasons, [&present](const auto &entry) {
        return !present.contains(entry.first);
    });
    updateUnusableMetric();
    m_balancer.replaceAll(std::move(listings), now, unusable, unchanged);
    for (const auto &[name, newest] : m_newest) {
        if (newest.removedAt && !m_balancer.hasName(name)) {
            m_relaySelector.removeTargetRelay(name);
        }
    }
}

void TargetFollower::applyChange(const StoredRow &row, Instant now)
{
    const std::string &name = row.address.key;
    if (row.version == 0) {
        logLine(Severity::Info, "target.unlisted", {{"target", name}});
        recordUsable(name);
        if (const auto known = m_newest.find(name); known != m_newest.end()) {
            known->second.removedAt = now;
        }
        m_balancer.removeListing(name, now);
        if (!m_balancer.hasName(name)) {
            m_relaySelector.removeTargetRelay(name);
        }
        return;
    }
    const StorePosition position{.generation = m_generation.value_or(0), .version = row.version};
    NewestRow &newest = m_newest[name];
    if (position < newest.position) {
        return;
    }
    newest = {.position = position};
    std::optional<TargetListing> listing = readListing(row);
    if (!listing) {
        m_balancer.markUnusable(name);
        return;
    }
    logLine(Severity::Info,
            "target.listed",
            {{"target", listing->incarnation},
             {"service", listing->service},
             {"address", listing->address},
             {"version", listing->version},
             {"leaving", static_cast<std::int64_t>(listing->leaving)}});
    m_balancer.updateListing(*std::move(listing), now);
}

std::optional<TargetListing> TargetFollower::readListing(const StoredRow &row)
{
    absl::StatusOr<TargetListing> listing = m_options.decodeListing(row);
    if (!listing.ok()) {
        recordUnusable(row.address.key, toFailure(listing.status()).detail);
        return std::nullopt;
    }
    recordUsable(row.address.key);
    const std::string_view knownVersion = m_balancer.version(listing->incarnation);
    if (!knownVersion.empty() && !listing->version.empty() && listing->version != knownVersion) {
        logLine(Severity::Warning,
                "target.version_changed",
                {{"target", listing->incarnation}, {"service", listing->service}, {"before", knownVersion}, {"now", listing->version}});
    }
    m_relaySelector.addTargetRelay(row.address.key, listing->relay, listing->failureDomain);
    return *std::move(listing);
}

void TargetFollower::recordUnusable(const std::string &name, const std::string &reason)
{
    const auto [known, added] = m_unusableReasons.try_emplace(name, reason);
    if (!added && known->second == reason) {
        return;
    }
    known->second = reason;
    logLine(Severity::Error, "target.unusable", {{"target", name}, {"detail", reason}});
    updateUnusableMetric();
}

void TargetFollower::recordUsable(const std::string &name)
{
    if (m_unusableReasons.erase(name) > 0) {
        logLine(Severity::Info, "target.usable_again", {{"target", name}});
        updateUnusableMetric();
    }
}

void TargetFollower::updateUnusableMetric()
{
    m_metrics.gauge(
        "target_records_unusable", {.name = "host", .value = m_options.host}, static_cast<std::int64_t>(m_unusableReasons.size()));
}

}
