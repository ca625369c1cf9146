#include "gateway/targetfollower.h"

#include "failure/failure.h"
#include "operations/log.h"

#include <optional>
#include <utility>
#include <vector>

namespace bamboohold {

TargetFollower::TargetFollower(TargetBalancer &balancer, Detours &detours, Metrics &metrics, Options options)
    : m_balancer(balancer)
    , m_detours(detours)
    , m_metrics(metrics)
    , m_options(std::move(options))
{
}

void TargetFollower::all(std::span<const StoredRow> rows, Instant now)
{
    std::vector<TargetListing> listings;
    std::vector<std::string> unusable;
    m_versions.clear();
    for (const StoredRow &row : rows) {
        m_versions[row.address.key] = row.version;
        std::optional<TargetListing> listing = read(row);
        if (listing) {
            listings.push_back(*std::move(listing));
        } else {
            unusable.push_back(row.address.key);
        }
    }
    std::erase_if(m_unusable, [this](const auto &entry) {
        return !m_versions.contains(entry.first);
    });
    countUnusable();
    m_balancer.replaceAll(std::move(listings), now, unusable);
}

void TargetFollower::changed(const StoredRow &row, Instant now)
{
    const std::string &name = row.address.key;
    if (row.version == 0) {
        logLine(Severity::Info, "target.unlisted", {{"target", name}});
        noteUsable(name);
        m_balancer.removeListing(name, now);
        m_detours.unlisted(name);
        return;
    }
    std::uint64_t &newest = m_versions[name];
    if (row.version < newest) {
        return;
    }
    newest = row.version;
    std::optional<TargetListing> listing = read(row);
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

std::optional<TargetListing> TargetFollower::read(const StoredRow &row)
{
    absl::StatusOr<TargetListing> listing = m_options.listingFrom(row);
    if (!listing.ok()) {
        noteUnusable(row.address.key, toFailure(listing.status()).detail);
        return std::nullopt;
    }
    noteUsable(row.address.key);
    m_detours.listed(row.address.key, listing->relay, listing->failureDomain);
    return *std::move(listing);
}

void TargetFollower::noteUnusable(const std::string &name, const std::string &reason)
{
    const auto [known, added] = m_unusable.try_emplace(name, reason);
    if (!added && known->second == reason) {
        return;
    }
    known->second = reason;
    logLine(Severity::Error, "target.unusable", {{"target", name}, {"detail", reason}});
    countUnusable();
}

void TargetFollower::noteUsable(const std::string &name)
{
    if (m_unusable.erase(name) > 0) {
        logLine(Severity::Info, "target.usable_again", {{"target", name}});
        countUnusable();
    }
}

void TargetFollower::countUnusable()
{
    m_metrics.gauge("target_records_unusable", {.name = "host", .value = m_options.host}, static_cast<std::int64_t>(m_unusable.size()));
}

}
