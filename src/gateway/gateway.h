#pragma once

#include "budget/teamledger.h"
#include "gateway/callercodec.h"
#include "gateway/loadshedder.h"
#include "gateway/queuedispatcher.h"
#include "gateway/requestretries.h"
#include "gateway/retrybudget.h"
#include "gateway/routingplan.h"
#include "gateway/streamorigins.h"
#include "gateway/targetchooser.h"
#include "net/clientresources.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/signal.h"
#include "operations/metrics.h"
#include "overload/connectiongate.h"
#include "overload/hostload.h"
#include "overload/retryafterplanner.h"
#include "overload/rotation.h"
#include "overload/serviceshares.h"
#include "overload/streamdurations.h"
#include "quarantine/poisonguard.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace bamboohold {

class RequestHandler;

/// A refused request, for which the time to come back is sought.
struct RetryAfterRequest {
    std::string_view service;
    Urgency urgency;
    /// Any evenly distributed value of the request, by which callers that return are spread.
    std::uint64_t requestHash = 0;
    /// How long the caller would still wait for an answer.
    Duration timeLeft{};
};

/// What a refused caller of a router that shuts down is told.
struct DrainRetry {
    Duration after{};
    /// The number of other routers that are known to accept it now.
    std::size_t acceptingRouters = 0;
};

/// Serves callers from the targets: finds the route and the team, reserves tokens, chooses a target, forwards its response and settles the
/// reservation. Bound to one event loop.
class Gateway
{
public:
    struct Options {
        CallerCodec codec;
        TargetBalancer::Options board;
        TargetChooser::Options chooser;
        QueueDispatcher::Options queue;
        ServiceShares::Options shares;
        RetryBudget::Options retryBudget;
        /// By what position this router divides the slack of the retry budget.
        RequestRetries::PositionFinder fleetPosition = [](std::string_view, Instant) {
            return std::nullopt;
        };
        /// How long requests wait at most for the first configuration and targets. A router that has just started has them within tens of
        /// milliseconds, and all callers that could not connect before arrive at once; if they were refused then, their retries would be
        /// late. A longer wait would not help, since the store is then most likely unreachable.
        Duration startupWait = std::chrono::milliseconds(300);
        /// Whether an overloaded router refuses requests that it has no time for.
        bool shedsLoad = true;
        /// Whether refused callers are told when there will be capacity for them, instead of a fixed time.
        bool plannedRetries = true;
        /// Whether the load of the host's network is measured as well; see HostLoad.
        bool measuresHostLoad = true;
        HostLoad::Options hostLoad;
        /// What the clients of this process may take together.
        ClientQuota::Options clients;
        Rotation::Options rotation;
        /// Whether requests that crash targets are quarantined.
        bool quarantinesRequests = true;
        Quarantine::Options quarantine;
        /// Seed of the random choice among the services of a split route.
        std::uint64_t seed = 1;
    };

    Gateway(asio::any_io_executor executor, Options options, TeamLedger &ledger, Metrics &metrics);

    /// Serves one request. This is the handler for HttpServer.
    asio::awaitable<void> handle(HttpExchange &exchange);

    /// Replaces the plan in force by a newer one; an older one is ignored. Returns whether the plan was newer.
    bool setPlan(std::shared_ptr<const RoutingPlan> plan);

    /// The plan in force; null before the first one.
    std::shared_ptr<const RoutingPlan> plan() const
    {
        return m_plan;
    }

    /// The metrics of this process.
    Metrics &metrics()
    {
        return m_metrics;
    }

    /// The number of requests in progress.
    std::size_t inFlight() const
    {
        return m_activeRequests.size();
    }

    /// The number of streams in progress.
    std::size_t streamsInFlight() const
    {
        return m_streamsInFlight;
    }

    /// Announces the shutdown of the process at this time. From now on new requests are served only if they are expected to finish before
    /// it, and refused otherwise. Their callers are told what `retry` advises; without it, when the load balancer has moved them.
    void beginDrain(Instant now, Instant shutdownTime, std::function<DrainRetry(Instant)> retry = {})
    {
        m_drain = {.startedAt = now, .shutdownTime = shutdownTime, .retry = std::move(retry)};
        m_dispatcher.beginDrain();
    }

    /// The number of streams in progress that had arrived when the shutdown was announced.
    std::size_t streamsBeforeDrain() const;

    /// Wakes requests that wait for the first targets.
    void notifyTargetsKnown()
    {
        m_becameReady.notify();
    }

    /// The state of the targets.
    TargetBalancer &board()
    {
        return m_board;
    }

    /// The quarantine for requests that crash targets.
    PoisonGuard &guard()
    {
        return m_guard;
    }

    /// The limit of the retries of each service.
    RetryBudget &retryBudget()
    {
        return m_retryBudget;
    }

    /// The component that chooses targets for requests.
    TargetChooser &chooser()
    {
        return m_chooser;
    }

    /// Where the streams of callers began.
    StreamOrigins &streamOrigins()
    {
        return m_streamOrigins;
    }

    /// Records the delay of the event loop or the round trip of a datagram, whichever is longer. Call every
    /// `LoadShedder::s_measurementInterval`. Returns whether the other routers of the failure domain are to be told whether this one is out
    /// of rotation.
    bool recordHostDelay(Duration delay);

