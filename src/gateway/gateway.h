#pragma once

#include "budget/teamledger.h"
#include "gateway/callercodec.h"
#include "gateway/loadshedder.h"
#include "gateway/retrybudget.h"
#include "gateway/routingplan.h"
#include "gateway/targetchooser.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/signal.h"
#include "operations/metrics.h"
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

/// Serves callers straight from the targets: finds route and team, reserves tokens, chooses a target, passes the answer on, settles. Lives
/// on one event loop.
class Gateway
{
public:
    struct Options {
        CallerCodec codec;
        TargetBoard::Options board;
        TargetChooser::Options chooser;
        RetryBudget::Options retryBudget;
        /// Routers that share the retry budget, this one included.
        std::function<std::size_t()> routers;
        /// A router that has just started has its configuration and targets within tens of milliseconds, and all callers that could not
        /// connect before come at once: refused in those moments, they would be late when they come back. They wait for this long at most;
        /// longer, and the store is most likely away.
        Duration startupWait = std::chrono::milliseconds(300);
        /// Whether an overloaded router refuses what it has no time for.
        bool shedsLoad = true;
        /// Whether requests that crash targets are held back.
        bool quarantinesRequests = true;
        /// Seeds the choice among the services of a split route.
        std::uint64_t seed = 1;
    };

    Gateway(asio::any_io_executor executor, Options options, TeamLedger &ledger, Metrics &metrics);

    /// Answers one request. The exchange's handler for HttpServer.
    asio::awaitable<void> handle(HttpExchange &exchange);

    /// A newer plan is in force from now on; an older one is ignored. Returns whether it was newer.
    bool setPlan(std::shared_ptr<const RoutingPlan> plan);

    /// The plan in force; null before the first.
    std::shared_ptr<const RoutingPlan> plan() const
    {
        return m_plan;
    }

    /// Requests under way.
    std::size_t inFlight() const
    {
        return m_activeRequests.size();
    }

    /// Streams under way: what a process that ends has to wait for.
    std::size_t streamsInFlight() const
    {
        return m_streamsInFlight;
    }

    /// The process ends then. New requests are served if they are certainly over before, and refused otherwise.
    void setShutdownTime(Instant shutdownTime)
    {
        m_shutdownTime = shutdownTime;
    }

    /// Targets became known: requests may have waited for the first ones.
    void notifyTargetsKnown()
    {
        m_becameReady.notify();
    }

    /// What is known of the targets.
    TargetBoard &board()
    {
        return m_board;
    }

    /// Requests that crash targets, and are held back.
    PoisonGuard &guard()
    {
        return m_guard;
    }

    /// Chooses targets for requests.
    TargetChooser &chooser()
    {
        return m_chooser;
    }

    /// How late the loop runs, or a datagram comes back, measured every `LoadShedder::s_tick`.
    void recordHostDelay(Duration delay);

    /// Whether callers are better served by other routers.
    bool overloaded() const;

    /// Lets the connections to targets that are gone go, and ends attempts at former lives of targets. Call now and then.
    void dropStaleTargets();

private:
    friend class RequestHandler;

    bool ready() const
    {
        return m_plan != nullptr && !m_board.empty();
    }

    asio::awaitable<void> waitUntilReady();
    /// The connections to one target. A process that has taken over an address gets connections of its own: one that its predecessor left
    /// half open would swallow a request.
    std::shared_ptr<HttpClient> clientFor(const Placement &placement);
    const std::string &chooseService(const Route &route);

    asio::any_io_executor m_executor;
    Options m_options;
    TeamLedger &m_ledger;
    Metrics &m_metrics;
    TargetBoard m_board;
    TargetChooser m_chooser;
    LoadShedder m_shedder;
    bool m_shedding = false;
    RetryBudget m_retryBudget;
    PoisonGuard m_guard;
    std::shared_ptr<const RoutingPlan> m_plan;
    /// The first plan or the first targets came.
    Signal m_becameReady;
    /// By incarnation.
    std::map<std::string, std::shared_ptr<HttpClient>> m_clients;
    std::mt19937_64 m_random;
    std::set<RequestHandler *> m_activeRequests;
    std::size_t m_streamsInFlight = 0;
    std::optional<Instant> m_shutdownTime;
};

}
