#include "budget/teamledger.h"

#include "clock/steadytime.h"
#include "operations/log.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace bamboohold {

TeamLedger::Entry::Entry(const boost::asio::any_io_executor &executor, TeamHolding::Options options, const HolderCheckpoint &checkpoint)
    : holding(std::move(options), checkpoint)
    , answered(executor)
    , urgent(executor)
{
}

TeamLedger::TeamLedger(boost::asio::any_io_executor executor, Options options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_checkpointUrgent(m_executor)
{
}

void TeamLedger::start()
{
    m_checkpoint = std::make_unique<HolderCheckpoint>(
        HolderCheckpoint::Options{.holder = m_options.holder, .incarnation = m_options.incarnation, .startedAt = steadyNow()});
}

TeamLedger::Entry &TeamLedger::entry(const std::string &team)
{
    const auto found = m_entries.find(team);
    if (found != m_entries.end()) {
        return *found->second;
    }
    TeamHolding::Options options{
        .team = team, .holder = m_options.holder, .incarnation = m_options.incarnation, .policy = m_options.policy};
    Entry &opened = *m_entries.emplace(team, std::make_unique<Entry>(m_executor, std::move(options), *m_checkpoint)).first->second;
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
                                            account.storeAnswers && m_checkpointAnswers ? "" : "; store out of reach"),
                     .ran = Ran::No,
                     .retryAfterMs = retryAfterMs(account, refusal, bound)});
}

std::int64_t TeamLedger::retryAfterMs(const Entry &account, HoldingRefusal refusal, Tokens bound) const
{
    if (refusal == HoldingRefusal::Exhausted) {
        return m_options.retryAfterExhaustionMs;
    }
    const std::optional<Duration> paced = account.holding.timeUntilPaced(bound, steadyNow(), m_options.paceHorizon);
    return paced ? std::chrono::duration_cast<std::chrono::milliseconds>(*paced).count() : m_options.retryAfterFlushMs;
}

boost::asio::awaitable<absl::StatusOr<Reservation>> TeamLedger::reserve(std::string team, Tokens bound)
{
    Entry &account = entry(team);
    const Instant begun = steadyNow();
    noteServing(begun);
    account.holding.noteRequest(bound, begun);
    std::variant<Reservation, HoldingRefusal> result = account.holding.reserve(bound, begun);
    if (std::holds_alternative<HoldingRefusal>(result)) {
        account.holding.addWaiting(bound);
        result = co_await waitFor(account, team, bound);
        account.holding.removeWaiting(bound);
    }
    if (std::holds_alternative<HoldingRefusal>(result)) {
        co_return refusalOf(account, std::get<HoldingRefusal>(result), bound);
    }
    co_return std::get<Reservation>(result);
}

boost::asio::awaitable<std::variant<Reservation, HoldingRefusal>> TeamLedger::waitFor(Entry &account, std::string team, Tokens bound)
{
    const Instant giveUp = steadyNow() + m_options.longestWait;
    ++m_pacedWaiters;
    std::variant<Reservation, HoldingRefusal> result = account.holding.reserve(bound, steadyNow());
    while (std::holds_alternative<HoldingRefusal>(result) && steadyNow() < giveUp) {
        const HoldingRefusal refusal = std::get<HoldingRefusal>(result);
        if (refusal == HoldingRefusal::Exhausted) {
            break;
        }
        seek(account, team, refusal, bound);
        Duration wait = giveUp - steadyNow();
        if (const std::optional<Duration> paced = account.holding.timeUntilPaced(bound, steadyNow(), wait)) {
            wait = std::max<Duration>(*paced, std::chrono::milliseconds(1));
        }
        co_await account.answered.wait(wait);
        result = account.holding.reserve(bound, steadyNow());
    }
    --m_pacedWaiters;
    co_return result;
}

void TeamLedger::seek(Entry &account, const std::string &team, HoldingRefusal refusal, Tokens bound)
{
    if (refusal == HoldingRefusal::NotHeld && account.storeAnswers) {
        account.urgent.notify();
    }
    if (refusal == HoldingRefusal::Paced) {
        m_checkpointUrgent.notify();
    }
    if (mayBorrow(account, refusal, bound)) {
        boost::asio::co_spawn(m_executor, borrow(account, team, bound), boost::asio::detached);
    }
}

bool TeamLedger::mayBorrow(const Entry &account, HoldingRefusal refusal, Tokens bound) const
{
    const bool storeHelps =
        refusal == HoldingRefusal::Paced ? m_checkpointAnswers : account.storeAnswers && account.holding.freeInPool() >= bound;
    return m_borrow && !storeHelps && !account.borrowing && steadyNow() >= account.borrowAgainAt;
}

Instant TeamLedger::checkpointDue(Instant now) const
{
    if (!m_lastCheckpoint || !m_checkpoint->sealed() || m_checkpoint->undecided()) {
        return now;
    }
    if (m_pacedWaiters > 0) {
        return *m_lastCheckpoint + m_options.groupInterval;
    }
    const bool holds = std::ranges::any_of(m_entries, [](const auto &account) {
        return account.second->holding.granted() > account.second->holding.committed();
    });
    return *m_lastCheckpoint + (holds ? m_options.checkpointInterval : m_options.idleInterval);
}

std::optional<RowTransaction> TeamLedger::planCheckpoint(Instant now)
{
    m_lastCheckpoint = now;
    HolderCheckpoint::Commitments commitments;
    bool recovered = true;
    for (const auto &[team, account] : m_entries) {
        recovered = recovered && account->holding.recovered();
        if (const std::optional<Commitment> commitment = account->holding.commitment(now)) {
            commitments.emplace(team, *commitment);
        }
    }
    if (recovered && !m_entries.empty()) {
        m_checkpoint->forgetEarlier();
    }
    return m_checkpoint->plan(commitments, now);
}

void TeamLedger::checkpointAnswered(const RowVerdict &verdict, Instant now)
{
    const bool wasSealed = m_checkpoint->sealed();
    m_checkpoint->answered(verdict, now);
    for (const auto &[team, account] : m_entries) {
        account->answered.notify();
        if (!wasSealed) {
            // Recoveries waited for this.
            account->urgent.notify();
        }
    }
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
