#include "gateway/gateway.h"

#include "clock/steadytime.h"
#include "gateway/requestrun.h"
#include "net/endpoint.h"
#include "operations/log.h"

#include <absl/strings/str_cat.h>

#include <array>

namespace bamboohold {

namespace {

/// Cold targets asked to admit one request; each question is a round trip that its caller waits for.
constexpr int s_coldTargetsAsked = 3;

}

Gateway::Gateway(asio::any_io_executor executor, Options options, TeamLedger &ledger, Metrics &metrics)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_ledger(ledger)
    , m_metrics(metrics)
    , m_board(m_options.board)
    , m_shares(m_options.self)
    , m_retries(m_options.retries)
    , m_guard(m_executor, m_metrics)
    , m_becameReady(m_executor)
    , m_random(m_options.seed)
{
    m_guard.setExpectedToEnd([this](const std::string &incarnation) {
        return m_board.expectedToEnd(incarnation);
    });
}

asio::awaitable<void> Gateway::handle(HttpExchange &exchange)
{
    const Instant arrived = steadyNow();
    if (!ready()) {
        co_await waitUntilReady();
    }
    // The request keeps the plan it came under, also when a newer one arrives while it runs.
    RequestRun run(*this, exchange, m_plan, arrived);
    co_await run.serve();
}

asio::awaitable<void> Gateway::waitUntilReady()
{
    const Instant giveUp = steadyNow() + m_options.startPatience;
    while (!ready() && steadyNow() < giveUp) {
        co_await m_becameReady.wait(giveUp - steadyNow());
    }
}

bool Gateway::setPlan(std::shared_ptr<const RoutingPlan> plan)
{
    if (m_plan && plan->version() <= m_plan->version()) {
        return false;
    }
    m_plan = std::move(plan);
    for (const TeamPlan &team : m_plan->teams()) {
        if (team.prepaid) {
            m_ledger.setPrepaid(team.name, {.prepaid = *team.prepaid, .planVersion = m_plan->version()});
        }
    }
    m_becameReady.notify();
    return true;
}

void Gateway::setLoads(LoadLink &loads)
{
    m_loads = &loads;
    m_loads->onAnswers(
        [this](const std::string &incarnation, const TargetLoad &others) {
            m_board.heard(incarnation, others, steadyNow());
        },
        [this](const std::string &incarnation) {
            m_board.relaySilent(incarnation, steadyNow());
        });
}

void Gateway::noteDelay(Duration delay)
{
    if (!m_options.sheds) {
        return;
    }
    m_shedder.measured(delay, steadyNow());
    const bool shedding = m_shedder.share() > 0;
    if (shedding != m_shedding) {
        logLine(shedding ? Severity::Warning : Severity::Info,
                shedding ? "router.overloaded" : "router.overload_over",
                {{"delay_ms", std::chrono::duration_cast<std::chrono::milliseconds>(delay).count()},
                 {"in_flight", static_cast<std::int64_t>(m_runs.size())}});
    }
    m_shedding = shedding;
}

bool Gateway::overloaded() const
{
    return m_shedder.overloaded(steadyNow());
}

std::optional<LoadNotice> Gateway::loadNotice(const std::string &incarnation) const
{
    std::optional<TargetBoard::OwnLoad> own = m_board.ownLoad(incarnation);
    if (m_loads == nullptr || !own) {
        return std::nullopt;
    }
    return LoadNotice{.incarnation = incarnation, .relay = std::move(own->relay), .load = own->load};
}

void Gateway::tellLoad(const std::string &incarnation)
{
    if (const std::optional<LoadNotice> notice = loadNotice(incarnation)) {
        m_loads->tell(*notice);
    }
}

void Gateway::countSent(const std::string &incarnation)
{
    const std::string_view limited = m_board.limit(incarnation) ? "yes" : "no";
    const std::array<MetricLabel, 2> labels{{{.name = "target", .value = incarnation}, {.name = "limited", .value = limited}}};
    m_metrics.count("target_requests_total", labels);
}

void Gateway::noteTargetTerms(const std::string &incarnation, const AnswerTerms &answer, Instant sentAt)
{
    if (!answer.unreadable.empty()) {
        logLine(Severity::Warning, "target.header_unreadable", {{"target", incarnation}, {"header", answer.unreadable}});
    }
    const std::optional<double> before = m_board.limit(incarnation);
    if (answer.limit) {
        m_board.limited(incarnation, *answer.limit, steadyNow());
        if (before != answer.limit) {
            logLine(Severity::Info, "target.limited", {{"target", incarnation}, {"requests_per_second", absl::StrCat(*answer.limit)}});
        }
    } else if (answer.sealed && m_board.unlimited(incarnation, sentAt)) {
        logLine(Severity::Info, "target.limit_ended", {{"target", incarnation}});
    }
}

void Gateway::renewLoads()
{
    for (const std::string &incarnation : m_board.inUse()) {
        tellLoad(incarnation);
    }
}

asio::awaitable<std::optional<Placement>> Gateway::place(PlacementWish wish, double coldPerSecond)
{
    std::vector<std::string> except(wish.except.begin(), wish.except.end());
    for (int asked = 0; asked < s_coldTargetsAsked; ++asked) {
        wish.except = except;
        std::optional<Placement> placement = co_await leastLoaded(wish);
        if (!placement || !placement->cold || coldPerSecond <= 0) {
            co_return placement;
        }
        const Instant askedAt = steadyNow();
        const bool admits = co_await admitted(*placement, coldPerSecond);
        if (admits) {
            placement->sendBefore = askedAt + s_admissionLifetime;
            co_return placement;
        }
        except.push_back(placement->incarnation);
    }
    wish.except = except;
    wish.warmOnly = true;
    std::optional<Placement> warm = co_await leastLoaded(wish);
    co_return warm;
}

asio::awaitable<bool> Gateway::admitted(Placement placement, double coldPerSecond)
{
    Admission admission = Admission::NoRelay;
    std::optional<LoadNotice> notice = loadNotice(placement.incarnation);
    if (notice && m_options.warmupGrants) {
        admission = co_await m_loads->askAdmission(*std::move(notice), coldPerSecond);
    }
    if (admission == Admission::NoRelay) {
        co_return m_shares.admit(placement.incarnation, coldPerSecond, steadyNow());
    }
    co_return admission == Admission::Granted;
}

asio::awaitable<std::optional<Placement>> Gateway::leastLoaded(PlacementWish wish)
{
    const std::vector<std::string> candidates = m_board.candidates(wish, m_options.targetsAsked, steadyNow());
    std::vector<LoadNotice> notices;
    for (const std::string &candidate : candidates) {
        if (std::optional<LoadNotice> notice = loadNotice(candidate)) {
            notices.push_back(*std::move(notice));
        }
    }
    // A single candidate is chosen whatever its load.
    if (candidates.size() > 1 && !notices.empty()) {
        co_await m_loads->ask(notices);
        wish.among = candidates;
    }
    std::optional<Placement> placement = m_board.choose(wish, steadyNow());
    if (!placement && !wish.among.empty()) {
        // All of them left or failed in the meantime.
        wish.among = {};
        placement = m_board.choose(wish, steadyNow());
    }
    co_return placement;
}

std::shared_ptr<HttpClient> Gateway::client(const Placement &placement)
{
    auto &client = m_clients[placement.incarnation];
    if (!client) {
        // Every connection to an address that is none fails, as to one where nobody listens.
        client = std::make_shared<HttpClient>(m_executor, endpointFrom(placement.address).value_or(asio::ip::tcp::endpoint()));
    }
    return client;
}

void Gateway::prune()
{
    const Instant now = steadyNow();
    for (RequestRun *run : m_runs) {
        run->leaveFormerLife(now);
    }
    std::erase_if(m_clients, [this](const auto &entry) {
        return !m_board.lists(entry.first);
    });
}

const std::string &Gateway::chooseService(const Route &route)
{
    double total = 0;
    for (const ServiceShare &share : route.services) {
        total += share.weight;
    }
    double drawn = std::uniform_real_distribution<double>(0, total)(m_random);
    for (const ServiceShare &share : route.services) {
        drawn -= share.weight;
        if (drawn < 0) {
            return share.service;
        }
    }
    return route.services.back().service;
}

}
