#include "gateway/targetfollower.h"

#include "failure/failure.h"
#include "operations/log.h"

#include <optional>
#include <utility>
#include <vector>

namespace bamboohold {

TargetFollower::TargetFollower(TargetBalancer &balancer, RelaySelector &relaySelector, Metrics &metrics, Options options)
    : m_balancer(balancer)
    , m_relaySelector(relaySelector)
    , m_metrics(metrics)
    , m_options(std::move(options))
{
}

void TargetFollower::beginGeneration(StorePosition, Instant)
{
}

void TargetFollower::applyTable(std::span<const StoredRow> rows, Instant now)
{
    std::vector<TargetListing> listings;
    std::vector<std::string> unusable;
    m_newestVersions.clear();
    for (const StoredRow &row : rows) {
        m_newestVersions[row.address.key] = row.version;
        std::optional<TargetListing> listing = readListing(row);
        if (listing) {
            listings.push_back(*std::move(listing));
        } else {
            unusable.push_back(row.address.key);
        }
    }
    std::erase_if(m_unusableReasons, [this](const auto &entry) {
        return !m_newestVersions.contains(entry.first);
    });
    updateUnusableMetric();
    m_balancer.replaceAll(std::move(listings), now, unusable);
}

void TargetFollower::applyChange(const StoredRow &row, Instant now)
{
    const std::string &name = row.address.key;
    if (row.version == 0) {
        logLine(Severity::Info, "target.unlisted", {{"target", name}});
        recordUsable(name);
        m_balancer.removeListing(name, now);
        m_relaySelector.removeTargetRelay(name);
        return;
    }
    std::uint64_t &newest = m_newestVersions[name];
    if (row.version < newest) {
        return;
    }
    newest = row.version;
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
