#pragma once

#include "gateway/targetbalancer.h"
#include "routing/loadclient.h"
#include "routing/streamoriginstore.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Tells the keepers of streams where they began, and finds out where a stream began that a caller takes up. Keepers are relays beside
/// targets of the stream's service or, where no relays run, routers. Lives on one event loop.
class StreamOrigins
{
public:
    /// The balancer must outlive this object.
    explicit StreamOrigins(const TargetBalancer &balancer);

    /// Enables the exchange with keepers. The client must outlive this object.
    void setLoadClient(LoadClient &client)
    {
        m_client = &client;
    }

    /// Sets the addresses of the routers that are alive.
    void setRouters(std::span<const std::string> routers)
    {
        m_routers.setProcesses(routers);
    }

    /// Drops what is known of the relays beside targets, as the list may have changed. Call regularly.
    void refreshKeepers()
    {
        m_relays.clear();
    }

    /// Records where a stream began, here and at its keepers. Does not wait for them.
    void record(std::uint64_t key, const StreamOrigin &origin);

    /// Returns what this router or, if it knows nothing, the keepers know about a stream that may have begun at these services.
    boost::asio::awaitable<StreamQueryResult> find(std::uint64_t key, std::vector<std::string> services);

private:
    const StreamKeepers &relays(const std::string &service);

    const TargetBalancer &m_balancer;
    LoadClient *m_client = nullptr;
    /// Streams that this router has begun.
    StreamOriginStore m_own;
    StreamKeepers m_routers;
    /// By service.
    std::map<std::string, StreamKeepers, std::less<>> m_relays;
};

}
