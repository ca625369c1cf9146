#include "membership/evacuations.h"

#include <utility>

namespace bamboohold {

void Evacuations::beginGeneration(StoreGeneration generation)
{
    m_storeGeneration = generation;
}

void Evacuations::replaceStoreDomains(std::set<std::string> domains)
{
    m_storeDomains = std::move(domains);
}

void Evacuations::applyStoreChange(const std::string &domain, bool evacuated)
{
    if (evacuated) {
        m_storeDomains.insert(domain);
    } else {
        m_storeDomains.erase(domain);
        if (m_inForce && m_storeGeneration >= m_inForce->generation) {
            m_unsettled.erase(domain);
        }
    }
}

bool Evacuations::commitStoreVersion(std::uint64_t version, Instant now)
{
    return adoptIfNewer({.generation = m_storeGeneration, .version = version, .domains = m_storeDomains}, now);
}

bool Evacuations::applyPeerState(const State &state, Instant now)
{
    return adoptIfNewer(state, now);
}

bool Evacuations::settle(Instant now)
{
    if (m_unsettled.empty() || now - m_generationSeenAt < s_settlingTime) {
        return false;
    }
    m_unsettled.clear();
    return updateDomains();
}

bool Evacuations::adoptIfNewer(const State &state, Instant now)
{
    if (m_inForce && state.position() <= m_inForce->position()) {
        return updateDomains();
    }
    const bool first = !m_inForce;
    if (m_inForce && state.generation > m_inForce->generation) {
        m_unsettled = m_evacuated;
        m_generationSeenAt = now;
    }
    m_inForce = state;
    for (const std::string &domain : state.domains) {
        m_unsettled.erase(domain);
    }
    return updateDomains() || first;
}

bool Evacuations::updateDomains()
{
    std::set<std::string> domains = m_unsettled;
    if (m_inForce) {
        domains.insert(m_inForce->domains.begin(), m_inForce->domains.end());
    }
    return std::exchange(m_evacuated, domains) != domains;
}

}
