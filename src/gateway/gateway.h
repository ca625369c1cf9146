#pragma once

#include "budget/teamledger.h"
#include "gateway/callercodec.h"
#include "gateway/loadshedder.h"
#include "gateway/retrybudget.h"
#include "gateway/routingplan.h"
#include "gateway/targetboard.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/signal.h"
#include "operations/metrics.h"
#include "quarantine/poisonguard.h"
#include "routing/loadlink.h"
#include "routing/warmup.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace bamboohold {

class RequestRun;

/// Serves callers straight from the targets: finds route and team, reserves tokens, chooses a target, passes the answer on, settles. Lives
/// on one event loop.
class Gateway
{
public:
    struct Options {
        CallerCodec codec;
        TargetBoard::Options board;
        RetryBudget::Options retries;
        /// Routers that share the retry budget, this one included.
        std::function<std::size_t()> routers;
        /// A router that has just started has its configuration and targets within tens of milliseconds, and all callers that could not
        /// connect before come at once: refused in those moments, they would be late when they come back. They wait for this long at most;
        /// longer, and the store is most likely away.
        Duration startPatience = std::chrono::milliseconds(300);
        /// Targets asked for their load before one is chosen. With two the busier of two is avoided; more bring little, and each takes a
        /// datagram either way.
        std::size_t targetsAsked = 3;
        /// Whether an overloaded router refuses what it has no time for.
        bool sheds = true;
        /// Whether requests that crash targets are held back.
        bool quarantines = true;
        /// This router's name among all of them.
        std::string self;
        /// Whether the relay beside a cold target admits requests to it, rather than shares of all routers.
        bool warmupGrants = true;
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
        return m_runs.size();
    }

    /// Streams under way: what a process that ends has to wait for.
    std::size_t streamsInFlight() const
    {
        return m_streamsInFlight;
    }

    /// The process ends then. New requests are served if they are certainly over before, and refused otherwise.
    void endAt(Instant end)
    {
        m_end = end;
    }

    /// Targets became known: requests may have waited for the first ones.
    void targetsKnown()
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

    /// The routers that live, this one included, by the addresses at which they answer questions about targets.
    void setRouters(std::span<const std::string> routers)
    {
        m_routers.assign(routers.begin(), routers.end());
        m_shares.setRouters(routers);
    }

    /// From now on loads of targets are asked for and told. The link outlives this.
    void setLoads(LoadLink &loads);

    /// Tells again what is under way at each target, so that the relays do not take this router for gone. Call once a second.
    void renewLoads();

    /// How late the loop runs, or a datagram comes back, measured every `LoadShedder::s_tick`.
    void noteDelay(Duration delay);

    /// Whether callers are better served by other routers.
    bool overloaded() const;

    /// Lets the connections to targets that are gone go, and ends attempts at former lives of targets. Call now and then.
    void prune();

private:
    friend class RequestRun;

    bool ready() const
    {
        return m_plan != nullptr && !m_board.empty();
    }

    asio::awaitable<void> waitUntilReady();
    /// Chooses a target for a request. One that is cold or limits what it takes has to admit it; a cold one takes `coldPerSecond` requests
    /// a second, 0 standing for any number.
    asio::awaitable<std::optional<Placement>> place(PlacementWish wish, double coldPerSecond);
    /// Chooses a target after it has asked a few for what others have there.
    asio::awaitable<std::optional<Placement>> leastLoaded(PlacementWish wish);
    /// Whether one request may go to a target that takes so few: by whoever admits requests there, or by this router's share of them.
    asio::awaitable<bool> admitted(Placement placement, AdmissionRates rates);
    void tellLoad(const std::string &incarnation);
    /// Counts a request to a target, by whether the target is known to limit what it takes.
    void countSent(const std::string &incarnation);
    /// Takes what an answer to a request that was sent at that instant says about its target.
    void noteTargetTerms(const std::string &incarnation, const AnswerTerms &answer, Instant sentAt);
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
    std::optional<LoadNotice> loadNotice(const std::string &incarnation) const;

    /// The connections to one target. A process that has taken over an address gets connections of its own: one that its predecessor left
    /// half open would swallow a request.
    std::shared_ptr<HttpClient> client(const Placement &placement);
    const std::string &chooseService(const Route &route);

    asio::any_io_executor m_executor;
    Options m_options;
    TeamLedger &m_ledger;
    Metrics &m_metrics;
    TargetBoard m_board;
    LoadLink *m_loads = nullptr;
    std::vector<std::string> m_routers;
    WarmupShares m_shares;
    LoadShedder m_shedder;
    bool m_shedding = false;
    RetryBudget m_retries;
    PoisonGuard m_guard;
    std::shared_ptr<const RoutingPlan> m_plan;
    /// The first plan or the first targets came.
    Signal m_becameReady;
    /// By incarnation.
    std::map<std::string, std::shared_ptr<HttpClient>> m_clients;
    std::mt19937_64 m_random;
    std::set<RequestRun *> m_runs;
    std::size_t m_streamsInFlight = 0;
    std::optional<Instant> m_end;
};

}
