#include "measure/bookfleet.h"

#include "budget/assignedholders.h"

#include <algorithm>

namespace bamboohold {

namespace {

constexpr Duration s_tick = std::chrono::milliseconds(10);
constexpr int s_budgets = 4;
constexpr Tokens s_tokensPerEvent = 4;
/// Between the death of a process and the start of its successor.
constexpr Duration s_restart = std::chrono::milliseconds(1500);
/// Of requests, loans or gifts, where the cause is one of single ones.
constexpr double s_disturbedShare = 0.1;
/// Until all that is on its way has come home.
constexpr Duration s_settling = std::chrono::seconds(12);

}

BookFleet::BookFleet(Options options)
    : m_options(options)
    , m_random(m_options.seed)
    , m_statement{.prepaid = m_options.prepaid, .planVersion = 1}
{
    for (int router = 0; router < m_options.routers; ++router) {
        m_names.push_back("10.0.0." + std::to_string(router) + ":7340");
        m_routers.push_back(nullptr);
        m_downUntil.push_back(m_store.now);
    }
    for (int budget = 0; budget < s_budgets; ++budget) {
        m_keepers.push_back(assignedHolders(BookRouter::teamName(budget), m_options.prepaid, s_firstBound, m_names));
    }
    for (std::size_t router = 0; router < m_routers.size(); ++router) {
        start(router);
    }
}

void BookFleet::run()
{
    const Instant begun = m_store.now;
    const auto length = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_options.seconds));
    double due = 0;
    while (m_store.now < begun + length) {
        disturb(m_store.now - begun, length);
        due += m_options.requestsPerSecond * seconds(s_tick);
        for (; due >= 1; due -= 1) {
            request();
        }
        step();
    }
    const Instant end = m_store.now + s_settling;
    while (m_store.now < end || !m_running.empty()) {
        disturb(m_store.now - begun, length);
        step();
    }
}

Tokens BookFleet::booked()
{
    Tokens left = 0;
    for (int budget = 0; budget < s_budgets; ++budget) {
        const RowsSnapshot rows = m_store.rows.read(s_budgetTable, BookRouter::teamName(budget), m_store.time);
        for (const auto &router : m_routers) {
            TeamHolding &holding = router->holding(budget);
            holding.handleRead(rows, m_store.now);
            left += holding.unused() + holding.borrowed();
        }
        left += m_routers.front()->holding(budget).freeInPool();
    }
    return s_budgets * m_options.prepaid - left;
}

bool BookFleet::keeps(std::size_t router, int budget) const
{
    return std::ranges::find(m_keepers[budget], m_names[router]) != m_keepers[budget].end();
}

void BookFleet::start(std::size_t router)
{
    const std::string incarnation = m_names[router] + "~" + std::to_string(++m_lives);
    m_routers[router] = std::make_unique<BookRouter>(m_names[router], incarnation, m_store);
    for (int budget = 0; budget < s_budgets; ++budget) {
        m_routers[router]->open(budget, m_statement, keeps(router, budget), m_keepers[budget].size());
    }
}

bool BookFleet::up(std::size_t router) const
{
    return m_store.now >= m_downUntil[router];
}

bool BookFleet::drawn(double share)
{
    return std::bernoulli_distribution(share)(m_random);
}

void BookFleet::step()
{
    m_store.pass(s_tick);
    settleDue();
    for (std::size_t router = 0; router < m_routers.size(); ++router) {
        if (up(router)) {
            giveBackIdle(router);
            m_routers[router]->keep(m_routers.size());
        }
    }
}

void BookFleet::request()
{
    ++m_requests;
    const std::size_t router = std::uniform_int_distribution<std::size_t>(0, m_routers.size() - 1)(m_random);
    const int budget = std::uniform_int_distribution<int>(0, s_budgets - 1)(m_random);
    if (!up(router) || m_closing == router) {
        return;
    }
    const RequestMetadata terms{.promptTokens = std::uniform_int_distribution<Tokens>(500, 9000)(m_random),
                                .maxOutputTokens = std::uniform_int_distribution<Tokens>(100, 800)(m_random)};
    m_routers[router]->holding(budget).recordDemand(terms.worstCaseTokens(), m_store.now);
    std::optional<Reservation> reservation = m_routers[router]->reserve(budget, terms.worstCaseTokens());
    if (!reservation && borrow(router, budget, terms.worstCaseTokens())) {
        reservation = m_routers[router]->reserve(budget, terms.worstCaseTokens());
    }
    if (!reservation) {
        ++m_refused;
        return;
    }
    const Tokens events = std::uniform_int_distribution<Tokens>(1, terms.maxOutputTokens / s_tokensPerEvent)(m_random);
    m_running.push_back(
        {.router = router,
         .budget = budget,
         .reservation = *reservation,
         .terms = terms,
         .use = {.outcome = AttemptOutcome::Delivered, .possibleExecutions = 1, .streamed = true, .tokensPerEvent = s_tokensPerEvent},
         .begun = m_store.now,
         .end = m_store.now + std::chrono::milliseconds(100 + 12 * events),
         .events = static_cast<std::uint64_t>(events)});
    spoil(m_running.back());
}

