#pragma once

#include "budget/checkpointwriter.h"
#include "budget/ledgersynchronizer.h"
#include "gateway/availabilityexchange.h"
#include "gateway/gateway.h"
#include "gateway/mechanismoptions.h"
#include "gateway/mechanisms.h"
#include "gateway/peerexchange.h"
#include "gateway/rotationexchange.h"
#include "gateway/shutdownsequence.h"
#include "gateway/targetlist.h"
#include "membership/availabilitynotice.h"
#include "membership/restartround.h"
#include "membership/routerregistry.h"
#include "quarantine/quarantinekeeper.h"
#include "routing/loadserver.h"
#include "routing/stablehash.h"
#include "store/tablewatcher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboohold {

/// A router without sidecars, as one process: its servers, the watchers of the store's tables, the budgets, and a graceful shutdown. The
/// store and the decoders of its rows are supplied by the code that adapts a platform.
template<RowStore Store>
class GatewayDaemon
{
public:
    using Relayed = RelayedStore<Store>;

    struct Address {
        std::string address;
        std::uint16_t port = 0;
    };

    struct Options {
        Address callers;
        Address readiness;
        /// The address at which this router's link accepts peers, and the link addresses of routers that may be running already.
        Address link;
        std::vector<std::string> seeds;
        Strangers::Options strangers;
        /// With port 0, no metrics are served.
        Address metrics;
        std::string metricsPath = "/metrics";
        std::string readinessPath = "/";
        std::string incarnation;
        /// True if all routers start together for the first time.
        bool firstStart = false;
        /// The process is killed this long after it was asked to stop.
        Duration gracePeriod = std::chrono::seconds(8);
        Gateway::Options gateway;
        HoldingPolicy holdings;
        /// The table and key of the configuration, and the table of targets.
        std::string planTable;
        std::string planKey;
        std::string targetTable;
        std::function<absl::StatusOr<RoutingPlan::Content>(const StoredRow &)> decodePlan;
        std::function<absl::StatusOr<TargetListing>(const StoredRow &)> decodeTarget;
        /// Decodes an evacuation of a failure domain from a row of the configuration's table; see EvacuationFollower.
        std::function<absl::StatusOr<std::optional<std::string>>(const StoredRow &)> decodeEvacuation = [](const StoredRow &) {
            return std::optional<std::string>();
        };
        /// Opens the store through a relay beside a target; empty if there are no relays.
        typename Relayed::OpenRelayStore openRelayStore;
        Mechanisms mechanisms;
    };

    GatewayDaemon(WorkerPool &pool, Store &store, Options options)
        : m_pool(pool)
        , m_executor(pool.mainLoop().get_executor())
        , m_options(withMechanismsApplied(std::move(options)))
        , m_link(m_executor,
                 {.self = addressText(m_options.link),
                  .seeds = m_options.seeds,
                  .failureDomain = m_options.gateway.board.failureDomain,
                  .strangers = m_options.strangers})
        , m_relaySelector({.self = addressText(m_options.link), .failureDomain = m_options.gateway.board.failureDomain})
        , m_store(store, m_link, relayedOptions())
        , m_registry(m_store, registryOptions())
        , m_ledger(m_executor,
                   {.holder = holder(),
                    .incarnation = m_options.incarnation,
                    .policy = m_options.holdings,
                    .linkAddress = addressText(m_options.link)})
        , m_checkpoints(m_store, m_ledger)
        , m_keeper(m_executor, m_store, m_ledger, {.routers = countedRouters()})
        , m_gateway(m_executor, gatewayOptions(), m_ledger, m_metrics)
        // The UDP socket for loads and the TCP socket of the link can use the same port number.
        , m_loadServer(m_executor, {asio::ip::make_address(m_options.link.address), m_options.link.port})
        , m_loads(m_executor, {.incarnation = m_options.incarnation, .address = m_options.link.address})
        , m_evacuations(m_gateway.board(), m_metrics, evacuationOptions())
        , m_help(m_link, m_store, m_ledger, m_gateway, m_evacuations, planDocumentHandler())
        , m_rotation(m_link, m_gateway.rotation(), m_options.gateway.board.failureDomain)
        , m_availability({.self = addressText(m_options.link), .failureDomain = m_options.gateway.board.failureDomain})
        , m_availabilityExchange(m_availability, availabilityOptions())
        , m_quarantine(m_store, m_gateway.guard())
        , m_plans(m_store, planWatcherOptions())
        , m_targets(m_executor, m_store, m_gateway.board(), m_relaySelector, m_metrics, targetListOptions())
        , m_callers(pool, callerOptions(), callerHandler())
        , m_readiness(pool, ownSocketOptions(m_options.readiness, ClientSocket::Readiness), readinessHandler())
        , m_metricsServer(pool, ownSocketOptions(m_options.metrics, ClientSocket::Operations), metricsHandler())
    {
        if (m_options.openRelayStore && m_options.mechanisms.relays) {
            m_store.setRelays(m_relaySelector, m_options.openRelayStore);
        }
        if (m_options.mechanisms.sharedLoads) {
            m_gateway.chooser().setLoadClient(m_loads);
            m_gateway.streamOrigins().setLoadClient(m_loads);
            m_targets.setLoadLink(m_loadServer, m_loads);
        }
        m_loads.setQueryObserver([this](const LoadClient::QueryOutcome &outcome) {
            if (outcome.roundTrip) {
                m_gateway.board().continuity().recordAnswer(steadyNow());
            }
            return !m_options.mechanisms.hostLoad || m_gateway.recordRelayQuery(outcome);
        });
    }

