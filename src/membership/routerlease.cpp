#include "membership/routerlease.h"

#include "routing/stablehash.h"

#include <algorithm>
#include <utility>

namespace bamboohold {

RouterLease::RouterLease(Options options)
    : m_options(std::move(options))
{
}

bool RouterLease::lapsed(Instant now) const
{
    const auto recent = [&](const std::optional<Instant> &sentAt) {
        return sentAt && now <= *sentAt + m_options.lease;
    };
    return !recent(m_lastWriteSent) || !recent(m_lastCountSent);
}

void RouterLease::renew(StoreGeneration generation, Instant now)
{
    const bool storeReturned = m_generation && generation != *m_generation;
    if (storeReturned || (m_lastWriteSent && m_lastCountSent && lapsed(now))) {
        m_since.reset();
        m_lastWriteSent.reset();
        m_lastCountSent.reset();
    }
    m_generation = generation;
}

void RouterLease::recordWrite(Instant sentAt, StoreGeneration generation, Instant now)
{
    renew(generation, now);
    m_lastWriteSent = sentAt;
    m_since = m_since.value_or(now);
}

void RouterLease::recordCount(Instant sentAt, std::span<const std::string> routers, StoreGeneration generation, Instant now)
{
    renew(generation, now);
    m_lastCountSent = sentAt;
    for (const std::string &router : routers) {
        m_counted[router] = sentAt;
    }
    std::erase_if(m_counted, [&](const auto &counted) {
        return counted.second + joinTime() < now;
    });
}

void RouterLease::end()
{
    m_ended = true;
}

std::optional<FleetPosition> RouterLease::position(std::string_view name, Instant now) const
{
    if (m_ended || !m_since || lapsed(now) || now < *m_since + joinTime()) {
        return std::nullopt;
    }
    const std::uint64_t hash = stableHash(name);
    const auto order = [hash](const std::string &router) {
        return std::pair<std::uint64_t, std::string_view>(mixed(stableHash(router) ^ hash), router);
    };
    FleetPosition position;
    for (const auto &[router, countedAt] : m_counted) {
        if (router == m_options.router || countedAt + joinTime() < now) {
            continue;
        }
        ++position.routers;
        position.rank += order(router) > order(m_options.router) ? 1 : 0;
    }
    return position;
}

}
