#pragma once

#include "budget/checkpointkeeper.h"
#include "budget/ledgerkeeper.h"
#include "gateway/gateway.h"
#include "gateway/mechanisms.h"
#include "gateway/peerexchange.h"
#include "gateway/targetfollower.h"
#include "membership/routerregistry.h"
#include "quarantine/quarantinekeeper.h"
#include "routing/loadserver.h"
#include "store/tablewatcher.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace bamboohold {

/// A router without sidecars, as one process: listeners, followers of the store, budgets, and its orderly end. Takes the store and the
/// decoders of its rows from whoever adapts a platform.
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
        /// Where this router's link listens for peers, and the links of some that may live already.
        Address link;
        std::vector<std::string> seeds;
        /// Port 0: no metrics are served.
        Address metrics;
        std::string metricsPath = "/metrics";
        std::string readinessPath = "/";
        std::string incarnation;
        /// True when all routers start together for the first time.
        bool together = false;
        /// The process is killed this long after it was asked to end.
        Duration grace = std::chrono::seconds(8);
        Gateway::Options gateway;
        HoldingPolicy holdings;
        /// The table and key of the configuration, and the table of targets.
        std::string planTable;
        std::string planKey;
        std::string targetTable;
        std::function<absl::StatusOr<RoutingPlan::Content>(const StoredRow &)> planFrom;
        std::function<absl::StatusOr<TargetListing>(const StoredRow &)> listingFrom;
        /// Orders to evacuate failure domains stand in the configuration's table; see EvacuationFollower.
        std::function<absl::StatusOr<std::optional<std::string>>(const StoredRow &)> evacuationFrom = [](const StoredRow &) {
            return std::optional<std::string>();
        };
        /// Opens the store by way of a relay beside a target; empty where no relays run.
        typename Relayed::OpenDetour openDetour;
        Mechanisms mechanisms;
    };

    GatewayDaemon(WorkerPool &pool, Store &store, Options options)
        : m_pool(pool)
        , m_executor(pool.mainLoop().get_executor())
        , m_options(applied(std::move(options)))
        , m_link(m_executor, {.self = text(m_options.link), .seeds = m_options.seeds})
        , m_detours({.self = text(m_options.link), .failureDomain = m_options.gateway.board.failureDomain})
        , m_store(store, m_link, relayedOptions())
        , m_registry(m_store, registryOptions())
        , m_ledger(m_executor,
                   {.holder = holder(), .incarnation = m_options.incarnation, .policy = m_options.holdings, .link = text(m_options.link)})
        , m_checkpoints(m_store, m_ledger)
        , m_keeper(m_executor, m_store, m_ledger, {.routers = countedRouters()})
        , m_gateway(m_executor, gatewayOptions(), m_ledger, m_metrics)
        // Datagrams and the link's connections share a port's number without touching each other.
        , m_loadServer(m_executor, {asio::ip::make_address(m_options.link.address), m_options.link.port})
        , m_loads(m_executor, {.incarnation = m_options.incarnation, .address = m_options.link.address})
        , m_evacuations(m_gateway.board(), m_metrics, evacuationOptions())
        , m_help(m_link, m_store, m_ledger, m_gateway, m_evacuations, documentTaker())
        , m_quarantine(m_store, m_gateway.guard())
        , m_targetFollower(
              m_gateway.board(), m_detours, m_metrics, {.decodeListing = m_options.listingFrom, .host = m_options.callers.address})
        , m_plans(m_store, planWatch())
        , m_targets(m_store, targetWatch())
        , m_callers(pool, callerOptions(), callerHandler())
        , m_readiness(pool, {.address = m_options.readiness.address, .port = m_options.readiness.port}, readinessHandler())
        , m_metricsServer(pool, {.address = m_options.metrics.address, .port = m_options.metrics.port}, metricsHandler())
    {
        if (m_options.openDetour && m_options.mechanisms.relays) {
            m_store.setDetours(m_detours, m_options.openDetour);
        }
        if (m_options.mechanisms.sharedLoads) {
            m_gateway.chooser().setLoadClient(m_loads);
        }
    }

    /// Listens and begins to follow the store.
    absl::Status open()
    {
        // The callers' port comes first: holding it alone is the proof that an earlier process at this address is gone, on which the
        // recovery of its budgets rests.
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
        asio::co_spawn(m_executor, m_registry.run(m_options.together), asio::detached);
        asio::co_spawn(m_executor, m_plans.run(), asio::detached);
        if (!m_options.together) {
            asio::co_spawn(m_executor, m_help.fetchInitialPlan(), asio::detached);
        }
        asio::co_spawn(m_executor, m_targets.run(), asio::detached);
        if (m_options.mechanisms.quarantine) {
            asio::co_spawn(m_executor, m_quarantine.run(), asio::detached);
            if (!m_options.together) {
                asio::co_spawn(m_executor, m_help.fetchKnownCrashes(), asio::detached);
            }
        }
        asio::co_spawn(m_executor, expireTargets(), asio::detached);
        asio::co_spawn(m_executor, measureDelay(), asio::detached);
        logLine(Severity::Info, "router.started", {{"incarnation", m_options.incarnation}, {"callers", holder()}});
        return absl::OkStatus();
    }

    /// Ends in good order: leaves the balancer's rotation, serves what comes until then, finishes what runs, gives back what it holds.
    void drain()
    {
        if (!m_draining) {
            m_draining = true;
            asio::co_spawn(m_executor, drainAndStop(), asio::detached);
        }
    }

    /// Counts a call to the store by what it was for: calls that grow with routers times teams are seen here first.
    void noteStoreCall(const StoreCall &call)
    {
        const std::array<MetricLabel, 2> labels{
            {{.name = "table", .value = call.table}, {.name = "call", .value = storeCallName(call.kind)}}};
        m_metrics.count("store_calls_total", labels);
        m_metrics.count("store_sent_bytes_total", labels, static_cast<std::int64_t>(call.sentBytes));
        m_metrics.count("store_received_bytes_total", labels, static_cast<std::int64_t>(call.receivedBytes));
    }

