#include "routing/streamoriginstore.h"

namespace bamboohold {

void StreamOriginStore::record(std::uint64_t key, const StreamOrigin &origin, Instant now)
{
    const auto [known, added] = m_origins.try_emplace(key, Entry{.origin = origin});
    known->second.contradictory = known->second.contradictory || known->second.origin != origin;
    known->second.recordedAt = now;
    m_recordings.push_back({.key = key, .at = now});
    while (m_recordings.size() > s_maxOrigins || now - m_recordings.front().at >= s_lifetime) {
        forgetOldest();
    }
}

void StreamOriginStore::forgetOldest()
{
    const Recording oldest = m_recordings.front();
    m_recordings.pop_front();
    const auto found = m_origins.find(oldest.key);
    if (found != m_origins.end() && found->second.recordedAt == oldest.at) {
        m_origins.erase(found);
    }
}

std::optional<KnownOrigin> StreamOriginStore::find(std::uint64_t key, Instant now) const
{
    const auto found = m_origins.find(key);
    if (found == m_origins.end() || now - found->second.recordedAt >= s_lifetime) {
        return std::nullopt;
    }
    return KnownOrigin{.origin = found->second.origin, .contradictory = found->second.contradictory, .age = now - found->second.recordedAt};
}

}
