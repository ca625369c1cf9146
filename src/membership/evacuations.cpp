#include "membership/evacuations.h"

#include <utility>

namespace bamboohold {

void Evacuations::beginGeneration(StoreGeneration)
{
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
    }
}

bool Evacuations::commitStoreVersion(std::uint64_t version, Instant)
{
    return adoptIfNewer({.version = version, .domains = m_storeDomains});
}

bool Evacuations::applyPeerState(const State &state, Instant)
{
    return adoptIfNewer(state);
}

bool Evacuations::settle(Instant)
{
    return false;
}

std::set<std::string> Evacuations::domains() const
{
    return m_inForce ? m_inForce->domains : std::set<std::string>();
}

bool Evacuations::adoptIfNewer(const State &state)
{
    if (m_inForce && state.version <= m_inForce->version) {
        return false;
    }
    const bool differs = !m_inForce || m_inForce->domains != state.domains;
    m_inForce = state;
    return differs;
}

}
