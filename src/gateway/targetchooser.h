#pragma once

#include "gateway/callercodec.h"
#include "gateway/targetboard.h"
#include "operations/metrics.h"
#include "routing/admissionshares.h"
#include "routing/loadlink.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bamboohold {

/// Chooses targets for requests: by what the board knows, what the relays beside a few candidates answer, and whether a target that takes
/// few requests admits one more.
///
/// The runtime around TargetBoard, LoadLink and AdmissionShares. Lives on one event loop.
class TargetChooser
{
public:
    struct Options {
        /// Targets asked for their load before one is chosen. With two the busier of two is avoided; more bring little, and each takes a
        /// datagram either way.
        std::size_t targetsAsked = 3;
        /// This router's name among all of them.
        std::string self;
        /// Whether one process admits requests to a target that takes few, rather than shares of all routers.
        bool admissions = true;
    };

    /// The board and the metrics outlive this.
    TargetChooser(TargetBoard &board, Metrics &metrics, Options options);

    /// From now on loads of targets are asked for and told. The link outlives this.
    void setLoads(LoadLink &loads);

    /// The routers that live, this one included, by the addresses at which they answer questions about targets.
    void setRouters(std::span<const std::string> routers)
    {
        m_routers.assign(routers.begin(), routers.end());
        m_shares.setRouters(routers);
    }

    /// Chooses a target for a request. One that is cold or limits what it takes has to admit it; a cold one takes `coldPerSecond` requests
    /// a second, 0 standing for any number. None when no target takes the request now.
    boost::asio::awaitable<std::optional<Placement>> place(PlacementWish wish, double coldPerSecond);

    /// A request goes to the target. Counted by whether the target is known to limit what it takes.
    void countSent(const std::string &incarnation);

    /// Tells the relay beside the target what this router has there now.
    void tellLoad(const std::string &incarnation);

    /// Tells again what is under way at each target, so that the relays do not take this router for gone. Call once a second.
    void renewLoads();

    /// Takes what an answer to a request that was sent at that instant says about its target.
    void noteTargetTerms(const std::string &incarnation, const ResponseMetadata &answer, Instant sentAt);

private:
    /// Chooses a target after it has asked a few for what others have there.
    boost::asio::awaitable<std::optional<Placement>> leastLoaded(PlacementWish wish);
    /// Whether one request may go to a target that takes so few: by whoever admits requests there, or by this router's share of them.
    boost::asio::awaitable<bool> admitted(Placement placement, AdmissionRates rates);
    /// The target takes so many requests a second from all routers together from now on.
    void setLimit(const std::string &incarnation, double requestsPerSecond);
    /// Something asked at that instant was answered without a limit. Returns whether that ends one.
    bool endLimit(const std::string &incarnation, Instant askedAt);
    /// Tells who admits requests to the target what the target said of its limit; 0: it has none any more.
    void tellLimit(const std::string &incarnation, double requestsPerSecond);
    /// Other routers heard of the target's limit, as who admits requests there answered to a question of that instant.
    void heardLimit(const std::string &incarnation, double requestsPerSecond, Instant askedAt);
    /// What this router has at the target, for who admits requests there: the relay beside it, or else one of the routers, the same one for
    /// all.
    LoadNotice admissionNotice(const std::string &incarnation) const;
    /// What this router has at the target, for the relay beside it; none where no relay can be.
    std::optional<LoadNotice> loadNotice(const std::string &incarnation) const;

    TargetBoard &m_board;
    Metrics &m_metrics;
    Options m_options;
    LoadLink *m_loads = nullptr;
    std::vector<std::string> m_routers;
    AdmissionShares m_shares;
};

}