    /// Opens the servers and starts to follow the store. Fails if one of the ports cannot be opened.
    absl::Status open()
    {
        // The ports of callers and of readiness are opened exclusively: success proves that no earlier process runs at this address any
        // more, which the recovery of its budgets relies on. An overloaded process closes its callers' port at times, but not the other.
        for (HttpServer *server : {&m_callers, &m_readiness, &m_metricsServer}) {
            if (server == &m_metricsServer && m_options.metrics.port == 0) {
                continue;
            }
            const absl::Status opened = server->open();
            if (!opened.ok()) {
                return opened;
            }
        }
        m_ledger.start();
        if (const absl::Status opened = m_link.open(); !opened.ok()) {
            return opened;
        }
        if (const absl::Status opened = m_loadServer.open(); !opened.ok()) {
            return opened;
        }
        if (const absl::Status opened = m_loads.open(); !opened.ok()) {
            return opened;
        }
        asio::co_spawn(m_executor, m_checkpoints.run(), asio::detached);
        asio::co_spawn(m_executor, m_registry.run(m_options.firstStart), asio::detached);
        asio::co_spawn(m_executor, m_plans.run(), asio::detached);
        if (!m_options.firstStart) {
            asio::co_spawn(m_executor, m_help.fetchInitialPlan(), asio::detached);
        }
        m_targets.start();
        if (m_options.mechanisms.quarantine) {
            asio::co_spawn(m_executor, m_quarantine.run(), asio::detached);
            if (!m_options.firstStart) {
                asio::co_spawn(m_executor, m_help.fetchKnownCrashes(), asio::detached);
            }
        }
        asio::co_spawn(m_executor, runMaintenance(), asio::detached);
        asio::co_spawn(m_executor, measureDelay(), asio::detached);
        logUnlimitedMeasures();
        logLine(Severity::Info, "router.started", {{"incarnation", m_options.incarnation}, {"callers", holder()}});
        return absl::OkStatus();
    }

    /// Shuts down gracefully: asks the load balancer to stop sending callers, serves requests until it has done so, finishes requests in
    /// progress, and returns the tokens that this router holds.
    void drain()
    {
        if (!m_draining) {
            m_draining = true;
            asio::co_spawn(m_executor, drainAndStop(), asio::detached);
        }
    }

    /// Ends the exchange of messages with peers. Called once the event loop has ended, and before its pending work is discarded.
    void closeLink()
    {
        m_link.close();
    }

