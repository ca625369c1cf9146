#pragma once

#include "link/linkhub.h"
#include "store/platformclient.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace bamboohold {

/// Reaches the platform through a peer. A router that cannot reach the table sends its calls through a peer that can, so that draws,
/// settlements and top-ups continue during a partition that cuts off only some routers. This needs no further safety measures, because a
/// relayed transaction is the same transaction.
///
/// Locking: m_mutex guards the calls in progress.
class StoreRelay
{
public:
    struct Options {
        Duration timeout = std::chrono::seconds(2);
        /// Maximum number of peers asked for one call.
        std::size_t maxPeersAsked = 2;
    };

    /// Returns the peers from which a message arrived recently.
    using RecentPeerSource = std::function<std::vector<std::string>()>;

    StoreRelay(asio::any_io_executor loop, PlatformClient &platform, RecentPeerSource recentPeers, Options options);

    /// Sets the link to send on. Must be called before the first call.
    void setLink(LinkHub *link);

    /// Sends a call through a peer. Fails with TableUnreachable if no peer reaches the platform either.
    asio::awaitable<absl::StatusOr<HttpReply>> call(HttpCallOptions options);

    /// Executes a peer's call. Called on the link's thread.
    void onRequest(std::string_view peer, wire::RelayRequest request);

    /// Handles a peer's answer to a call of this router. Called on the link's thread.
    void onAnswer(wire::RelayAnswer answer);

    /// Number of calls that were answered through a peer.
    std::uint64_t relayedCallCount() const
    {
        return m_relayedCallCount;
    }

private:
    struct PendingCall;

    asio::awaitable<void> executeForPeer(std::string peer, wire::RelayRequest request);
    asio::awaitable<absl::StatusOr<HttpReply>> ask(std::string peer, const HttpCallOptions &options);

    asio::any_io_executor m_loop;
    PlatformClient &m_platform;
    RecentPeerSource m_recentPeers;
    Options m_options;
    LinkHub *m_link = nullptr;
    std::mutex m_mutex;
    std::map<std::uint64_t, std::shared_ptr<PendingCall>> m_pending;
    std::uint64_t m_nextRelayId = 1;
    std::atomic<std::uint64_t> m_relayedCallCount = 0;
};

}
