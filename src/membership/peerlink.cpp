#include "membership/peerlink.h"

#include "clock/steadytime.h"
#include "operations/log.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bamboohold {

namespace {

/// Maximum number of messages queued for one peer. Calls time out after tenths of a second, so a longer queue would hold only messages that
/// nobody waits for.
constexpr int s_maxQueuedMessages = 1000;
/// The longest messages carry a call to the store or its answer, which are up to 1 MB long.
constexpr std::int64_t s_maxMessageBytes = 1536 * 1024;
/// Bytes of messages that may wait for the event loop. More come only from those that send without end; what exceeds it is lost, like
/// messages on a connection that ends.
constexpr std::size_t s_maxWaitingBytes = 4 * 1024 * 1024;
constexpr Duration s_lossLogInterval = std::chrono::seconds(1);

}

PeerLink::PeerLink(boost::asio::any_io_executor executor, Options options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    // Waiting for peers that cannot be reached would delay the end of a process whose grace period is over.
    , m_hub({.identity = m_options.self,
             .endpoint = absl::StrCat("tcp://", m_options.self),
             .queueLength = s_maxQueuedMessages,
             .closeTime = Duration::zero(),
             .maxMessageBytes = s_maxMessageBytes,
             .strangers = m_options.strangers},
            [this](std::string_view peer, wire::Envelope &message) {
                receive(peer, message);
            })
{
}

void PeerLink::receive(std::string_view peer, const wire::Envelope &message)
{
    // What a small message takes beside its content counts, too.
    constexpr std::size_t overhead = 512;
    const std::size_t bytes = overhead + message.ByteSizeLong();
    if (m_waitingBytes + bytes > s_maxWaitingBytes) {
        ++m_lostMessages;
        const Instant now = steadyNow();
        if (now - m_lossLoggedAt >= s_lossLogInterval) {
            m_lossLoggedAt = now;
            logLine(Severity::Warning, "link.messages_lost", {{"peer", peer}, {"lost", m_lostMessages}});
        }
        return;
    }
    m_waitingBytes += bytes;
    boost::asio::post(m_executor, [this, bytes, from = std::string(peer), received = message] {
        m_waitingBytes -= bytes;
        handleMessage(from, received);
    });
}

void PeerLink::setCallHandler(CallHandler callHandler, PlanNoticeHandler onPlanNotice)
{
    m_callHandler = std::move(callHandler);
    m_onPlanNotice = std::move(onPlanNotice);
}

void PeerLink::setCrashHandlers(CrashHandler onCrash, QuarantineHandler onQuarantine)
{
    m_onCrash = std::move(onCrash);
    m_onQuarantine = std::move(onQuarantine);
}

void PeerLink::setRotationHandlers(RotationHandler onRotation, DomainHandler onDomain)
{
    m_onRotation = std::move(onRotation);
    m_onDomain = std::move(onDomain);
}

void PeerLink::setAvailabilityHandlers(AvailabilityHandler onAvailability, DomainHandler onDomain)
{
    m_onAvailability = std::move(onAvailability);
    m_onAvailabilityDomain = std::move(onDomain);
}

void PeerLink::setEvacuationHandler(EvacuationHandler onEvacuation)
{
    m_onEvacuation = std::move(onEvacuation);
}

absl::Status PeerLink::open()
{
    absl::Status opened = m_hub.open();
    if (opened.ok()) {
        setPeers(m_options.seeds);
    }
    return opened;
}

void PeerLink::close()
{
    m_hub.close();
}

void PeerLink::connect(const std::string &peer)
{
    // Two connections between the same peers would compete for one routing id, so only the peer with the lesser address connects.
    if (m_options.self < peer) {
        m_hub.connect(peer, absl::StrCat("tcp://", peer));
    }
}

void PeerLink::setPeers(const std::vector<std::string> &peers)
{
    std::set<std::string> newPeers(peers.begin(), peers.end());
    newPeers.erase(m_options.self);
    for (const std::string &gone : m_peers) {
        if (!newPeers.contains(gone)) {
            m_hub.disconnect(gone, absl::StrCat("tcp://", gone));
        }
    }
    for (const std::string &peer : newPeers) {
        connect(peer);
    }
    m_peers = std::move(newPeers);
    std::set<std::string> hosts;
    for (const std::string &peer : m_peers) {
        hosts.insert(peer.substr(0, peer.rfind(':')));
    }
    m_hub.setKnownHosts(hosts);
}

std::vector<std::string> PeerLink::peers() const
{
    return {m_peers.begin(), m_peers.end()};
}

boost::asio::awaitable<absl::StatusOr<wire::PeerAnswer>> PeerLink::sendCall(std::string peer, wire::PeerCall call, Duration timeout)
{
    const std::uint64_t id = ++m_lastCall;
    call.set_call_id(id);
    wire::Envelope envelope;
    *envelope.mutable_peer_call() = std::move(call);
    const auto pending = std::make_shared<PendingCall>(m_executor);
    m_pendingCalls[id] = pending;
    m_hub.send(peer, envelope);
    pending->answerArrived.expires_after(timeout);
    co_await pending->answerArrived.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    m_pendingCalls.erase(id);
    if (!pending->answer) {
        co_return failed(FailureKind::TargetLost, absl::StrCat("router ", peer, " did not answer"), Executed::Unknown);
    }
    co_return *std::move(pending->answer);
}

void PeerLink::announcePlan(std::uint64_t version)
{
    wire::Envelope envelope;
    envelope.mutable_plan_notice()->set_version(version);
    envelope.mutable_plan_notice()->set_failure_domain(m_options.failureDomain);
    sendToAll(envelope);
}

void PeerLink::announceCrash(wire::CrashNotice notice)
{
    wire::Envelope envelope;
    *envelope.mutable_crash_notice() = std::move(notice);
    sendToAll(envelope);
}

void PeerLink::announceQuarantine(wire::QuarantineNotice notice)
{
    wire::Envelope envelope;
    *envelope.mutable_quarantine_notice() = std::move(notice);
    sendToAll(envelope);
}

void PeerLink::announceEvacuations(wire::EvacuationNotice notice)
{
    wire::Envelope envelope;
    *envelope.mutable_evacuation_notice() = std::move(notice);
    sendToAll(envelope);
}

void PeerLink::announceRotation(const std::vector<std::string> &peers, const wire::RotationNotice &notice)
{
    wire::Envelope envelope;
    *envelope.mutable_rotation_notice() = notice;
    for (const std::string &peer : peers) {
        m_hub.send(peer, envelope);
    }
}

void PeerLink::announceAvailability(const std::string &peer, wire::AvailabilityNotice notice)
{
    wire::Envelope envelope;
    *envelope.mutable_availability_notice() = std::move(notice);
    m_hub.send(peer, envelope);
}

void PeerLink::sendToAll(const wire::Envelope &envelope)
{
    for (const std::string &peer : m_peers) {
        m_hub.send(peer, envelope);
    }
}

void PeerLink::handleMessage(const std::string &peer, const wire::Envelope &message)
{
    if (message.has_peer_call()) {
        boost::asio::co_spawn(m_executor, answerCall(peer, message.peer_call()), boost::asio::detached);
        return;
    }
    if (message.has_rotation_notice()) {
        m_onRotation(peer, message.rotation_notice());
        return;
    }
    if (message.has_availability_notice()) {
        m_onAvailability(peer, message.availability_notice());
        return;
    }
    if (message.has_plan_notice()) {
        if (!message.plan_notice().failure_domain().empty()) {
            m_onDomain(peer, message.plan_notice().failure_domain());
            m_onAvailabilityDomain(peer, message.plan_notice().failure_domain());
        }
        m_onPlanNotice(peer, message.plan_notice().version());
        return;
    }
    if (message.has_crash_notice()) {
        m_onCrash(message.crash_notice());
        return;
    }
    if (message.has_quarantine_notice()) {
        m_onQuarantine(peer, message.quarantine_notice());
        return;
    }
    if (message.has_evacuation_notice()) {
        m_onEvacuation(message.evacuation_notice());
        return;
    }
    const auto pending = m_pendingCalls.find(message.peer_answer().call_id());
    // Nobody receives an answer that arrives after the timeout of its call. Its caller declares a loan in it void.
    if (message.has_peer_answer() && pending != m_pendingCalls.end()) {
        pending->second->answer = message.peer_answer();
        pending->second->answerArrived.cancel();
    }
}

boost::asio::awaitable<void> PeerLink::answerCall(std::string peer, wire::PeerCall call)
{
    const std::uint64_t id = call.call_id();
    wire::PeerAnswer result = co_await m_callHandler(std::move(call));
    result.set_call_id(id);
    wire::Envelope envelope;
    *envelope.mutable_peer_answer() = std::move(result);
    m_hub.send(peer, envelope);
}

}