private:
    /// A balancer that asks once a second takes a host out after two misses; until then connections still arrive and are served.
    static constexpr Duration s_rotationTime = std::chrono::milliseconds(2600);
    /// Kept from the grace time for giving budgets back and ending.
    static constexpr Duration s_closeTime = std::chrono::milliseconds(600);
    /// Targets and connections that are gone are looked for this often, and loads told again every so many times.
    static constexpr Duration s_expiryPause = std::chrono::milliseconds(250);
    static constexpr unsigned s_roundsPerRenewal = 4;
    static constexpr Duration s_poll = std::chrono::milliseconds(50);
    static constexpr Duration s_shortPoll = std::chrono::milliseconds(10);

    /// The options without what the mechanisms leave out.
    static Options applied(Options options)
    {
        const Mechanisms &on = options.mechanisms;
        options.holdings.fewKeepers = on.keepers;
        options.holdings.loans = on.loans;
        options.gateway.board.prefixAffinity = on.favourites;
        options.gateway.board.outlierEjection = on.ejection;
        if (!on.ampleBudgets) {
            options.holdings.ampleSpan = s_never;
        }
        if (!on.startPatience) {
            options.gateway.startPatience = Duration::zero();
        }
        options.gateway.sheds = on.shedding;
        options.gateway.quarantines = on.quarantine;
        options.gateway.chooser.centralAdmission = on.admissions;
        if (!on.silence) {
            options.gateway.board.firstByteAllowance = s_never;
        }
        return options;
    }

    /// Longer than any process lives.
    static constexpr Duration s_never = std::chrono::hours(24 * 365);

    static std::string text(const Address &address)
    {
        return absl::StrCat(address.address, ":", address.port);
    }

    typename Relayed::Options relayedOptions() const
    {
        typename Relayed::Options options;
        if (!m_options.mechanisms.carriedCalls) {
            options.relaysTried = 0;
        }
        return options;
    }

    std::string holder() const
    {
        return text(m_options.callers);
    }

    typename RouterRegistry<Relayed>::Options registryOptions()
    {
        return {.router = text(m_options.link), .onCounted = [this](const std::vector<std::string> &routers) {
                    m_link.setPeers(routers);
                    m_ledger.setRouters(routers);
                    m_gateway.chooser().setRouters(routers);
                }};
    }

    std::function<std::size_t()> routerCount() const
    {
        return [this] {
            return m_registry.routers();
        };
    }

    std::function<std::size_t()> countedRouters() const
    {
        return [this] {
            return m_registry.counted() ? m_registry.routers() : 0;
        };
    }

    Gateway::Options gatewayOptions() const
    {
        Gateway::Options options = m_options.gateway;
        options.routers = routerCount();
        options.chooser.self = text(m_options.link);
        return options;
    }

    HttpServer::Options callerOptions()
    {
        HttpServer::Options options{.address = m_options.callers.address, .port = m_options.callers.port, .exclusive = true};
        options.limits = [this] {
            const CallerLimits limits = m_gateway.plan() ? m_gateway.plan()->limits() : CallerLimits{};
            return HttpLimits{.maxHeaderBytes = limits.maxHeaderBytes,
                              .maxBodyBytes = limits.maxBodyBytes,
                              .headerTimeout = limits.headerTimeout,
                              .idleTimeout = limits.idleTimeout};
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
            const bool known = exchange.path() == m_options.readinessPath;
            const unsigned status = known ? (ready() ? 200 : 503) : 404;
            std::string body = known ? readinessText() : std::string();
            co_await exchange.respond(status, "text/plain", std::move(body));
        };
    }

    /// What keeps this router from being ready, a line each.
    std::string readinessText() const
    {
        std::string text;
        const auto note = [&text](bool missing, std::string_view what) {
            text.append(missing ? what : std::string_view());
        };
        note(m_gateway.plan() == nullptr, "no configuration known\n");
        note(!m_targetsKnown, "targets not known\n");
        note(!m_evacuations.inForce(), "not known whether failure domains are evacuated\n");
        note(m_draining, "draining\n");
        note(m_gateway.overloaded(), "overloaded\n");
        return text;
    }

    HttpHandler metricsHandler()
    {
        return [this](HttpExchange &exchange) -> asio::awaitable<void> {
            const bool known = exchange.path() == m_options.metricsPath;
            std::string body = known ? m_metrics.text() : std::string();
            co_await exchange.respond(known ? 200 : 404, "text/plain; version=0.0.4", std::move(body));
        };
    }

    bool ready() const
    {
        return readinessText().empty();
    }

    typename TableWatcher<Relayed>::Options planWatch()
    {
        return {.table = m_options.planTable,
                .onAll =
                    [this](const std::vector<StoredRow> &rows) {
                        m_evacuations.applyTable(rows);
                        for (const StoredRow &row : rows) {
                            takePlan(row);
                        }
                    },
                .onChange =
                    [this](const StoredRow &row) {
                        m_evacuations.applyChange(row);
                        takePlan(row);
                    },
                .onReachable = [](bool) {},
                .onVersion =
                    [this](std::uint64_t version) {
                        m_evacuations.commitStoreVersion(version, steadyNow());
                    }};
    }

    EvacuationFollower::Options evacuationOptions()
    {
        return {.decodeDomain = m_options.evacuationFrom,
                .announce =
                    [this](const Evacuations::State &state) {
                        m_link.announceEvacuations(toWire(state));
                    },
                .host = m_options.callers.address};
    }

    void takePlan(const StoredRow &row)
    {
        if (row.address.key == m_options.planKey && row.version != 0) {
            takeDocument(row);
        }
    }

    std::function<void(const std::string &)> documentTaker()
    {
        return [this](const std::string &document) {
            const StoredRow row{.value = document};
            takeDocument(row);
        };
    }

    void takeDocument(const StoredRow &row)
    {
        absl::StatusOr<RoutingPlan::Content> content = m_options.planFrom(row);
        if (!content.ok()) {
            // The store takes valid documents only; whatever spoilt this one, the version in force stays.
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

    typename TableWatcher<Relayed>::Options targetWatch()
    {
        return {.table = m_options.targetTable,
                .onAll =
                    [this](const std::vector<StoredRow> &rows) {
                        m_targetsKnown = true;
                        m_targetFollower.applyTable(rows, steadyNow());
                        m_gateway.targetsKnown();
                    },
                .onChange =
                    [this](const StoredRow &row) {
                        m_targetFollower.applyChange(row, steadyNow());
                    },
                .onReachable =
                    [this](bool reachable) {
                        m_gateway.board().setStoreReachable(reachable, steadyNow());
                    }};
    }

    asio::awaitable<void> expireTargets()
    {
        for (unsigned round = 0;; ++round) {
            co_await pause(s_expiryPause);
            m_gateway.board().removeExpired(steadyNow());
            m_gateway.prune();
            if (round % s_roundsPerRenewal == 0) {
                m_gateway.chooser().refreshLoads();
                m_gateway.guard().expire();
            }
        }
    }

    /// Tells the gateway how late timers fire, which is how long anything that is ready waits for its turn, and how long datagrams take.
    /// While the host is overloaded the balancer is told so, and once it sends new connections elsewhere the open ones end with their
    /// next answer, since an open connection stays where it is.
    asio::awaitable<void> measureDelay()
    {
        Instant overloadedSince{};
        while (true) {
            const Instant due = steadyNow() + LoadShedder::s_tick;
            co_await pause(LoadShedder::s_tick);
            const Instant now = steadyNow();
            const Duration roundTrip = m_loads.takeShortestRoundTrip().value_or(Duration::zero());
            m_gateway.noteDelay(std::max({Duration::zero(), now - due, roundTrip}));
            overloadedSince = m_gateway.overloaded() ? overloadedSince : now;
            m_callers.setLastAnswers(m_draining || now - overloadedSince > s_rotationTime);
        }
    }

    /// Goes on serving until the streams under way have ended: where all routers of a failure domain are restarted together, the balancer
    /// sends callers here all the same, and a refused connection serves nobody.
    asio::awaitable<void> drainAndStop()
    {
        const Instant begun = steadyNow();
        const Instant lastWork = begun + m_options.grace - s_closeTime;
        logLine(Severity::Info, "router.draining", {{"in_flight", static_cast<std::int64_t>(m_gateway.inFlight())}});
        m_gateway.endAt(lastWork);
        m_callers.setLastAnswers(true);
        co_await pause(s_rotationTime);
        while (m_gateway.streamsInFlight() > 0 && steadyNow() < lastWork) {
            co_await pause(s_poll);
        }
        m_callers.close();
        m_callers.closeIdle();
        while (m_gateway.inFlight() > 0 && steadyNow() < lastWork) {
            co_await pause(s_shortPoll);
            m_callers.closeIdle();
        }
        m_ledger.beginClose();
        co_await m_registry.leave();
        const Instant lastClose = begun + m_options.grace - s_closeTime / 3;
        while (!m_ledger.closed() && steadyNow() < lastClose) {
            co_await pause(s_shortPoll);
        }
        logLine(Severity::Info,
                "router.stopped",
                {{"in_flight", static_cast<std::int64_t>(m_gateway.inFlight())},
                 {"budgets_returned", static_cast<std::int64_t>(m_ledger.closed())}});
        m_pool.stop();
    }

    WorkerPool &m_pool;
    asio::any_io_executor m_executor;
    Options m_options;
    Metrics m_metrics;
    PeerLink m_link;
    Detours m_detours;
    Relayed m_store;
    RouterRegistry<Relayed> m_registry;
    TeamLedger m_ledger;
    CheckpointKeeper<Relayed> m_checkpoints;
    LedgerKeeper<Relayed> m_keeper;
    Gateway m_gateway;
    LoadServer m_loadServer;
    LoadClient m_loads;
    EvacuationFollower m_evacuations;
    PeerExchange<Store> m_help;
    QuarantineKeeper<Relayed> m_quarantine;
    TargetFollower m_targetFollower;
    TableWatcher<Relayed> m_plans;
    TableWatcher<Relayed> m_targets;
    HttpServer m_callers;
    HttpServer m_readiness;
    HttpServer m_metricsServer;
    bool m_targetsKnown = false;
    bool m_draining = false;
};

}
