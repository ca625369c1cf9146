#include "gateway/gateway.h"

#include "clock/steadytime.h"
#include "gateway/requestrun.h"
#include "net/endpoint.h"
#include "operations/log.h"
#include "routing/limitadmissions.h"
#include "routing/stablehash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace bamboohold {

namespace {

/// Targets asked to admit one request; each question is a round trip that its caller waits for.
constexpr int s_admissionsAsked = 3;
/// The limit may end sooner than the next admission was promised for.
constexpr Duration s_longestAdmissionWait = std::chrono::seconds(2);

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
        [this](const std::string &incarnation, const TargetNews &news) {
            m_board.heard(incarnation, news.others, steadyNow());
            if (news.limit) {
                heardLimit(incarnation, *news.limit, news.askedAt);
            }
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
    if (answer.leaving && m_board.withdrawal(incarnation) != Withdrawal::Leaving) {
        logLine(Severity::Info, "target.says_leaving", {{"target", incarnation}});
    }
    if (answer.leaving || answer.otherProcess) {
        m_board.leaves(incarnation);
    }
    if (answer.rest) {
        logLine(Severity::Info,
                "target.asks_rest",
                {{"target", incarnation}, {"rest_ms", std::chrono::duration_cast<std::chrono::milliseconds>(*answer.rest).count()}});
        m_board.closeUntil(incarnation, steadyNow() + *answer.rest);
    }
    if (answer.limit) {
        const double limit = std::max(*answer.limit, LimitAdmissions::s_leastPerSecond);
        setLimit(incarnation, limit);
        tellLimit(incarnation, limit);
    } else if (answer.sealed && endLimit(incarnation, sentAt)) {
        // An answer that its target does not vouch for says nothing by what it lacks.
        tellLimit(incarnation, 0);
    }
}

void Gateway::setLimit(const std::string &incarnation, double requestsPerSecond)
{
    if (m_board.limit(incarnation) != requestsPerSecond) {
        logLine(Severity::Info, "target.limited", {{"target", incarnation}, {"requests_per_second", absl::StrCat(requestsPerSecond)}});
    }
    m_board.limited(incarnation, requestsPerSecond, steadyNow());
}

bool Gateway::endLimit(const std::string &incarnation, Instant askedAt)
{
    const bool ended = m_board.unlimited(incarnation, askedAt);
    if (ended) {
        logLine(Severity::Info, "target.limit_ended", {{"target", incarnation}});
    }
    return ended;
}

void Gateway::tellLimit(const std::string &incarnation, double requestsPerSecond)
{
    if (m_loads != nullptr) {
        LoadNotice notice = admissionNotice(incarnation);
        notice.heardLimit = requestsPerSecond;
        m_loads->tell(notice);
    }
}

void Gateway::heardLimit(const std::string &incarnation, double requestsPerSecond, Instant askedAt)
{
    if (requestsPerSecond <= 0) {
        endLimit(incarnation, askedAt);
    } else if (m_board.limit(incarnation) != requestsPerSecond) {
        // Only what a target itself says again makes a limit younger: an older answer does not end it.
        setLimit(incarnation, requestsPerSecond);
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
    for (int asked = 0; asked < s_admissionsAsked; ++asked) {
        wish.except = except;
        std::optional<Placement> placement = co_await leastLoaded(wish);
        if (!placement) {
            co_return std::nullopt;
        }
        const AdmissionRates rates{.cold = placement->cold ? coldPerSecond : 0, .limit = placement->limit.value_or(0)};
        if (!rates.needed()) {
            co_return placement;
        }
        const Instant askedAt = steadyNow();
        const bool admits = co_await admitted(*placement, rates);
        if (admits) {
            placement->sendBefore = askedAt + s_admissionLifetime;
            co_return placement;
        }
        except.push_back(placement->incarnation);
    }
    wish.except = except;
    wish.withoutAdmission = true;
    std::optional<Placement> free = co_await leastLoaded(wish);
    co_return free;
}

LoadNotice Gateway::admissionNotice(const std::string &incarnation) const
{
    LoadNotice notice = loadNotice(incarnation).value_or(LoadNotice{.incarnation = incarnation});
    if (!m_routers.empty() && !m_loads->answers(notice.relay)) {
        const std::uint64_t hash = stableHash(incarnation);
        notice.relay = *std::ranges::max_element(m_routers, {}, [hash](const std::string &router) {
            return mixed(stableHash(router) ^ hash);
        });
    }
    return notice;
}

asio::awaitable<bool> Gateway::admitted(Placement placement, AdmissionRates rates)
{
    AdmissionAnswer answer;
    if (m_loads != nullptr && m_options.warmupGrants) {
        LoadNotice notice =
            rates.limit > 0 ? admissionNotice(placement.incarnation) : loadNotice(placement.incarnation).value_or(LoadNotice{});
        answer = co_await m_loads->askAdmission(std::move(notice), rates);
    }
    // Where nobody answers, others may still be admitted by whoever does not answer here: half of a limit is left to them.
    const bool alone = answer.admission == Admission::NoRelay || (answer.admission == Admission::Unanswered && rates.cold <= 0);
    if (alone) {
        const AdmissionRates shared{.cold = rates.cold, .limit = rates.limit / 2};
        co_return m_shares.admit(placement.incarnation, shared.lowest(), steadyNow());
    }
    // Who admits may have said instead that the limit has ended.
    const bool free = rates.cold <= 0 && !m_board.limit(placement.incarnation);
    const bool granted = free || answer.admission == Admission::Granted;
    if (!granted) {
        m_board.closeUntil(placement.incarnation, steadyNow() + std::min(answer.wait, s_longestAdmissionWait));
    }
    co_return granted;
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
