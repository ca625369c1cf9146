#include "membership/storerelay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bamboohold {

/// A relayed call that waits for its answer. Shared by the caller's coroutine and the map that assigns answers to calls.
struct StoreRelay::PendingCall {
    explicit PendingCall(const asio::any_io_executor &loop)
        : timer(loop)
    {
    }

    asio::steady_timer timer;
    std::optional<wire::RelayAnswer> answer;
};

StoreRelay::StoreRelay(asio::any_io_executor loop, PlatformClient &platform, RecentPeerSource recentPeers, Options options)
    : m_loop(std::move(loop))
    , m_platform(platform)
    , m_recentPeers(std::move(recentPeers))
    , m_options(options)
{
}

void StoreRelay::setLink(LinkHub *link)
{
    m_link = link;
}

asio::awaitable<absl::StatusOr<HttpReply>> StoreRelay::ask(std::string peer, const HttpCallOptions &options)
{
    auto pending = std::make_shared<PendingCall>(m_loop);
    std::uint64_t relayId = 0;
    {
        const std::lock_guard lock(m_mutex);
        relayId = m_nextRelayId++;
        m_pending.emplace(relayId, pending);
    }
    wire::Envelope envelope;
    wire::RelayRequest &request = *envelope.mutable_relay_request();
    request.set_relay_id(relayId);
    request.set_method(options.method);
    request.set_path(options.path);
    request.set_body(options.body);
    m_link->send(peer, envelope);
    pending->timer.expires_after(m_options.timeout);
    co_await pending->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    const std::lock_guard lock(m_mutex);
    m_pending.erase(relayId);
    if (!pending->answer || !pending->answer->reached()) {
        co_return failed(FailureKind::TableUnreachable, "the peer does not reach the platform either", Executed::Unknown);
    }
    ++m_relayedCallCount;
    co_return HttpReply{.status = pending->answer->status(), .contentType = "application/json", .body = pending->answer->body()};
}

asio::awaitable<absl::StatusOr<HttpReply>> StoreRelay::call(HttpCallOptions options)
{
    absl::StatusOr<HttpReply> reply = failed(FailureKind::TableUnreachable, "no peer can be asked", Executed::Unknown);
    const std::vector<std::string> recentPeers = m_recentPeers();
    for (std::size_t index = 0; index < std::min(recentPeers.size(), m_options.maxPeersAsked) && !reply.ok(); ++index) {
        reply = co_await ask(recentPeers[index], options);
    }
    co_return reply;
}

void StoreRelay::onRequest(std::string_view peer, wire::RelayRequest request)
{
    asio::co_spawn(m_loop, executeForPeer(std::string(peer), std::move(request)), asio::detached);
}

asio::awaitable<void> StoreRelay::executeForPeer(std::string peer, wire::RelayRequest request)
{
    HttpCallOptions options{.method = request.method(), .path = request.path(), .body = request.body()};
    const auto reply = co_await m_platform.callDirectly(std::move(options));
    wire::Envelope envelope;
    wire::RelayAnswer &answer = *envelope.mutable_relay_answer();
    answer.set_relay_id(request.relay_id());
    answer.set_reached(reply.ok());
    if (reply.ok()) {
        answer.set_status(reply->status);
        answer.set_body(reply->body);
    }
    m_link->send(peer, envelope);
}

void StoreRelay::onAnswer(wire::RelayAnswer answer)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pending.find(answer.relay_id());
    if (found == m_pending.end()) {
        return;
    }
    found->second->answer = std::move(answer);
    asio::post(m_loop, [pending = found->second] {
        pending->timer.cancel();
    });
}

}
