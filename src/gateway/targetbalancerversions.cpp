#include "gateway/targetbalancer.h"

#include <algorithm>
#include <set>

namespace bamboohold {

namespace {

/// Former versions are forgotten after this time; longer than any period that is asked for.
constexpr Duration s_formerVersionRetention = std::chrono::minutes(10);

}

void TargetBalancer::recordVersion(const TargetListing &listing, Instant now)
{
    std::map<std::string, Instant> &versions = m_formerVersions[listing.service];
    std::erase_if(versions, [now](const auto &entry) {
        return now - entry.second > s_formerVersionRetention;
    });
    versions[listing.version] = now;
}

void TargetBalancer::checkVersion(TargetState &target, TargetListing &listing, Instant now)
{
    const std::string &known = target.listing.version;
    // A record without a version does not unsay the one of an earlier record.
    if (listing.version.empty()) {
        listing.version = known;
    }
    if (!known.empty() && listing.version != known) {
        recordVersion(target.listing, now);
        target.versionContradictory = true;
    }
}

bool TargetBalancer::hasVersion(const TargetState &target, std::string_view version) const
{
    if (version.empty()) {
        return true;
    }
    // A target that keeps its identity may have started again at another version, and only the list would tell.
    const TargetListing &listing = target.listing;
    const bool mayHaveRestarted = !m_continuity.storeReachable() && listing.name() != listing.incarnation;
    return target.version() == version && !mayHaveRestarted;
}

TargetBalancer::SeenVersions TargetBalancer::seenVersions(std::string_view service, Duration period, Instant now) const
{
    std::set<std::string> versions;
    for (const PoolEntry &entry : pool(service).entries) {
        versions.insert(std::string(entry.target->version()));
    }
    const auto former = m_formerVersions.find(service);
    if (former != m_formerVersions.end()) {
        for (const auto &[version, lastSeen] : former->second) {
            if (now - lastSeen <= period) {
                versions.insert(version);
            }
        }
    }
    SeenVersions seen{.versions = {versions.begin(), versions.end()}};
    if (m_followedSince) {
        const auto known = m_versionsKnownSince.find(service);
        seen.followedFor = now - (known == m_versionsKnownSince.end() ? *m_followedSince : std::min(known->second, *m_followedSince));
    }
    return seen;
}

std::map<std::string, std::set<std::string>> TargetBalancer::listedVersions() const
{
    std::map<std::string, std::set<std::string>> versions;
    for (const auto &[incarnation, target] : m_targets) {
        versions[target.listing.service].insert(std::string(target.version()));
    }
    return versions;
}

void TargetBalancer::addFormerVersions(const std::string &service, const std::map<std::string, Instant> &versions, Instant since)
{
    std::map<std::string, Instant> &former = m_formerVersions[service];
    for (const auto &[version, lastSeen] : versions) {
        const auto [known, added] = former.try_emplace(version, lastSeen);
        known->second = std::max(known->second, lastSeen);
    }
    m_versionsKnownSince[service] = since;
}

std::vector<std::string> TargetBalancer::relays(std::string_view service) const
{
    std::set<std::string> addresses;
    for (const PoolEntry &entry : pool(service).entries) {
        if (!entry.target->listing.relay.empty()) {
            addresses.insert(entry.target->listing.relay);
        }
    }
    return {addresses.begin(), addresses.end()};
}

}
