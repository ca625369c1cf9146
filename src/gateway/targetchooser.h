#pragma once

#include "gateway/callercodec.h"
#include "gateway/targetbalancer.h"
#include "operations/metrics.h"
#include "routing/admissionshares.h"
#include "routing/loadclient.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bamboohold {

/// Chooses targets for requests. Takes the best candidates from the balancer, queries the relays beside them for the load of other routers,
/// and requests an admission where the target accepts only few requests.
///
/// The runtime around TargetBalancer, LoadClient and AdmissionShares. Lives on one event loop.
class TargetChooser
{
public:
    struct Options {
        /// Candidates whose relays are queried before one is chosen. Two suffice to avoid the busier one of a pair; each further query
        /// costs a datagram either way and improves the choice little.
        std::size_t candidatesQueried = 3;
        /// The address by which the routers know this one.
        std::string self;
        /// Whether a single process admits requests to a target that accepts few. Otherwise each router keeps to its share of the rate.
        bool centralAdmission = true;
    };

    /// The balancer and the metrics must outlive this object.
    TargetChooser(TargetBalancer &balancer, Metrics &metrics, Options options);

    /// Enables the exchange of target loads. The link must outlive this object.
    void setLoadClient(LoadClient &client);

    /// Sets the routers that are alive, this one included, by the addresses at which they answer load queries.
    void setRouters(std::span<const std::string> routers)
    {
        m_routers.assign(routers.begin(), routers.end());
        m_shares.setRouters(routers);
    }

    /// Chooses a target for a request; none when no target accepts it now. A target that is cold or has a rate limit must admit the
    /// request. A cold target accepts `coldPerSecond` requests per second; 0 stands for any number.
    boost::asio::awaitable<std::optional<Placement>> place(PlacementRequest request, double coldPerSecond);

    /// Counts a request to the target in the metrics, by whether the target has a rate limit. Logs a request to a target that the list
    /// lacks.
    void countSent(const Placement &placement, std::string_view requestId);

    /// Reports this router's current load at the target to the relay beside it.
    void reportLoad(const std::string &incarnation);

    /// Repeats the load report for every target with outstanding requests, since relays drop routers whose reports stop. Call once per
    /// second.
    void refreshLoads();

    /// Brings the speeds of targets up to date, and logs those that have become slow or have recovered. Call every few hundred
    /// milliseconds.
    void refreshSpeeds();

    /// Updates the gauges of the speeds. Call once per second.
    void exportSpeeds();

    /// Applies the directives in an answer of the target to the request that was sent at `sentAt`.
    void applyAnswerTerms(const std::string &incarnation, const ResponseMetadata &answer, Instant sentAt);

private:
    /// Chooses the least loaded of a few candidates, after their relays were queried.
    boost::asio::awaitable<std::optional<Placement>> chooseLeastLoaded(PlacementRequest request);
    /// Requests permission to send one request, from the process that admits requests to the target or, where none answers, from this
    /// router's share of the rate. Returns whether it was granted.
    boost::asio::awaitable<bool> requestAdmission(Placement placement, AdmissionRates rates);
    /// Sets the requests per second that the target accepts from all routers together.
    void setLimit(const std::string &incarnation, double requestsPerSecond);
    /// Clears the rate limit, unless it was reported after `askedAt`, when the answer without a limit was asked for. Returns whether a
    /// limit was cleared.
    bool endLimit(const std::string &incarnation, Instant askedAt);
    /// Reports the target's rate limit to the process that admits requests to it; 0: it has none any more.
    void reportLimit(const std::string &incarnation, double requestsPerSecond);
    /// Applies a rate limit that other routers reported; 0 means that it has ended. `askedAt` is when the process that admits requests to
    /// the target was asked.
    void applyReportedLimit(const std::string &incarnation, double requestsPerSecond, Instant askedAt);
    /// Applies the speed that the other routers have measured at the target.
    void applyReportedSpeed(const std::string &incarnation, const SpeedReport &report);
    /// This router's load at the target, addressed to the process that admits requests there. That is the relay beside the target or, where
    /// none answers, a router that all routers select alike.
    LoadNotice admissionNotice(const std::string &incarnation) const;
    /// This router's load at the target, addressed to the relay beside it; none where no relay can run.
    std::optional<LoadNotice> loadNotice(const std::string &incarnation) const;

    TargetBalancer &m_balancer;
    Metrics &m_metrics;
    Options m_options;
    LoadClient *m_loadClient = nullptr;
    std::vector<std::string> m_routers;
    /// The targets that have a gauge, with its value.
    std::map<std::string, int> m_exportedSpeeds;
    AdmissionShares m_shares;
};

}