void BookFleet::spoil(Running &running)
{
    if (m_options.cause == Cause::Resumed && drawn(s_disturbedShare)) {
        running.use.possibleExecutions = 2;
        running.use.hasUncountedAttempt = true;
    }
    const bool left = m_options.cause == Cause::CallerLeft;
    if ((left || m_options.cause == Cause::BrokenOff) && drawn(s_disturbedShare)) {
        running.use.outcome = left ? AttemptOutcome::CallerDisconnected : AttemptOutcome::Incomplete;
        running.events /= 2;
        running.end = running.begun + (running.end - running.begun) / 2;
    }
}

bool BookFleet::borrow(std::size_t router, int budget, Tokens bound)
{
    TeamHolding &own = m_routers[router]->holding(budget);
    own.addWaiting(bound);
    Tokens wanted = own.tokensToBorrow(m_store.now);
    own.removeWaiting(bound);
    for (std::size_t lender = 0; lender < m_routers.size() && wanted > 0; ++lender) {
        if (lender == router || !up(lender) || !keeps(lender, budget)) {
            continue;
        }
        const Tokens lent = m_routers[lender]->lend(budget, wanted);
        wanted -= lent;
        if (m_options.cause != Cause::LoansLost || !drawn(s_disturbedShare)) {
            own.addBorrowed(lent);
        }
    }
    return own.borrowed() >= bound;
}

void BookFleet::giveBackIdle(std::size_t router)
{
    for (int budget = 0; budget < s_budgets; ++budget) {
        const Tokens gift = m_routers[router]->holding(budget).takeIdleBorrowed(m_store.now);
        const auto lender = static_cast<std::size_t>(std::ranges::find(m_names, m_keepers[budget].front()) - m_names.begin());
        const bool lost = m_options.cause == Cause::GiftsLost && drawn(s_disturbedShare);
        if (gift > 0 && !lost && up(lender)) {
            m_routers[lender]->holding(budget).acceptReturned(gift);
        }
    }
}

Tokens BookFleet::deliveredOf(const Running &running) const
{
    const double share = std::min(1.0, seconds(m_store.now - running.begun) / seconds(running.end - running.begun));
    return running.terms.promptTokens + static_cast<Tokens>(share * static_cast<double>(running.events)) * s_tokensPerEvent;
}

void BookFleet::settleDue()
{
    const auto over = std::partition(m_running.begin(), m_running.end(), [this](const Running &running) {
        return running.end > m_store.now;
    });
    for (auto running = over; running != m_running.end(); ++running) {
        running->use.events = running->events;
        const Tokens used = usedTokens(running->terms, running->use);
        m_routers[running->router]->holding(running->budget).settle(running->reservation, used, m_store.now);
        m_delivered += deliveredOf(*running);
    }
    m_running.erase(over, m_running.end());
}

void BookFleet::die(std::size_t router)
{
    const auto cut = std::partition(m_running.begin(), m_running.end(), [router](const Running &running) {
        return running.router != router;
    });
    for (auto running = cut; running != m_running.end(); ++running) {
        m_delivered += deliveredOf(*running);
        m_inFlightLost += running->reservation.bound - deliveredOf(*running);
    }
    m_running.erase(cut, m_running.end());
    for (int budget = 0; budget < s_budgets; ++budget) {
        m_loansLost += m_routers[router]->holding(budget).borrowed();
    }
    m_downUntil[router] = m_store.now + s_restart;
    m_died.push_back(router);
}

void BookFleet::disturb(Duration at, Duration length)
{
    std::erase_if(m_died, [this](std::size_t router) {
        if (up(router)) {
            start(router);
        }
        return up(router);
    });
    const Duration middle = length / 2;
    const Duration turn = length / static_cast<Duration::rep>(m_routers.size() + 2);
    const std::size_t next = m_turns;
    switch (m_options.cause) {
    case Cause::OneDies:
        if (next < m_routers.size() && at >= turn * static_cast<Duration::rep>(next + 1)) {
            ++m_turns;
            die(next);
        }
        break;
    case Cause::PlannedStops:
        stopInTurn(at, turn);
        break;
    case Cause::AllDie:
    case Cause::AllDieWithoutStore: {
        const bool without = m_options.cause == Cause::AllDieWithoutStore;
        m_store.reachable = !without || at < middle || at >= middle + std::chrono::seconds(4);
        if (m_turns == 0 && at >= middle + std::chrono::seconds(without ? 3 : 0)) {
            ++m_turns;
            for (std::size_t router = 0; router < m_routers.size(); ++router) {
                die(router);
            }
        }
        break;
    }
    default:
        break;
    }
}

void BookFleet::stopInTurn(Duration at, Duration turn)
{
    if (m_closing) {
        const std::size_t router = *m_closing;
        const bool idle = std::ranges::none_of(m_running, [router](const Running &running) {
            return running.router == router;
        });
        if (idle && m_routers[router]->closed()) {
            m_closing.reset();
            die(router);
        }
    } else if (m_turns < m_routers.size() && at >= turn * static_cast<Duration::rep>(m_turns + 1)) {
        m_closing = m_turns++;
        m_routers[*m_closing]->beginClose();
    }
}

}
