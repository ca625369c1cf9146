#include "gateway/evacuationfollower.h"

#include "failure/failure.h"
#include "operations/log.h"

#include <absl/strings/str_join.h>

#include <set>
#include <utility>

namespace bamboohold {

EvacuationFollower::EvacuationFollower(TargetBalancer &balancer, Metrics &metrics, Options options)
    : m_balancer(balancer)
    , m_metrics(metrics)
    , m_options(std::move(options))
{
}

std::optional<std::string> EvacuationFollower::readDomain(const StoredRow &row) const
{
    absl::StatusOr<std::optional<std::string>> domain = m_options.decodeDomain(row);
    if (!domain.ok()) {
        logLine(Severity::Error, "evacuation.unreadable", {{"key", row.address.key}, {"detail", toFailure(domain.status()).detail}});
        return std::nullopt;
    }
    return *std::move(domain);
}

void EvacuationFollower::beginGeneration(StoreGeneration generation)
{
    m_evacuations.beginGeneration(generation);
}

void EvacuationFollower::applyTable(std::span<const StoredRow> rows)
{
    std::set<std::string> domains;
    for (const StoredRow &row : rows) {
        if (std::optional<std::string> domain = readDomain(row)) {
            domains.insert(*std::move(domain));
        }
    }
    m_evacuations.replaceStoreDomains(std::move(domains));
}

void EvacuationFollower::applyChange(const StoredRow &row)
{
    if (const std::optional<std::string> domain = readDomain(row)) {
        m_evacuations.applyStoreChange(*domain, row.version != 0);
    }
}

void EvacuationFollower::commitStoreVersion(std::uint64_t version, Instant now)
{
    const std::optional<Evacuations::State> before = inForce();
    if (m_evacuations.commitStoreVersion(version, now)) {
        activate("store", now);
    }
    // An order that is written again may change nothing here, but a peer without the store drops the domain if it does not hear of it.
    if (!before || before->generation != inForce()->generation || before->domains != inForce()->domains) {
        m_options.announce(*inForce());
    }
}

void EvacuationFollower::applyPeerState(const Evacuations::State &state, Instant now)
{
    if (m_evacuations.applyPeerState(state, now)) {
        activate("peer", now);
    }
}

void EvacuationFollower::settle(Instant now)
{
    if (m_evacuations.settle(now)) {
        activate("settled", now);
    }
}

void EvacuationFollower::activate(std::string_view source, Instant now)
{
    const std::set<std::string> &domains = m_evacuations.domains();
    logLine(Severity::Info,
            "evacuations.in_force",
            {{"domains", absl::StrJoin(domains, ",")}, {"version", static_cast<std::int64_t>(inForce()->version)}, {"source", source}});
    m_metrics.gauge("domains_evacuated", {.name = "host", .value = m_options.host}, static_cast<std::int64_t>(domains.size()));
    m_balancer.setEvacuatedDomains(domains, now);
}

}
