#pragma once

#include "clock/instant.h"
#include "failure/failure.h"
#include "link/linkhub.h"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bamboohold {

/// Calls and notices between routers that serve without sidecars. Peers are named by the address that their link listens on, which a
/// restarted process keeps, so that connections find it again by themselves. Lives on one event loop; the link's thread only hands messages
/// over.
class PeerLink
{
public:
    struct Options {
        /// This router's link address, ADDRESS:PORT.
        std::string self;
        /// Link addresses known before the store was read; some may be out of date.
        std::vector<std::string> seeds;
    };

    using CallHandler = std::function<boost::asio::awaitable<wire::PeerAnswer>(wire::PeerCall call)>;
    using PlanNoticeHandler = std::function<void(const std::string &peer, std::uint64_t planVersion)>;
    using CrashHandler = std::function<void(const wire::CrashNotice &notice)>;
    using EvacuationHandler = std::function<void(const wire::EvacuationNotice &notice)>;
    using QuarantineHandler = std::function<void(const std::string &peer, const wire::QuarantineNotice &notice)>;

    PeerLink(boost::asio::any_io_executor executor, Options options);

    /// Who answers peers' calls, and who hears of their configurations. Before open().
    void setCallHandler(CallHandler callHandler, PlanNoticeHandler onPlanNotice);

    /// Who hears of targets that crashed, and of requests that are held back for it. Before open().
    void setCrashHandlers(CrashHandler onCrash, QuarantineHandler onQuarantine);

    /// Who hears of evacuations. Before open().
    void setEvacuationHandler(EvacuationHandler onEvacuation);

    /// Listens; a taken address is an InvalidSetting.
    absl::Status open();

    /// The routers that live, by link address; this one may be among them.
    void setPeers(const std::vector<std::string> &peers);

    /// Asks a peer. Failures: TargetLost with Executed::Unknown when no answer came in time.
    boost::asio::awaitable<absl::StatusOr<wire::PeerAnswer>> sendCall(std::string peer, wire::PeerCall call, Duration timeout);

    /// Tells every peer which configuration is in force here.
    void announcePlan(std::uint64_t version);

    /// Tells every peer what this router had under way at a target that crashed.
    void announceCrash(wire::CrashNotice notice);

    /// Tells every peer that a request is held back, or no longer is.
    void announceQuarantine(wire::QuarantineNotice notice);

    /// Tells every peer which failure domains are evacuated.
    void announceEvacuations(wire::EvacuationNotice notice);

    /// The loop that answers and notices arrive on.
    const boost::asio::any_io_executor &executor() const
    {
        return m_executor;
    }

    /// This router's link address.
    const std::string &self() const
    {
        return m_options.self;
    }

    /// Peers by link address, this router left out.
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
    EvacuationHandler m_onEvacuation = [](const wire::EvacuationNotice &) {};
    std::set<std::string> m_peers;
    std::map<std::uint64_t, std::shared_ptr<PendingCall>> m_pendingCalls;
    std::uint64_t m_lastCall = 0;
    /// Last, so that its thread ends before anything that it hands messages to.
    LinkHub m_hub;
};

}
