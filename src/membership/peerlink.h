#pragma once

#include "clock/instant.h"
#include "failure/failure.h"
#include "link/linkhub.h"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bamboohold {

/// Sends calls and notices between routers that work without sidecars. A peer is identified by the address that its link listens on. A
/// restarted process keeps that address, so connections are re-established without further action. Must be used on one event loop; the
/// link's thread only posts messages to it.
class PeerLink
{
public:
    struct Options {
        /// This router's link address, ADDRESS:PORT.
        std::string self;
        /// Link addresses to connect to before the store was read; some may be outdated.
        std::vector<std::string> seeds;
        /// This router's failure domain, which its notices state.
        std::string failureDomain;
        /// What hosts that are not known as peers may take of this router's link.
        Strangers::Options strangers;
    };

    using CallHandler = std::function<boost::asio::awaitable<wire::PeerAnswer>(wire::PeerCall call)>;
    using PlanNoticeHandler = std::function<void(const std::string &peer, std::uint64_t planVersion)>;
    using CrashHandler = std::function<void(const wire::CrashNotice &notice)>;
    using RotationHandler = std::function<void(const std::string &peer, const wire::RotationNotice &notice)>;
    /// Called when a peer states its failure domain.
    using DomainHandler = std::function<void(const std::string &peer, const std::string &failureDomain)>;
    using AvailabilityHandler = std::function<void(const std::string &peer, const wire::AvailabilityNotice &notice)>;
    using EvacuationHandler = std::function<void(const wire::EvacuationNotice &notice)>;
    using QuarantineHandler = std::function<void(const std::string &peer, const wire::QuarantineNotice &notice)>;

    PeerLink(boost::asio::any_io_executor executor, Options options);

    /// Sets the handlers for calls of peers and for notices of their configuration version. Must be called before open().
    void setCallHandler(CallHandler callHandler, PlanNoticeHandler onPlanNotice);

    /// Sets the handlers for crashes of targets and for quarantined requests. Must be called before open().
    void setCrashHandlers(CrashHandler onCrash, QuarantineHandler onQuarantine);

    /// Sets the handlers for routers that leave and join the rotation, and for the failure domains of peers. Must be called before open().
    void setRotationHandlers(RotationHandler onRotation, DomainHandler onDomain);

    /// Sets the handlers for what routers say of whether they accept callers, and for the failure domains of peers. Must be called before
    /// open().
    void setAvailabilityHandlers(AvailabilityHandler onAvailability, DomainHandler onDomain);

    /// Sets the handler for evacuations. Must be called before open().
    void setEvacuationHandler(EvacuationHandler onEvacuation);

    /// Starts to listen and connects to the seeds. Fails with InvalidSetting if the address is in use.
    absl::Status open();

    /// Ends the exchange of messages with peers. Called once the event loop has ended, since messages are posted to it.
    void close();

    /// Replaces the peers by the live routers, given by link address; the list may contain this router.
    void setPeers(const std::vector<std::string> &peers);

    /// Sends a call to a peer and waits for its answer. Fails with TargetLost and Executed::Unknown if no answer arrives within the
    /// timeout.
    boost::asio::awaitable<absl::StatusOr<wire::PeerAnswer>> sendCall(std::string peer, wire::PeerCall call, Duration timeout);

    /// Notifies every peer of the configuration version that is in force here.
    void announcePlan(std::uint64_t version);

    /// Notifies every peer of the requests that this router had in flight at a target that crashed.
    void announceCrash(wire::CrashNotice notice);

    /// Notifies every peer that a request is quarantined or was released.
    void announceQuarantine(wire::QuarantineNotice notice);

    /// Notifies every peer of the evacuated failure domains.
    void announceEvacuations(wire::EvacuationNotice notice);

    /// Notifies these peers whether this router is out of rotation.
    void announceRotation(const std::vector<std::string> &peers, const wire::RotationNotice &notice);

    /// Notifies this peer whether this router accepts callers.
    void announceAvailability(const std::string &peer, wire::AvailabilityNotice notice);

    /// The event loop on which answers and notices are delivered.
    const boost::asio::any_io_executor &executor() const
    {
        return m_executor;
    }

    /// This router's link address.
    const std::string &self() const
    {
        return m_options.self;
    }

    /// Link addresses of the peers, without this router.
    std::vector<std::string> peers() const;

private:
    struct PendingCall {
        explicit PendingCall(const boost::asio::any_io_executor &executor)
            : answerArrived(executor)
        {
        }

        boost::asio::steady_timer answerArrived;
        std::optional<wire::PeerAnswer> answer;
    };

    /// Passes a message to the event loop. Called on the link's thread.
    void receive(std::string_view peer, const wire::Envelope &message);
    void connect(const std::string &peer);
    void sendToAll(const wire::Envelope &envelope);
    void handleMessage(const std::string &peer, const wire::Envelope &message);
    boost::asio::awaitable<void> answerCall(std::string peer, wire::PeerCall call);

    boost::asio::any_io_executor m_executor;
    Options m_options;
    CallHandler m_callHandler;
    PlanNoticeHandler m_onPlanNotice;
    CrashHandler m_onCrash = [](const wire::CrashNotice &) {};
    QuarantineHandler m_onQuarantine = [](const std::string &, const wire::QuarantineNotice &) {};
    RotationHandler m_onRotation = [](const std::string &, const wire::RotationNotice &) {};
    DomainHandler m_onDomain = [](const std::string &, const std::string &) {};
    AvailabilityHandler m_onAvailability = [](const std::string &, const wire::AvailabilityNotice &) {};
    DomainHandler m_onAvailabilityDomain = [](const std::string &, const std::string &) {};
    EvacuationHandler m_onEvacuation = [](const wire::EvacuationNotice &) {};
    /// Bytes of messages that wait for the event loop.
    std::atomic<std::size_t> m_waitingBytes = 0;
    /// Messages that were lost since too many waited, and when that was logged; used on the link's thread.
    std::int64_t m_lostMessages = 0;
    Instant m_lossLoggedAt{};
    std::set<std::string> m_peers;
    std::map<std::uint64_t, std::shared_ptr<PendingCall>> m_pendingCalls;
    std::uint64_t m_lastCall = 0;
    /// Declared last, so that its thread ends before the members that it delivers messages to are destroyed.
    LinkHub m_hub;
};

}
