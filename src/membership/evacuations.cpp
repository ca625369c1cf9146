#include "membership/evacuations.h"

#include <utility>

namespace bamboohold {

void Evacuations::readWhole(std::set<std::string> domains)
{
    m_read = std::move(domains);
}

void Evacuations::changed(const std::string &domain, bool evacuated)
{
    if (evacuated) {
        m_read.insert(domain);
    } else {
        m_read.erase(domain);
    }
}

bool Evacuations::storeAsOf(std::uint64_t version)
{
    return take({.version = version, .domains = m_read});
}

bool Evacuations::heard(const State &state)
{
    return take(state);
}

bool Evacuations::take(const State &state)
{
    if (m_inForce && state.version <= m_inForce->version) {
        return false;
    }
    const bool differs = !m_inForce || m_inForce->domains != state.domains;
    m_inForce = state;
    return differs;
}

}
