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

/// The daemon's router role: wires the callers' interface, budgets, routing and links together and follows the configuration.
///
/// Lock order, where more than one is ever needed: budgets, then routing, then peers, then metrics. In fact none is held while another is
/// taken.
class Router
{
public:
    Router(WorkerPool &pool, const Settings &settings);
    ~Router();

    /// Opens the ports and starts; readiness follows once a configuration is in force and the table knows this router.
    absl::Status open();

    /// Takes no new request from now on, lets streams finish, returns the grants and stops the pool.
    void drain();

private:
    void onMessage(std::string_view peer, wire::Envelope &message);
    void onReport(std::string_view peer, const wire::Report &report);
    void onBilled(const std::vector<Charge> &billed);
    void askPeers(const std::string &budget, Tokens need);
    void applyConfiguration(ConfigurationPointer configuration);
    ConfigurationPointer configuration() const;

    asio::awaitable<void> followConfiguration();
    asio::awaitable<void> fetchConfiguration();
    asio::awaitable<void> followEvacuations();
    asio::awaitable<void> followPeers();
    asio::awaitable<void> heartbeats();
    asio::awaitable<void> watchForDeadRouters();
    asio::awaitable<void> watchForFencing();
    std::vector<std::string> helpers();
    asio::awaitable<void> drainLoop();
    asio::awaitable<void> answerCaller(HttpExchange &exchange);
    asio::awaitable<void> answerOperations(HttpExchange &exchange);
    asio::awaitable<bool> answerHealth(HttpExchange &exchange);
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
    CallerApi m_callers;
    mutable std::mutex m_configurationMutex;
    ConfigurationPointer m_configuration;
    std::mutex m_peersMutex;
    PeerDirectory m_peers;
    SettlementTracker m_handover;
    std::map<std::string, std::string> m_targetAddresses;
    StoreRelay m_relay;
    ReclaimService m_reclaims;
    std::unique_ptr<LinkHub> m_link;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_operationsServer;
    std::atomic<bool> m_draining = false;
};

}
