#pragma once

#include "budget/budgetservice.h"
#include "caller/callerapi.h"
#include "caller/requestdriver.h"
#include "configuration/configuration.h"
#include "daemon/settings.h"
#include "link/linkhub.h"
#include "membership/peerdirectory.h"
#include "membership/reclaimservice.h"
#include "membership/settlementtracker.h"
#include "membership/storerelay.h"
#include "net/httpserver.h"
#include "net/workerpool.h"
#include "operations/metrics.h"
#include "routing/targettable.h"
#include "store/platformclient.h"

#include <memory>
#include <mutex>
#include <string>

namespace bamboohold {

/// The daemon's router role: connects the callers' API, budgets, routing and links, and applies new versions of the configuration.
///
/// Lock order, if more than one should be needed: budgets, routing, peers, metrics. At present no lock is held while another one is
/// acquired.
class Router
{
public:
    Router(WorkerPool &pool, const Settings &settings);
    ~Router();

    /// Opens the ports and starts the background tasks. The router reports that it is ready once a configuration is active. Returns an
    /// error if a port cannot be opened.
    absl::Status open();

    /// Rejects new requests, waits until requests in flight and then all connections have ended or Settings::drainTimeout has passed,
    /// returns the grants and stops the worker pool.
    void drain();

    /// Logs the requests that were received and not answered, and the connections that are still open. Called once the event loops have
    /// ended, when neither number can change any more.
    void logStopped() const;

    /// Ends the exchange of messages with peers. Called once the event loops have ended, since a message may still refer to them.
    void closeLink();

private:
    void onMessage(std::string_view peer, wire::Envelope &message);
    void onReport(std::string_view peer, const wire::Report &report);
    void onBilled(const std::vector<Charge> &billed);
    void requestRecall(const std::string &budget, Tokens need);
    void applyConfiguration(ConfigurationPointer configuration);
    ConfigurationPointer configuration() const;

    asio::awaitable<void> followConfiguration();
    asio::awaitable<void> fetchConfiguration();
    asio::awaitable<void> followEvacuations();
    asio::awaitable<void> followPeers();
    asio::awaitable<void> sendHeartbeats();
    asio::awaitable<void> watchForDeadRouters();
    asio::awaitable<void> watchForFencing();
    std::vector<std::string> responsivePeers();
    asio::awaitable<void> closeListener();
    asio::awaitable<void> drainLoop();
    asio::awaitable<void> handleCaller(HttpExchange &exchange);
    asio::awaitable<void> handleOperations(HttpExchange &exchange);
    asio::awaitable<bool> handleHealth(HttpExchange &exchange);
    bool ready() const;
    std::string statusJson();
    std::string metricsText();

    WorkerPool &m_pool;
    Settings m_settings;
    NodeIdentity m_identity;
    Metrics m_metrics;
    PlatformClient m_platform;
    BudgetService m_budgets;
    Sponsorship m_sponsors;
    ClaimService m_claims;
    std::mutex m_routingMutex;
    TargetTable m_targets;
    RequestDriver m_driver;
    CallerApi m_callerApi;
    mutable std::mutex m_configurationMutex;
    ConfigurationPointer m_configuration;
    std::mutex m_peersMutex;
    PeerDirectory m_peers;
    SettlementTracker m_handover;
    std::map<std::string, std::string> m_targetAddresses;
    StoreRelay m_relay;
    ReclaimService m_reclaimService;
    std::unique_ptr<LinkHub> m_link;
    /// What the clients of this process share.
    std::shared_ptr<ClientResources> m_clientResources;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_operationsServer;
    std::atomic<bool> m_draining = false;
    /// Requests of callers that were received and whose answer is not complete.
    std::atomic<std::size_t> m_unanswered = 0;
};

}