    /// Counts a call to the store by table and kind. Calls whose number grows with routers times teams show up here first.
    void countStoreCall(const StoreCall &call)
    {
        const std::array<MetricLabel, 2> labels{
            {{.name = "table", .value = call.table}, {.name = "call", .value = storeCallName(call.kind)}}};
        m_metrics.count("store_calls_total", labels);
        m_metrics.count("store_sent_bytes_total", labels, static_cast<std::int64_t>(call.sentBytes));
        m_metrics.count("store_received_bytes_total", labels, static_cast<std::int64_t>(call.receivedBytes));
    }

private:
    /// The interval at which removed targets and stale connections are looked for, and the number of such rounds after which the loads are
    /// announced again.
    static constexpr Duration s_maintenanceInterval = std::chrono::milliseconds(250);
    static constexpr unsigned s_roundsPerLoadRenewal = 4;
    static constexpr std::uint64_t s_maxOwnBodyBytes = 4096;
    static constexpr Duration s_shutdownPollInterval = std::chrono::milliseconds(10);
    static constexpr Duration s_mayLeaveInterval = std::chrono::milliseconds(50);
    /// While it stops, a router tells the others of its failure domain this often.
    static constexpr Duration s_availabilityInterval = std::chrono::seconds(1);
    /// The number of notices of a router that starts, one a second.
    static constexpr unsigned s_startNotices = 3;

    /// Logs the measures of the host's load that have no effect, since the settings do not state a limit.
    void logUnlimitedMeasures() const
    {
        const HostLoad limits(m_options.gateway.hostLoad);
        if (!m_options.mechanisms.hostLoad) {
            return;
        }
        if (!limits.linkLimited()) {
            logLine(Severity::Info, "host.link_unlimited");
        }
        if (!limits.memoryLimited()) {
            logLine(Severity::Info, "host.memory_unlimited");
        }
    }

    /// Returns the options with the disabled mechanisms switched off.
    static Options withMechanismsApplied(Options options)
    {
        const std::string self = addressText(options.link);
        applyMechanisms(options.mechanisms, self, options.gateway, options.holdings);
        return options;
    }

    static std::string addressText(const Address &address)
    {
        return absl::StrCat(address.address, ":", address.port);
    }

    typename Relayed::Options relayedOptions()
    {
        typename Relayed::Options options;
        options.onDirectFailure = [this](Instant sentAt) {
            m_gateway.board().continuity().recordStoreFailure(sentAt);
        };
        if (!m_options.mechanisms.carriedCalls) {
            options.maxPeersTried = 0;
        }
        return options;
    }

    std::string holder() const
    {
        return addressText(m_options.callers);
    }

    typename RouterRegistry<Relayed>::Options registryOptions()
    {
        return {.router = addressText(m_options.link),
                .onCounted =
                    [this](const std::vector<std::string> &routers) {
                        m_link.setPeers(routers);
                        m_ledger.setRouters(routers);
                        m_rotation.setRouters(routers);
                        m_availability.setRouters(routers, steadyNow());
                        m_gateway.chooser().setRouters(routers);
                        m_gateway.streamOrigins().setRouters(routers);
                    },
                .limitSpan = m_options.gateway.retryBudget.span()};
    }

    std::function<std::size_t()> countedRouters() const
    {
        return [this] {
            return m_registry.hasCounted() ? m_registry.routers() : 0;
        };
    }

    Gateway::Options gatewayOptions() const
    {
        Gateway::Options options = m_options.gateway;
        options.fleetPosition = [this](std::string_view service, Instant now) {
            return m_registry.position(service, now);
        };
        options.chooser.self = addressText(m_options.link);
        options.rotation.self = addressText(m_options.link);
        options.rotation.capacity = options.hostLoad.cores > 0 ? options.hostLoad.cores : 1;
        return options;
    }

