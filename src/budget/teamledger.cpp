#include "budget/teamledger.h"

#include "clock/steadytime.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

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
{
}

TeamLedger::Entry &TeamLedger::entry(const std::string &team)
{
    const auto found = m_entries.find(team);
    if (found != m_entries.end()) {
        return *found->second;
    }
    TeamHolding::Options options{
        .team = team, .holder = m_options.holder, .incarnation = m_options.incarnation, .policy = m_options.policy};
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
    account.urgent.cancel();
}

boost::asio::awaitable<absl::Status> TeamLedger::reserve(std::string team, Tokens bound)
{
    Entry &account = entry(team);
    const Instant begun = steadyNow();
    noteServing(begun);
    const Instant giveUp = begun + m_options.longestWait;
    account.holding.noteRequest(bound, begun);
    std::optional<HoldingRefusal> refusal = account.holding.reserve(bound, begun);
    while (refusal == HoldingRefusal::NotHeld && account.storeAnswers && steadyNow() < giveUp) {
        account.urgent.cancel();
        account.answered.expires_after(giveUp - steadyNow());
        co_await account.answered.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        refusal = account.holding.reserve(bound, steadyNow());
    }
    if (!refusal) {
        co_return absl::OkStatus();
    }
    const bool exhausted = refusal == HoldingRefusal::Exhausted;
    const Tokens available = account.holding.available(steadyNow());
    co_return toStatus({.kind = exhausted ? FailureKind::BudgetExhausted : FailureKind::BudgetUnreachable,
                        .detail = absl::StrCat("needs ", bound, " tokens; held here ", available, ", left in the budget ",
                                               account.holding.remainingAnywhere()),
                        .ran = Ran::No,
                        .retryAfterMs = exhausted ? m_options.retryAfterExhaustionMs : m_options.retryAfterFlushMs});
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

void TeamLedger::settle(const std::string &team, Tokens bound, Tokens used)
{
    Entry &account = entry(team);
    account.holding.settle(bound, used, steadyNow());
}

void TeamLedger::onOpened(std::function<void(Entry &, const std::string &)> callback)
{
    m_onOpened = std::move(callback);
}

void TeamLedger::beginClose()
{
    for (const auto &[team, account] : m_entries) {
        account->holding.beginClose();
        account->urgent.cancel();
    }
}

bool TeamLedger::closed() const
{
    return std::ranges::all_of(m_entries, [](const auto &account) {
        return account.second->holding.closed();
    });
}

}
