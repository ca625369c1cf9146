#include "daemon/router.h"

#include "budget/budgetrows.h"
#include "clock/steadytime.h"
#include "membership/evacuationrows.h"
#include "net/hostlimits.h"
#include "net/incarnation.h"
#include "net/pause.h"
#include "operations/drainsequence.h"
#include "operations/log.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>

namespace bamboohold {

namespace {

constexpr Duration s_heartbeatInterval = std::chrono::seconds(1);
constexpr Duration s_peerPollInterval = std::chrono::seconds(2);
constexpr Duration s_drainPollInterval = std::chrono::milliseconds(20);
constexpr Duration s_returnTimeout = std::chrono::seconds(5);

std::vector<TargetDescriptor> targetPlaces(const Inventory &inventory, std::string_view ownDomain)
{
    std::vector<TargetDescriptor> places;
    for (const Target &target : inventory.targets) {
        const Host *host = inventory.findHost(target.host);
        const std::string domain = host == nullptr ? std::string() : host->failureDomain;
        places.push_back({.name = target.name,
                          .model = target.model,
                          .service = target.service,
                          .failureDomain = domain,
                          .latencyUs = inventory.latencyUs(ownDomain, domain),
                          .slots = target.slots});
    }
    return places;
}

AccountPolicy accountPolicy(const Settings &settings)
{
    AccountPolicy policy;
    policy.holdingHorizon = settings.grantHorizon;
    return policy;
}

}

Router::Router(WorkerPool &pool, const Settings &settings)
    : m_pool(pool)
    , m_settings(settings)
    , m_identity({.incarnation = newIncarnation(settings.host),
                  .host = settings.host,
                  .linkAddress = absl::StrCat(settings.address, ":", settings.linkPort)})
    , m_platform(pool.mainLoop().get_executor(), settings.platform, settings.platformTimeout)
    , m_budgets(pool.mainLoop().get_executor(),
                m_platform,
                {.identity = m_identity, .policy = accountPolicy(settings), .flushInterval = settings.flushInterval})
    , m_sponsors(pool.mainLoop().get_executor(),
                 m_budgets,
                 [this] {
                     return responsivePeers();
                 },
                 {})
    , m_claims(pool.mainLoop().get_executor(), m_platform, {})
    , m_targets({})
    , m_driver(m_budgets, m_sponsors, m_claims, m_targets, m_routingMutex, m_metrics, {.incarnation = m_identity.incarnation})
    , m_callerApi(m_driver,
                  [this] {
                      return configuration();
                  },
                  {.limits = {.defaultLimit = settings.defaultOutputTokens, .maxLimit = settings.maxOutputTokens},
                   .defaultDeadline = settings.defaultDeadline})
    , m_peers({.self = m_identity.incarnation, .suspicionTimeout = settings.reclaimTimeout})
    , m_relay(pool.mainLoop().get_executor(),
              m_platform,
              [this] {
                  return responsivePeers();
              },
              {.timeout = settings.platformTimeout})
    , m_reclaimService(m_platform, {.reclaimer = m_identity.incarnation})
{
    m_platform.setRelay([this](const HttpCallOptions &options) {
        return m_relay.call(options);
    });
    m_budgets.setBilledHandler([this](const std::vector<Charge> &billed) {
        onBilled(billed);
    });
    m_budgets.setRecallHandler([this](const std::string &budget, Tokens need) {
        requestRecall(budget, need);
    });
}

Router::~Router() = default;

absl::Status Router::open()
{
    m_link = std::make_unique<LinkHub>(
        LinkHub::Options{.identity = m_identity.incarnation, .endpoint = absl::StrCat("tcp://", m_identity.linkAddress)},
        [this](std::string_view peer, wire::Envelope &message) {
            onMessage(peer, message);
        });
    m_driver.setLink(m_link.get());
    m_relay.setLink(m_link.get());
    m_reclaimService.setLink(m_link.get());
    m_sponsors.setLink(m_link.get());
    const HostResources host = withinSystemLimits({.memoryMb = m_settings.memoryMb, .maxDescriptors = m_settings.maxDescriptors});
    m_clientResources = std::make_shared<ClientResources>(ClientResources::Options{.quota = clientQuotaFor(host)}, m_metrics);
    HttpServer::Options callers{.address = m_settings.address, .port = m_settings.callerPort, .resources = m_clientResources};
    m_callerServer = std::make_unique<HttpServer>(m_pool, std::move(callers), [this](HttpExchange &exchange) {
        return handleCaller(exchange);
    });
    HttpServer::Options operations{.address = m_settings.address,
                                   .port = m_settings.operationsPort,
                                   .resources = m_clientResources,
                                   .socket = ClientSocket::Operations};
    m_operationsServer = std::make_unique<HttpServer>(m_pool, std::move(operations), [this](HttpExchange &exchange) {
        return handleOperations(exchange);
    });
    for (const absl::Status &status : {m_link->open(), m_callerServer->open(), m_operationsServer->open()}) {
        if (!status.ok()) {
            return status;
        }
    }
    asio::io_context &loop = m_pool.mainLoop();
    asio::co_spawn(loop, followConfiguration(), asio::detached);
    asio::co_spawn(loop, followEvacuations(), asio::detached);
    asio::co_spawn(loop, followPeers(), asio::detached);
    asio::co_spawn(loop, sendHeartbeats(), asio::detached);
    asio::co_spawn(loop, m_budgets.run(), asio::detached);
    asio::co_spawn(loop, watchForDeadRouters(), asio::detached);
    asio::co_spawn(loop, watchForFencing(), asio::detached);
    asio::co_spawn(loop, m_sponsors.settleOverdueRuns(), asio::detached);
    logLine(Severity::Info, "router started", {{"incarnation", m_identity.incarnation}});
    return absl::OkStatus();
}

ConfigurationPointer Router::configuration() const
{
    const std::lock_guard lock(m_configurationMutex);
    return m_configuration;
}

void Router::onMessage(std::string_view peer, wire::Envelope &message)
{
    {
        const std::lock_guard lock(m_peersMutex);
        m_peers.recordMessage(peer, steadyNow());
    }
    switch (message.body_case()) {
    case wire::Envelope::kFrame:
        m_driver.onFrame(*message.mutable_frame());
        break;
    case wire::Envelope::kReport:
        onReport(peer, message.report());
        break;
    case wire::Envelope::kRecall:
        m_budgets.onPeerRecall(message.recall().budget(), peer);
        break;
    case wire::Envelope::kRelayRequest:
        m_relay.onRequest(peer, std::move(*message.mutable_relay_request()));
        break;
    case wire::Envelope::kRelayAnswer:
        m_relay.onAnswer(std::move(*message.mutable_relay_answer()));
        break;
    case wire::Envelope::kSponsorRequest:
        m_sponsors.onRequest(peer, message.sponsor_request());
        break;
    case wire::Envelope::kSponsorAnswer:
        m_sponsors.onAnswer(peer, message.sponsor_answer());
        break;
    case wire::Envelope::kSponsoredEnd:
        m_sponsors.onEnd(message.sponsored_end());
        break;
    case wire::Envelope::kSealAnswer:
        m_reclaimService.onSealAnswer(message.seal_answer());
        break;
    default:
        break;
    }
}

void Router::onReport(std::string_view peer, const wire::Report &report)
{
    {
        const std::lock_guard lock(m_peersMutex);
        m_handover.recordIncarnation(peer, report.incarnation(), steadyNow());
    }
    const std::lock_guard lock(m_routingMutex);
    m_targets.recordReport(peer,
                           {.incarnation = report.incarnation(),
                            .running = report.running(),
                            .waiting = report.waiting(),
                            .slots = report.slots(),
                            .leaving = report.leaving(),
                            .engineReachable = report.engine_reachable()},
                           steadyNow());
}

void Router::requestRecall(const std::string &budget, Tokens need)
{
    wire::Envelope envelope;
    envelope.mutable_recall()->set_budget(budget);
    envelope.mutable_recall()->set_need(need);
    const std::lock_guard lock(m_peersMutex);
    for (const PeerDirectory::Peer &peer : m_peers.peers()) {
        m_link->send(peer.incarnation, envelope);
    }
}

void Router::onBilled(const std::vector<Charge> &billed)
{
    std::map<std::string, wire::Envelope> byTarget;
    for (const Charge &charge : billed) {
        if (!charge.target.empty()) {
            byTarget[charge.target].mutable_settled()->add_request_ids(charge.requestId);
        }
    }
    for (const auto &[target, envelope] : byTarget) {
        m_link->send(target, envelope);
    }
}

void Router::applyConfiguration(ConfigurationPointer configuration)
{
    const Inventory &inventory = configuration->inventory();
    {
        const std::lock_guard lock(m_routingMutex);
        m_targets.setTargets(targetPlaces(inventory, m_settings.failureDomain));
    }
    {
        const std::lock_guard lock(m_peersMutex);
        std::map<std::string, std::string> addresses;
        for (const Target &target : inventory.targets) {
            const Host *host = inventory.findHost(target.host);
            addresses.emplace(target.name, absl::StrCat("tcp://", host->address, ":", target.linkPort));
        }
        for (const auto &[target, address] : m_targetAddresses) {
            const auto found = addresses.find(target);
            if (found == addresses.end() || found->second != address) {
                m_link->disconnect(target, address);
            }
        }
        for (const auto &[target, address] : addresses) {
            m_link->connect(target, address);
        }
        m_targetAddresses = std::move(addresses);
    }
    logLine(Severity::Info, "configuration applied", {{"version", static_cast<std::int64_t>(configuration->version())}});
    const std::lock_guard lock(m_configurationMutex);
    m_configuration = std::move(configuration);
}

asio::awaitable<void> Router::fetchConfiguration()
{
    const auto head = co_await m_platform.readOne(std::string(s_configurationHead));
    if (!head.ok() || head->version == 0) {
        co_return;
    }
    const auto version = static_cast<std::uint64_t>(integerField(head->fields, "version"));
    const ConfigurationPointer current = configuration();
    // Ignore older versions: a slow read that completes after a newer one must not revert it.
    if (current != nullptr && version <= current->version()) {
        co_return;
    }
    const auto document = co_await m_platform.readObject(textField(head->fields, "object"));
    if (!document.ok()) {
        co_return;
    }
    InventoryReading inventoryReading = readInventory(*document);
    if (!inventoryReading.inventory) {
        logLine(Severity::Error,
                "cannot parse the accepted configuration",
                {{"path", inventoryReading.errors.front().path}, {"detail", inventoryReading.errors.front().message}});
        co_return;
    }
    applyConfiguration(std::make_shared<const Configuration>(version, *std::move(inventoryReading.inventory)));
}

asio::awaitable<void> Router::followConfiguration()
{
    while (true) {
        co_await fetchConfiguration();
        co_await pause(m_settings.configurationPollInterval);
    }
}

asio::awaitable<void> Router::followEvacuations()
{
    std::set<std::string> evacuated;
    while (true) {
        const auto rows = co_await m_platform.scan(s_evacuationRowPrefix);
        if (rows.ok()) {
            std::set<std::string> domains;
            for (const TableRow &row : *rows) {
                domains.insert(row.key.substr(s_evacuationRowPrefix.size()));
            }
            if (domains != evacuated) {
                logLine(Severity::Info, "evacuations.in_force", {{"domains", absl::StrJoin(domains, ",")}});
                evacuated = domains;
            }
            const std::lock_guard lock(m_routingMutex);
            m_targets.setEvacuated(std::move(domains));
        }
        co_await pause(m_settings.configurationPollInterval);
    }
}

asio::awaitable<void> Router::followPeers()
{
    while (true) {
        const auto rows = co_await m_platform.scan(s_nodePrefix);
        if (rows.ok()) {
            std::size_t routers = 0;
            {
                const std::lock_guard lock(m_peersMutex);
                m_peers.updateRows(*rows, steadyNow());
                routers = m_peers.liveRouterCount();
                for (const PeerDirectory::Peer &peer : m_peers.peers()) {
                    // Two routers share one connection, opened by the one whose incarnation sorts first: the link accepts only one
                    // connection per identity.
                    if (m_identity.incarnation < peer.incarnation) {
                        m_link->connect(peer.incarnation, absl::StrCat("tcp://", peer.address));
                    }
                }
            }
            m_budgets.setRouterCount(routers);
        }
        co_await pause(s_peerPollInterval);
    }
}

std::vector<std::string> Router::responsivePeers()
{
    const std::lock_guard lock(m_peersMutex);
    return m_peers.recentPeers(steadyNow());
}

asio::awaitable<void> Router::watchForDeadRouters()
{
    std::size_t nextSuspect = 0;
    while (!m_draining) {
        co_await pause(s_peerPollInterval);
        std::vector<TableRow> suspects;
        {
            const std::lock_guard lock(m_peersMutex);
            suspects = m_peers.suspects(steadyNow());
        }
        const ConfigurationPointer current = configuration();
        if (suspects.empty() || current == nullptr) {
            continue;
        }
        std::vector<std::string> targets;
        for (const Target &target : current->inventory().targets) {
            targets.push_back(target.name);
        }
        const TableRow suspect = suspects[nextSuspect++ % suspects.size()];
        co_await m_reclaimService.reclaim(suspect, std::move(targets));
    }
}

asio::awaitable<void> Router::watchForFencing()
{
    while (!m_budgets.fenced()) {
        co_await pause(s_heartbeatInterval);
    }
    // This router was declared dead while it was paused or disconnected, and its grants have been reclaimed. It exits so that its
    // supervisor starts a new incarnation.
    logLine(Severity::Error, "this router was declared dead; exiting so that a new incarnation can start");
    drain();
}

asio::awaitable<void> Router::sendHeartbeats()
{
    while (true) {
        wire::Envelope envelope;
        envelope.mutable_heartbeat()->set_host(m_settings.host);
        envelope.mutable_heartbeat()->set_leaving(m_draining);
        // Read the oldest start time before the flush number: a flush that begins after the earlier requests have ended includes all of
        // their charges.
        const std::optional<Instant> oldestBegin = m_driver.oldestStartTime();
        const std::uint64_t nextFlush = m_budgets.nextFlush();
        {
            const std::lock_guard lock(m_peersMutex);
            m_handover.updateProgress(oldestBegin, nextFlush, m_budgets.appliedFlush());
            for (const auto &[target, address] : m_targetAddresses) {
                envelope.mutable_heartbeat()->set_settled_before_incarnation(m_handover.settledBefore(target));
                m_link->send(target, envelope);
            }
            envelope.mutable_heartbeat()->clear_settled_before_incarnation();
            for (const PeerDirectory::Peer &peer : m_peers.peers()) {
                m_link->send(peer.incarnation, envelope);
            }
        }
        co_await pause(s_heartbeatInterval);
    }
}

void Router::drain()
{
    if (m_draining.exchange(true)) {
        return;
    }
    m_callerApi.beginDrain();
    m_callerServer->setKeepAliveDisabled(true);
    logLine(Severity::Info, "draining");
    asio::co_spawn(m_pool.mainLoop(), drainLoop(), asio::detached);
}

asio::awaitable<void> Router::closeListener()
{
    m_callerServer->close();
    while (m_callerServer->listening()) {
        co_await pause(s_drainPollInterval);
    }
    // A connection that was accepted just before is started by a handler that is already queued on its loop.
    for (std::size_t index = 0; index < m_pool.size(); ++index) {
        co_await asio::post(m_pool.loop(index).get_executor(), asio::use_awaitable);
    }
}

asio::awaitable<void> Router::drainLoop()
{
    const DrainSequence sequence(steadyNow() + m_settings.drainTimeout);
    DrainProgress progress;
    DrainStep step = DrainStep::Wait;
    while (step != DrainStep::Stop) {
        progress.requests = m_driver.inFlight();
        progress.connections = m_callerServer->connections();
        step = sequence.next(progress, steadyNow());
        if (step == DrainStep::Wait) {
            if (progress.listenerClosed) {
                m_callerServer->closeIdleConnections();
            }
            co_await pause(s_drainPollInterval);
        } else if (step == DrainStep::CloseListener) {
            co_await closeListener();
            progress.listenerClosed = true;
        } else if (step == DrainStep::ReturnBudgets) {
            co_await m_budgets.returnHoldings(s_returnTimeout);
            progress.budgetsReturned = true;
        }
    }
    logLine(Severity::Info, "drained", {{"unfinished", static_cast<std::int64_t>(m_driver.inFlight())}});
    m_pool.stop();
}

void Router::closeLink()
{
    if (m_link) {
        m_link->close();
    }
}

void Router::logStopped() const
{
    logLine(Severity::Info,
            "stopped",
            {{"unanswered", static_cast<std::int64_t>(m_unanswered)},
             {"open_connections", static_cast<std::int64_t>(m_callerServer->connections())}});
}

bool Router::ready() const
{
    return configuration() != nullptr && !m_draining && !m_budgets.fenced();
}

std::string Router::statusJson()
{
    boost::json::object status{{"host", m_settings.host}, {"incarnation", m_identity.incarnation}, {"ready", ready()}};
    const ConfigurationPointer current = configuration();
    status["configuration_version"] = static_cast<std::int64_t>(current == nullptr ? 0 : current->version());
    status["requests_in_flight"] = static_cast<std::int64_t>(m_driver.inFlight());
    boost::json::array budgets;
    for (const BudgetService::HoldingSummary &row : m_budgets.holdingSummaries()) {
        budgets.emplace_back(boost::json::object{{"budget", row.budget},
                                                 {"holding", row.holding},
                                                 {"reserved", row.reserved},
                                                 {"unsettled", row.unsettled},
                                                 {"waiting", static_cast<std::int64_t>(row.waiting)}});
    }
    status["budgets"] = std::move(budgets);
    boost::json::array targets;
    const std::lock_guard lock(m_routingMutex);
    for (const TargetTable::Row &row : m_targets.rows(steadyNow())) {
        targets.emplace_back(boost::json::object{{"target", row.descriptor.name},
                                                 {"usable", row.usable},
                                                 {"running", row.report.running},
                                                 {"slots", row.report.slots},
                                                 {"leaving", row.report.leaving}});
    }
    status["targets"] = std::move(targets);
    return boost::json::serialize(status);
}

std::string Router::metricsText()
{
    for (const BudgetService::HoldingSummary &row : m_budgets.holdingSummaries()) {
        m_metrics.gauge("bamboohold_budget_holding_tokens", {.name = "budget", .value = row.budget}, row.holding);
        m_metrics.gauge("bamboohold_budget_reserved_tokens", {.name = "budget", .value = row.budget}, row.reserved);
    }
    const std::string &host = m_settings.host;
    m_metrics.gauge("bamboohold_requests_in_flight", {.name = "host", .value = host}, static_cast<std::int64_t>(m_driver.inFlight()));
    m_metrics.gauge("bamboohold_flushes", {.name = "host", .value = host}, static_cast<std::int64_t>(m_budgets.flushes()));
    m_metrics.gauge("bamboohold_platform_calls", {.name = "host", .value = host}, static_cast<std::int64_t>(m_platform.calls()));
    m_metrics.gauge("bamboohold_control_bytes", {.name = "host", .value = host}, static_cast<std::int64_t>(m_link->controlBytes()));
    m_metrics.gauge("bamboohold_stray_frames", {.name = "host", .value = host}, static_cast<std::int64_t>(m_driver.strayFrames()));
    m_metrics.gauge("bamboohold_dropped_messages", {.name = "host", .value = host}, static_cast<std::int64_t>(m_link->dropped()));
    return m_metrics.text();
}

asio::awaitable<bool> Router::handleHealth(HttpExchange &exchange)
{
    const std::string_view path = exchange.path();
    if (path == "/healthz") {
        co_await exchange.respond(200, "application/json", "{}");
    } else if (path == "/readyz") {
        const bool isReady = ready();
        const unsigned status = isReady ? 200 : 503;
        std::string body = absl::StrCat("{\"ready\":", isReady ? "true" : "false", "}");
        co_await exchange.respond(status, "application/json", std::move(body));
    } else if (path == "/metrics") {
        co_await exchange.respond(200, "text/plain; version=0.0.4", metricsText());
    } else {
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> Router::handleCaller(HttpExchange &exchange)
{
    const bool answered = co_await handleHealth(exchange);
    if (answered) {
        co_return;
    }
    ++m_unanswered;
    co_await m_callerApi.handle(exchange);
    --m_unanswered;
}

asio::awaitable<void> Router::handleOperations(HttpExchange &exchange)
{
    const bool answered = co_await handleHealth(exchange);
    if (answered) {
        co_return;
    }
    if (exchange.path() == "/status") {
        co_await exchange.respond(200, "application/json", statusJson());
        co_return;
    }
    co_await respondFailure(exchange, FailureKind::NotFound, exchange.path());
}

}