    HttpServer::Options callerOptions()
    {
        HttpServer::Options options{.address = m_options.callers.address, .port = m_options.callers.port, .exclusive = true};
        options.traffic = m_gateway.traffic();
        options.counts = m_gateway.callerCounts();
        options.resources = m_gateway.clientResources();
        options.handlerReadsBodies = true;
        options.limits = [this] {
            const CallerLimits limits = m_gateway.plan() ? m_gateway.plan()->limits() : CallerLimits{};
            return HttpLimits{.maxHeaderBytes = limits.maxHeaderBytes,
                              .maxBodyBytes = limits.maxBodyBytes,
                              .headerTimeout = limits.headerTimeout,
                              .idleTimeout = limits.idleTimeout};
        };
        return options;
    }

    /// No request at these sockets has a body.
    HttpServer::Options ownSocketOptions(const Address &address, ClientSocket socket) const
    {
        HttpServer::Options options{.address = address.address, .port = address.port, .exclusive = socket == ClientSocket::Readiness};
        options.resources = m_gateway.clientResources();
        options.socket = socket;
        options.limits = [] {
            return HttpLimits{.maxBodyBytes = s_maxOwnBodyBytes};
        };
        return options;
    }

    HttpHandler callerHandler()
    {
        return [this](HttpExchange &exchange) {
            return m_gateway.handle(exchange);
        };
    }

    HttpHandler readinessHandler()
    {
        return [this](HttpExchange &exchange) -> asio::awaitable<void> {
            const bool pathMatches = exchange.path() == m_options.readinessPath;
            const unsigned status = pathMatches ? (ready() ? 200 : 503) : 404;
            std::string body = pathMatches ? readinessText() : std::string();
            co_await exchange.respond(status, "text/plain", std::move(body));
        };
    }

    /// The reasons why this router is not ready, one per line; empty if it is.
    std::string readinessText() const
    {
        std::string text;
        const auto note = [&text](bool missing, std::string_view what) {
            text.append(missing ? what : std::string_view());
        };
        note(m_gateway.plan() == nullptr, "no configuration known\n");
        note(!m_targets.known(), "targets not known\n");
        note(!m_evacuations.inForce(), "not known whether failure domains are evacuated\n");
        note(m_draining, "draining\n");
        note(m_gateway.overloaded(), "overloaded\n");
        return text;
    }

    HttpHandler metricsHandler()
    {
        return [this](HttpExchange &exchange) -> asio::awaitable<void> {
            const bool pathMatches = exchange.path() == m_options.metricsPath;
            std::string body = pathMatches ? m_metrics.text() : std::string();
            co_await exchange.respond(pathMatches ? 200 : 404, "text/plain; version=0.0.4", std::move(body));
        };
    }

    bool ready() const
    {
        return readinessText().empty();
    }

    typename TableWatcher<Relayed>::Options planWatcherOptions()
    {
        return {.table = m_options.planTable,
                .onSnapshot =
                    [this](const std::vector<StoredRow> &rows) {
                        m_evacuations.applyTable(rows);
                        for (const StoredRow &row : rows) {
                            applyPlanRow(row);
                        }
                    },
                .onChange =
                    [this](const StoredRow &row) {
                        m_evacuations.applyChange(row);
                        applyPlanRow(row);
                    },
                .onReachable = [](bool) {},
                .onVersion =
                    [this](std::uint64_t version) {
                        m_evacuations.commitStoreVersion(version, steadyNow());
                    },
                .onGeneration =
                    [this](StorePosition first) {
                        m_evacuations.beginGeneration(first.generation);
                    }};
    }

    EvacuationFollower::Options evacuationOptions()
    {
        return {.decodeDomain = m_options.decodeEvacuation,
                .announce =
                    [this](const Evacuations::State &state) {
                        m_link.announceEvacuations(toWire(state));
                    },
                .host = m_options.callers.address};
    }

    void applyPlanRow(const StoredRow &row)
    {
        if (row.address.key == m_options.planKey && row.version != 0) {
            applyPlanDocument(row);
        }
    }

    std::function<void(const std::string &)> planDocumentHandler()
    {
        return [this](const std::string &document) {
            const StoredRow row{.value = document};
            applyPlanDocument(row);
        };
    }

