#include "gateway/streamorigins.h"

#include "clock/steadytime.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// A datagram or a relay may get lost, so each origin is kept twice.
constexpr std::size_t s_keepers = 2;
/// Relays come and go, and each one that does shifts the order of some streams by one.
constexpr std::size_t s_keepersAsked = 4;

}

StreamOrigins::StreamOrigins(const TargetBalancer &balancer)
    : m_balancer(balancer)
{
}

const StreamKeepers &StreamOrigins::relays(const std::string &service)
{
    const auto [known, added] = m_relays.try_emplace(service);
    if (added) {
        known->second.setProcesses(m_balancer.relays(service));
    }
    return known->second;
}

void StreamOrigins::record(std::uint64_t key, const StreamOrigin &origin)
{
    m_own.record(key, origin, steadyNow());
    if (m_client == nullptr) {
        return;
    }
    std::vector<std::string> keepers = relays(origin.service).keepersOf(key, s_keepers);
    const bool relaysRun = std::ranges::any_of(keepers, [this](const std::string &relay) {
        return m_client->hasAnswered(relay);
    });
    if (!relaysRun) {
        const std::vector<std::string> routers = m_routers.keepersOf(key, s_keepers);
        keepers.insert(keepers.end(), routers.begin(), routers.end());
    }
    for (const std::string &keeper : keepers) {
        m_client->reportStream(keeper, key, origin);
    }
}

boost::asio::awaitable<StreamQueryResult> StreamOrigins::find(std::uint64_t key, std::vector<std::string> services)
{
    StreamQueryResult result;
    if (const std::optional<KnownOrigin> own = m_own.find(key, steadyNow())) {
        result.origins.push_back(*own);
        co_return result;
    }
    if (m_client == nullptr) {
        co_return result;
    }
    std::vector<std::string> keepers;
    bool relaysRun = false;
    for (const std::string &service : services) {
        for (std::string &relay : relays(service).keepersOf(key, s_keepersAsked)) {
            relaysRun = relaysRun || m_client->hasAnswered(relay);
            keepers.push_back(std::move(relay));
        }
    }
    if (!relaysRun) {
        const std::vector<std::string> routers = m_routers.keepersOf(key, s_keepersAsked);
        keepers.insert(keepers.end(), routers.begin(), routers.end());
    }
    result = co_await m_client->queryStream(std::move(keepers), key);
    co_return result;
}

}
