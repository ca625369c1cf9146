#include "budget/teamledger.h"

#include "clock/steadytime.h"
#include "operations/log.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace bamboohold {

TeamLedger::Entry::Entry(const boost::asio::any_io_executor &executor, TeamHolding::Options options)
    : holding(std::move(options))
    , answered(executor)
    , urgent(executor)
{
}

TeamLedger::TeamLedger(boost::asio::any_io_executor executor, Options options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_startedAt(steadyNow())
{
}

void TeamLedger::start()
{
    m_startedAt = steadyNow();
}

TeamLedger::Entry &TeamLedger::entry(const std::string &team)
{
    const auto found = m_entries.find(team);
    if (found != m_entries.end()) {
        return *found->second;
    }
    TeamHolding::Options options{.team = team,
                                 .holder = m_options.holder,
                                 .incarnation = m_options.incarnation,
                                 .startedAt = m_startedAt,
                                 .policy = m_options.policy};
    Entry &opened = *m_entries.emplace(team, std::make_unique<Entry>(m_executor, std::move(options))).first->second;
    if (m_servingSince) {
        opened.holding.servingSince(*m_servingSince);
    }
    if (m_onOpened) {
        m_onOpened(opened, team);
    }
    return opened;
}

void TeamLedger::setPrepaid(const std::string &team, const PrepaidStatement &statement)
{
    Entry &account = entry(team);
    account.holding.setPrepaid(statement);
    account.urgent.notify();
}

absl::Status TeamLedger::refusalOf(const Entry &account, HoldingRefusal refusal, Tokens bound) const
{
    const bool exhausted = refusal == HoldingRefusal::Exhausted;
    const Tokens available = account.holding.available(steadyNow());
    const Tokens unspent = account.holding.granted() - account.holding.committed();
    return toStatus({.kind = exhausted ? FailureKind::BudgetExhausted : FailureKind::BudgetUnreachable,
                     .detail = absl::StrCat("needs ",
                                            bound,
                                            " tokens; may commit ",
                                            available,
                                            " of ",
                                            unspent,
                                            " held; left in the budget ",
                                            account.holding.remainingAnywhere(),
                                            account.storeAnswers ? "" : "; store out of reach"),
                     .ran = Ran::No,
                     .retryAfterMs = exhausted ? m_options.retryAfterExhaustionMs : m_options.retryAfterFlushMs});
}

boost::asio::awaitable<absl::StatusOr<Reservation>> TeamLedger::reserve(std::string team, Tokens bound)
{
    Entry &account = entry(team);
    const Instant begun = steadyNow();
    noteServing(begun);
    account.holding.noteRequest(bound, begun);
    const Instant giveUp = begun + m_options.longestWait;
    std::variant<Reservation, HoldingRefusal> result = account.holding.reserve(bound, begun);
    while (std::holds_alternative<HoldingRefusal>(result)) {
        const bool hopeless = std::get<HoldingRefusal>(result) == HoldingRefusal::Exhausted;
        if (hopeless || steadyNow() >= giveUp) {
            co_return refusalOf(account, std::get<HoldingRefusal>(result), bound);
        }
        if (account.storeAnswers) {
            account.urgent.notify();
        }
        if (mayBorrow(account, bound)) {
            boost::asio::co_spawn(m_executor, borrow(account, team, bound), boost::asio::detached);
        }
        co_await account.answered.wait(giveUp - steadyNow());
        result = account.holding.reserve(bound, steadyNow());
    }
    co_return std::get<Reservation>(result);
}

bool TeamLedger::mayBorrow(const Entry &account, Tokens bound) const
{
    const bool poolHelps = account.storeAnswers && account.holding.freeInPool() >= bound;
    return m_borrow && !poolHelps && !account.borrowing && steadyNow() >= account.borrowAgainAt;
}

boost::asio::awaitable<void> TeamLedger::borrow(Entry &account, std::string team, Tokens bound)
{
    account.borrowing = true;
    const Tokens wanted = account.holding.loanWanted(bound, steadyNow());
    const Tokens lent = co_await m_borrow(team, wanted);
    account.holding.borrow(lent);
    account.borrowing = false;
    if (lent < wanted) {
        account.borrowAgainAt = steadyNow() + m_options.borrowPause;
    }
    logLine(Severity::Info, "budget.borrowed", {{"team", team}, {"wanted", wanted}, {"lent", lent}});
    account.answered.notify();
}

Tokens TeamLedger::lend(const std::string &team, Tokens asked)
{
    const auto found = m_entries.find(team);
    const Tokens lent = found == m_entries.end() ? 0 : found->second->holding.lend(asked, steadyNow());
    const Tokens held = found == m_entries.end() ? 0 : found->second->holding.granted() - found->second->holding.committed();
    const Tokens available = found == m_entries.end() ? 0 : found->second->holding.available(steadyNow());
    logLine(Severity::Info, "budget.lent", {{"team", team}, {"asked", asked}, {"lent", lent}, {"available", available}, {"held", held}});
    return lent;
}

void TeamLedger::onShortage(Borrow borrow)
{
    m_borrow = std::move(borrow);
}

void TeamLedger::noteServing(Instant now)
{
    if (m_servingSince) {
        return;
    }
    // For every team: one that has sent nothing here since then has no demand here, and what was drawn for it is missing elsewhere.
    m_servingSince = now;
    for (const auto &[team, account] : m_entries) {
        account->holding.servingSince(now);
    }
}

void TeamLedger::settle(const std::string &team, const Reservation &reservation, Tokens used)
{
    entry(team).holding.settle(reservation, used, steadyNow());
}

void TeamLedger::onOpened(std::function<void(Entry &, const std::string &)> callback)
{
    m_onOpened = std::move(callback);
}

void TeamLedger::beginClose()
{
    for (const auto &[team, account] : m_entries) {
        account->holding.beginClose();
        account->urgent.notify();
    }
}

bool TeamLedger::closed() const
{
    return std::ranges::all_of(m_entries, [](const auto &account) {
        return account.second->holding.closed();
    });
}

}