    void applyPlanDocument(const StoredRow &row)
    {
        absl::StatusOr<RoutingPlan::Content> content = m_options.decodePlan(row);
        if (!content.ok()) {
            // The store accepts only valid documents. However this one became unreadable, the plan in force stays.
            logLine(Severity::Error, "plan.unreadable", {{"detail", toFailure(content.status()).detail}});
            m_metrics.count("plans_unreadable_total", {.name = "host", .value = m_options.callers.address});
            return;
        }
        const auto version = static_cast<std::int64_t>(content->version);
        const bool newer = m_gateway.setPlan(std::make_shared<const RoutingPlan>(*std::move(content)));
        logLine(Severity::Info,
                newer ? "plan.in_force" : "plan.ignored_as_older",
                {{"version", version}, {"bytes", static_cast<std::int64_t>(row.value.size())}});
        if (newer) {
            m_metrics.gauge("plan_version", {.name = "host", .value = m_options.callers.address}, version);
            m_help.publishPlan(row.value);
        }
    }

    typename TargetList<Relayed>::Options targetListOptions()
    {
        return {.table = m_options.targetTable,
                .follower = {.decodeListing = m_options.decodeTarget, .host = m_options.callers.address},
                .incarnation = m_options.incarnation,
                .firstStart = m_options.firstStart,
                .peers =
                    [this] {
                        return m_link.peers();
                    },
                .onListRead =
                    [this] {
                        m_gateway.notifyTargetsKnown();
                    }};
    }

    AvailabilityExchange::Options availabilityOptions()
    {
        m_link.setAvailabilityHandlers(
            [this](const std::string &peer, const wire::AvailabilityNotice &notice) {
                m_availabilityExchange.handleNotice(peer, fromWire(notice), steadyNow());
            },
            [this](const std::string &peer, const std::string &failureDomain) {
                m_availability.recordDomain(peer, failureDomain);
            });
        return {.incarnation = stableHash(m_options.incarnation),
                .ownState =
                    [this](Instant now) {
                        return availabilityState(now);
                    },
                .peers =
                    [this] {
                        return m_link.peers();
                    },
                .send =
                    [this](const std::string &peer, const RouterState &state) {
                        m_link.announceAvailability(peer, toWire(state));
                    }};
    }

    /// Whether this router accepts callers, as the others are told.
    RouterState availabilityState(Instant now) const
    {
        if (!m_round) {
            RouterState state;
            state.phase = m_acceptingSince ? RouterPhase::Accepting : RouterPhase::Unknown;
            state.sinceChange = m_acceptingSince ? now - *m_acceptingSince : Duration::zero();
            return state;
        }
        RouterState state;
        state.phase = m_callers.listening() ? RouterPhase::Stopping : RouterPhase::Closed;
        state.sinceChange = now - m_round->startedAt();
        state.untilAccepting = m_round->untilReturn(restartWork(), now);
        state.hasEarlierStreams = m_gateway.streamsBeforeDrain() > 0;
        return state;
    }

    RestartRound::Work restartWork() const
    {
        return {.listening = m_callers.listening(),
                .earlierStreams = m_gateway.streamsBeforeDrain() > 0,
                .connections = m_callers.connections() > 0};
    }

    /// Tells the other routers when this one is ready for the first time, and again after that, since connections to them are being made.
    /// Routers that start together for the first time have nobody to tell.
    void announceStart(Instant now)
    {
        if (!m_acceptingSince && ready()) {
            m_acceptingSince = now;
            m_startNoticesLeft = m_options.firstStart ? 0 : s_startNotices;
        }
        if (m_startNoticesLeft > 0 && !m_draining) {
            --m_startNoticesLeft;
            m_availabilityExchange.announce(now);
        }
    }

    /// The routers that accept callers as far as this one knows: those of which nothing else was heard.
    void exportAvailability(Instant now)
    {
        const std::size_t others = m_link.peers().size();
        const std::size_t out =
            std::min(others, m_availability.count(RouterPhase::Stopping, now) + m_availability.count(RouterPhase::Closed, now));
        const std::size_t self = m_acceptingSince && !m_draining ? 1 : 0;
        m_metrics.gauge(
            "routers_accepting", {.name = "host", .value = m_options.callers.address}, static_cast<std::int64_t>(others - out + self));
    }

