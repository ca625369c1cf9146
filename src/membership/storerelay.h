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

/// The way to the platform through a peer. A router that cannot reach the table sends its calls through one that can, so that draws,
/// settlements and top-ups go on through a partition that cuts only some routers off. Nothing else is needed for safety: a relayed
/// transaction is the same transaction.
///
/// Lock: m_mutex guards the calls under way.
class StoreRelay
{
public:
    struct Options {
        Duration timeout = std::chrono::seconds(2);
        /// Peers asked before a call is given up.
        std::size_t maxPeersAsked = 2;
    };

    /// Peers that were heard of a moment ago.
    using RecentPeerSource = std::function<std::vector<std::string>()>;

    StoreRelay(asio::any_io_executor loop, PlatformClient &platform, RecentPeerSource recentPeers, Options options);

    /// The link to send on; set before the first call.
    void setLink(LinkHub *link);

    /// Carries a call through a peer; TableUnreachable when no peer reaches the platform either.
    asio::awaitable<absl::StatusOr<HttpReply>> call(HttpCallOptions options);

    /// A peer asks this router to carry a call. Called on the link's thread.
    void onRequest(std::string_view peer, wire::RelayRequest request);

    /// A peer's answer. Called on the link's thread.
    void onAnswer(wire::RelayAnswer answer);

    /// Calls that went through a peer.
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