    /// Whether this router is out of rotation because of its host's load. Used only if the host's load is measured.
    Rotation &rotation()
    {
        return m_rotation;
    }

    /// Counts the bytes on the connections of callers and targets.
    const std::shared_ptr<Traffic> &traffic() const
    {
        return m_traffic;
    }

    /// What the clients of this process, at all of its sockets, share.
    const std::shared_ptr<ClientResources> &clientResources() const
    {
        return m_clientResources;
    }

    /// Counts how far the requests of callers get.
    const std::shared_ptr<CallerCounts> &callerCounts() const
    {
        return m_callerCounts;
    }

    /// Records the outcome of a datagram query to a relay. Returns whether a timeout counts against the relay.
    bool recordRelayQuery(const LoadClient::QueryOutcome &outcome);

    /// How many new connections of callers are to be accepted until the next measurement; none: any number.
    std::optional<std::size_t> connectionLimit();

    /// Whether callers are better served by other routers.
    bool overloaded() const;

    /// Closes the connections to targets that were removed, and cancels attempts that wait for targets that have restarted. Call regularly.
    void dropStaleTargets();

private:
    friend class RequestHandler;

    struct Drain {
        Instant startedAt{};
        /// Requests must have ended by then.
        Instant shutdownTime{};
        std::function<DrainRetry(Instant)> retry;
    };

    bool ready() const
    {
        return m_plan != nullptr && !m_board.empty();
    }

    ClientResources::Options clientResourcesOptions() const;
    asio::awaitable<void> waitUntilReady();
    /// What callers are told that are refused because this router shuts down. Call only while it does.
    DrainRetry drainRetry(Instant now) const;
    /// The time after which the caller of a request for which no target has capacity is told to come back.
    Duration retryAfter(const RetryAfterRequest &request, Instant now);
    /// Whether retries to the service are planned: its routes differ in priority, and a target of it states its capacity. Logs a change.
    bool plansRetries(std::string_view service, const Urgency &urgency);
    /// A request of the service was sent to a target, or turned out not to run there.
    void recordDispatch(const std::string &service, Instant now);
    void revokeDispatch(const std::string &service, Instant sentAt);
    /// The client that holds the connections to one target. A process that has taken over an address gets new connections, because one that
    /// its predecessor left half open would swallow a request.
    std::shared_ptr<HttpClient> clientFor(const Placement &placement);
    const std::string &chooseService(const Route &route);
    /// Whether this router is too full to answer a request within its objective.
    bool refusesAsFull(Duration objective, Instant now) const;
    /// Leaves or joins the rotation by the current pressure. Returns whether other routers are to be told.
    bool updateRotation(Instant now);
    /// Exports the pressure by each measure, at intervals.
    void exportPressure();
    /// Logs once a second how far the requests of callers got while this host is overloaded.
    void logCallers(Instant now);
    /// Whether a request is refused because this router is overloaded.
    bool shouldShed(std::string_view requestId, std::string_view service, Urgency urgency, Instant now);
    /// Records that a connection to a target was opened, or timed out.
    void recordConnect(const Placement &placement, bool opened, Duration took);
    /// Whether connections that time out now are the fault of this host's network. If so, the back-offs of the targets whose connections
    /// timed out a moment ago are ended.
    bool networkCongested();
    /// The time after which a caller that this host refuses because of its own load is told to come back.
    Duration redirectDelay(Instant now) const;

    asio::any_io_executor m_executor;
    Options m_options;
    TeamLedger &m_ledger;
    Metrics &m_metrics;
    TargetBalancer m_board;
    TargetChooser m_chooser;
    StreamOrigins m_streamOrigins;
    QueueDispatcher m_dispatcher;
    ServiceShares m_shares;
    LoadShedder m_shedder;
    bool m_shedding = false;
    /// Requests that were not refused because of the host's load.
    std::uint64_t m_servedByHost = 0;
    HostLoad m_hostLoad;
    ConnectionGate m_connectionGate;
    Rotation m_rotation;
    std::shared_ptr<Traffic> m_traffic = std::make_shared<Traffic>();
    std::shared_ptr<CallerCounts> m_callerCounts = std::make_shared<CallerCounts>();
    std::shared_ptr<ClientResources> m_clientResources;
    Instant m_callersLoggedAt{};
    /// The measure by which the host became overloaded.
    HostMeasure m_overloadMeasure = HostMeasure::Delay;
    unsigned m_measurements = 0;
    /// Targets, by incarnation, whose connections have timed out within the latest `HostReachability::s_window`, and when.
    std::map<std::string, Instant> m_connectTimeouts;
    RetryBudget m_retryBudget;
    PoisonGuard m_guard;
    std::shared_ptr<const RoutingPlan> m_plan;
    /// Notified when the first plan or the first targets arrive.
    Signal m_becameReady;
    /// Clients by incarnation of their target.
    std::map<std::string, std::shared_ptr<HttpClient>> m_clients;
    std::mt19937_64 m_random;
    std::set<RequestHandler *> m_activeRequests;
    std::size_t m_streamsInFlight = 0;
    /// How long streams took, by service.
    std::map<std::string, StreamDurations> m_streamDurations;
    std::optional<Drain> m_drain;
    /// By service, and the services of which it is known whether retries are planned.
    std::map<std::string, RetryAfterPlanner, std::less<>> m_retryPlanners;
    std::map<std::string, bool, std::less<>> m_retriesPlanned;
};

}