    std::int64_t acceptingRouters(Instant now) const
    {
        return static_cast<std::int64_t>(m_availability.count(RouterPhase::Accepting, now));
    }

    /// Tells the routers of the failure domain again that this one stops, once a second and when its earlier streams have ended.
    void repeatAvailability(Instant now)
    {
        const bool streams = m_gateway.streamsBeforeDrain() > 0;
        if (streams != m_toldEarlierStreams || now - m_availabilityToldAt >= s_availabilityInterval) {
            m_toldEarlierStreams = streams;
            m_availabilityToldAt = now;
            m_availabilityExchange.repeat(now);
        }
    }

    /// Whether the router may close its listener. Looked at in longer intervals than the rest of a shutdown.
    bool mayLeave(Instant now)
    {
        if (now - m_mayLeaveCheckedAt >= s_mayLeaveInterval) {
            m_mayLeaveCheckedAt = now;
            m_mayLeave = m_round && m_round->mayLeave(now);
        }
        return m_mayLeave;
    }

    asio::awaitable<void> runMaintenance()
    {
        for (unsigned round = 0;; ++round) {
            co_await pause(s_maintenanceInterval);
            m_targets.removeExpired();
            m_evacuations.settle(steadyNow());
            m_gateway.dropStaleTargets();
            m_gateway.chooser().refreshSpeeds();
            if (m_startNoticesLeft == 0 || round % s_roundsPerLoadRenewal == 0) {
                announceStart(steadyNow());
            }
            exportAvailability(steadyNow());
            if (round % s_roundsPerLoadRenewal == 0) {
                m_gateway.chooser().refreshLoads();
                m_gateway.chooser().exportSpeeds();
                m_gateway.streamOrigins().refreshKeepers();
                m_gateway.guard().expire();
            }
        }
    }

    /// Reports to the gateway how late timers fire, which is how long any ready task waits for its turn, and how long datagrams take. An
    /// overloaded host fails the load balancer's checks. Once the balancer sends new connections to other hosts, open connections are
    /// closed after their next response, because callers would otherwise keep using them.
    asio::awaitable<void> measureDelay()
    {
        Instant overloadedSince{};
        while (true) {
            const Instant expectedWakeup = steadyNow() + LoadShedder::s_measurementInterval;
            co_await pause(LoadShedder::s_measurementInterval);
            const Instant now = steadyNow();
            const Duration roundTrip = m_loads.takeShortestRoundTrip().value_or(Duration::zero());
            const bool outBefore = m_gateway.overloaded();
            if (m_gateway.recordHostDelay(std::max({Duration::zero(), now - expectedWakeup, roundTrip}))) {
                m_rotation.notifyRouters(m_gateway.overloaded() != outBefore, now);
            }
            m_metrics.gauge("host_out_of_rotation", {.name = "host", .value = m_options.callers.address}, m_gateway.overloaded() ? 1 : 0);
            overloadedSince = m_gateway.overloaded() ? overloadedSince : now;
            const std::optional<std::size_t> limit = m_gateway.connectionLimit();
            m_callers.limitConnections(m_draining ? std::nullopt : limit);
            m_callers.setKeepAliveDisabled(m_draining || limit.has_value()
                                           || now - overloadedSince > ShutdownSequence::Options{}.rotationTime);
        }
    }

