#include "gateway/targetchooser.h"

#include "clock/steadytime.h"
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

TargetChooser::TargetChooser(TargetBoard &board, Metrics &metrics, Options options)
    : m_board(board)
    , m_metrics(metrics)
    , m_options(std::move(options))
    , m_shares(m_options.self)
{
}

void TargetChooser::setLoads(LoadLink &loads)
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

std::optional<LoadNotice> TargetChooser::loadNotice(const std::string &incarnation) const
{
    std::optional<TargetBoard::OwnLoad> own = m_board.ownLoad(incarnation);
    if (m_loads == nullptr || !own) {
        return std::nullopt;
    }
    return LoadNotice{.incarnation = incarnation, .relay = std::move(own->relay), .load = own->load};
}

void TargetChooser::tellLoad(const std::string &incarnation)
{
    if (const std::optional<LoadNotice> notice = loadNotice(incarnation)) {
        m_loads->tell(*notice);
    }
}

void TargetChooser::countSent(const std::string &incarnation)
{
    const std::string_view limited = m_board.limit(incarnation) ? "yes" : "no";
    const std::array<MetricLabel, 2> labels{{{.name = "target", .value = incarnation}, {.name = "limited", .value = limited}}};
    m_metrics.count("target_requests_total", labels);
}

void TargetChooser::noteTargetTerms(const std::string &incarnation, const ResponseMetadata &answer, Instant sentAt)
{
    if (!answer.malformedHeader.empty()) {
        logLine(Severity::Warning, "target.header_unreadable", {{"target", incarnation}, {"header", answer.malformedHeader}});
    }
    if (answer.leaving && m_board.withdrawal(incarnation) != Withdrawal::Leaving) {
        logLine(Severity::Info, "target.says_leaving", {{"target", incarnation}});
    }
    if (answer.leaving || answer.misdirected) {
        m_board.leaves(incarnation);
    }
    if (answer.retryAfter) {
        logLine(Severity::Info,
                "target.asks_rest",
                {{"target", incarnation}, {"rest_ms", std::chrono::duration_cast<std::chrono::milliseconds>(*answer.retryAfter).count()}});
        m_board.closeUntil(incarnation, steadyNow() + *answer.retryAfter);
    }
    if (answer.requestRateLimit) {
        const double limit = std::max(*answer.requestRateLimit, LimitAdmissions::s_leastPerSecond);
        setLimit(incarnation, limit);
        tellLimit(incarnation, limit);
    } else if (answer.sealed && endLimit(incarnation, sentAt)) {
        // An answer that its target does not vouch for says nothing by what it lacks.
        tellLimit(incarnation, 0);
    }
}

void TargetChooser::setLimit(const std::string &incarnation, double requestsPerSecond)
{
    if (m_board.limit(incarnation) != requestsPerSecond) {
        logLine(Severity::Info, "target.limited", {{"target", incarnation}, {"requests_per_second", absl::StrCat(requestsPerSecond)}});
    }
    m_board.limited(incarnation, requestsPerSecond, steadyNow());
}

bool TargetChooser::endLimit(const std::string &incarnation, Instant askedAt)
{
    const bool ended = m_board.unlimited(incarnation, askedAt);
    if (ended) {
        logLine(Severity::Info, "target.limit_ended", {{"target", incarnation}});
    }
    return ended;
}

void TargetChooser::tellLimit(const std::string &incarnation, double requestsPerSecond)
{
    if (m_loads != nullptr) {
        LoadNotice notice = admissionNotice(incarnation);
        notice.heardLimit = requestsPerSecond;
        m_loads->tell(notice);
    }
}

void TargetChooser::heardLimit(const std::string &incarnation, double requestsPerSecond, Instant askedAt)
{
    if (requestsPerSecond <= 0) {
        endLimit(incarnation, askedAt);
    } else if (m_board.limit(incarnation) != requestsPerSecond) {
        // Only what a target itself says again makes a limit younger: an older answer does not end it.
        setLimit(incarnation, requestsPerSecond);
    }
}

void TargetChooser::renewLoads()
{
    for (const std::string &incarnation : m_board.inUse()) {
        tellLoad(incarnation);
    }
}

boost::asio::awaitable<std::optional<Placement>> TargetChooser::place(PlacementWish wish, double coldPerSecond)
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

LoadNotice TargetChooser::admissionNotice(const std::string &incarnation) const
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

boost::asio::awaitable<bool> TargetChooser::admitted(Placement placement, AdmissionRates rates)
{
    AdmissionAnswer answer;
    if (m_loads != nullptr && m_options.admissions) {
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

boost::asio::awaitable<std::optional<Placement>> TargetChooser::leastLoaded(PlacementWish wish)
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

}