    asio::awaitable<void> drainAndStop()
    {
        using Step = ShutdownSequence::Step;
        const Instant startedAt = steadyNow();
        ShutdownSequence sequence({.startedAt = startedAt, .gracePeriod = m_options.gracePeriod});
        m_round.emplace(
            m_availability,
            RestartRound::Options{.self = addressText(m_options.link), .startedAt = startedAt, .workDeadline = sequence.workDeadline()});
        m_gateway.beginDrain(startedAt, sequence.workDeadline(), [this](Instant now) {
            return DrainRetry{.after = m_round->retryTime(m_round->untilReturn(restartWork(), now), now),
                              .acceptingRouters = m_availability.count(RouterPhase::Accepting, now)};
        });
        logLine(Severity::Info,
                "router.draining",
                {{"in_flight", static_cast<std::int64_t>(m_gateway.inFlight())},
                 {"streams", static_cast<std::int64_t>(m_gateway.streamsBeforeDrain())},
                 {"other_routers_stopping", static_cast<std::int64_t>(m_availability.count(RouterPhase::Stopping, startedAt))}});
        m_toldEarlierStreams = m_gateway.streamsBeforeDrain() > 0;
        m_availabilityToldAt = startedAt;
        m_availabilityExchange.announce(startedAt);
        m_callers.setKeepAliveDisabled(true);
        while (sequence.update(shutdownLoad(), steadyNow()) == Step::Serve) {
            co_await pause(s_shutdownPollInterval);
            repeatAvailability(steadyNow());
        }
        m_callers.close();
        const Instant closedAt = steadyNow();
        m_availabilityExchange.announce(closedAt);
        logLine(Severity::Info,
                "router.closed",
                {{"after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(closedAt - startedAt).count()},
                 {"connections", static_cast<std::int64_t>(m_callers.connections())},
                 {"accepting", acceptingRouters(closedAt)}});
        while (sequence.update(shutdownLoad(), steadyNow()) == Step::EndConnections) {
            m_callers.closeIdleConnections();
            co_await pause(s_shutdownPollInterval);
        }
        m_availabilityExchange.announce(steadyNow());
        m_ledger.beginClose();
        asio::co_spawn(m_executor, deregister(), asio::detached);
        while (sequence.update(shutdownLoad(), steadyNow()) != Step::Stop) {
            m_callers.closeIdleConnections();
            co_await pause(s_shutdownPollInterval);
        }
        logLine(Severity::Info,
                "router.stopped",
                {{"in_flight", static_cast<std::int64_t>(m_gateway.inFlight())},
                 {"connections", static_cast<std::int64_t>(m_callers.connections())},
                 {"budgets_returned", static_cast<std::int64_t>(m_ledger.closed())},
                 {"accepting", acceptingRouters(steadyNow())}});
        m_pool.stop();
    }

    ShutdownSequence::Load shutdownLoad()
    {
        return {.streams = m_gateway.streamsBeforeDrain(),
                .mayLeave = mayLeave(steadyNow()),
                .connections = m_callers.connections(),
                .listening = m_callers.listening(),
                .budgetsReturned = m_deregistered && m_ledger.closed()};
    }

    /// Takes this router off the list of live routers. A store that does not answer must not delay the stop.
    asio::awaitable<void> deregister()
    {
        co_await m_registry.deregister();
        m_deregistered = true;
    }

    WorkerPool &m_pool;
    asio::any_io_executor m_executor;
    Options m_options;
    Metrics m_metrics;
    PeerLink m_link;
    RelaySelector m_relaySelector;
    Relayed m_store;
    RouterRegistry<Relayed> m_registry;
    TeamLedger m_ledger;
    CheckpointWriter<Relayed> m_checkpoints;
    LedgerSynchronizer<Relayed> m_keeper;
    Gateway m_gateway;
    LoadServer m_loadServer;
    LoadClient m_loads;
    EvacuationFollower m_evacuations;
    PeerExchange<Store> m_help;
    RotationExchange m_rotation;
    RouterAvailability m_availability;
    AvailabilityExchange m_availabilityExchange;
    /// From the time at which this router is asked to stop.
    std::optional<RestartRound> m_round;
    /// When this router was ready for the first time.
    std::optional<Instant> m_acceptingSince;
    unsigned m_startNoticesLeft = 0;
    Instant m_availabilityToldAt{};
    bool m_toldEarlierStreams = false;
    Instant m_mayLeaveCheckedAt{};
    bool m_mayLeave = false;
    QuarantineKeeper<Relayed> m_quarantine;
    TableWatcher<Relayed> m_plans;
    TargetList<Relayed> m_targets;
    HttpServer m_callers;
    HttpServer m_readiness;
    HttpServer m_metricsServer;
    bool m_draining = false;
    bool m_deregistered = false;
};

}
