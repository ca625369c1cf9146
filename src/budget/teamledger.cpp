#include "budget/teamledger.h"

#include "budget/assignedholders.h"

#include "clock/steadytime.h"
#include "operations/log.h"
#include "routing/stablehash.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace bamboohold {

namespace {

/// Interval at which waiting requests check whether the growth of the commitment admits them; nothing notifies them of that.
constexpr Duration s_commitLimitPoll = std::chrono::milliseconds(50);
/// A request waits for this multiple of the store's average latency.
constexpr int s_waitLatencyMultiple = 4;
constexpr int s_waitLoanMultiple = 2;
/// The newest latency has a weight of one in this many in the average.
constexpr int s_latencyWeight = 4;
/// Added to the expected wait, which is known only in steps.
constexpr Duration s_commitLimitMargin = std::chrono::milliseconds(60);

}

TeamLedger::Entry::Entry(const boost::asio::any_io_executor &executor, TeamHolding::Options options, const HolderCheckpoint &checkpoint)
    : holding(std::move(options), checkpoint)
    , answerSignal(executor)
    , flushSignal(executor)
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
    TeamHolding::Options options{.team = team,
                                 .holder = m_options.holder,
                                 .incarnation = m_options.incarnation,
                                 .policy = m_options.policy,
                                 .link = m_options.linkAddress};
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
    if (account.holding.setPrepaid(statement)) {
        logLine(Severity::Info,
                "budget.prepaid",
                {{"team", team}, {"prepaid", statement.prepaid}, {"plan", static_cast<std::int64_t>(statement.planVersion)}});
        updateAssignment(account, team);
    }
    account.flushSignal.notify();
}

absl::Status TeamLedger::refusalStatus(const Entry &account, HoldingRefusal refusal, Tokens bound) const
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
                                            account.holding.remainingInBudget(),
                                            account.storeReachable && m_checkpointStoreReachable ? "" : "; store out of reach"),
                     .executed = Executed::No,
                     .retryAfterMs = retryAfterMs(account, refusal, bound)});
}

std::int64_t TeamLedger::retryAfterMs(const Entry &account, HoldingRefusal refusal, Tokens bound) const
{
    if (refusal == HoldingRefusal::Exhausted) {
        return m_options.retryAfterExhaustionMs;
    }
    const std::optional<Duration> committableIn = account.holding.timeUntilCommittable(bound, steadyNow(), m_options.commitHorizon);
    return committableIn ? std::chrono::duration_cast<std::chrono::milliseconds>(*committableIn).count() : m_options.retryAfterFlushMs;
}

boost::asio::awaitable<absl::StatusOr<Reservation>> TeamLedger::reserve(std::string team, Tokens bound)
{
    Entry &account = entry(team);
    const Instant begun = steadyNow();
    noteServing(begun);
    account.holding.recordDemand(bound, begun);
    std::variant<Reservation, HoldingRefusal> result = account.holding.reserve(bound, begun);
    if (std::holds_alternative<HoldingRefusal>(result)) {
        // Enough for two calls, a draw and a checkpoint, and for some variation.
        const Duration latency = std::max(s_waitLatencyMultiple * m_storeLatency, s_waitLoanMultiple * m_loanLatency);
        const Duration patience = std::clamp(latency, m_options.maxWait, m_options.maxSlowWait);
        const WaitOptions waitOptions{.bound = bound, .timeout = patience};
        result = co_await waitForTokens(account, team, waitOptions);
    }
    if (std::holds_alternative<HoldingRefusal>(result)) {
        co_return refusalStatus(account, std::get<HoldingRefusal>(result), bound);
    }
    co_return std::get<Reservation>(result);
}

boost::asio::awaitable<std::variant<Reservation, HoldingRefusal>>
TeamLedger::waitForTokens(Entry &account, std::string team, WaitOptions waitOptions)
{
    const Instant begun = steadyNow();
    Instant deadline = begun + waitOptions.timeout;
    if (const auto committableIn = account.holding.timeUntilCommittable(waitOptions.bound, begun, m_options.maxCommitLimitWait);
        committableIn && waitOptions.mayBorrow) {
        deadline = std::max(deadline, begun + *committableIn + s_commitLimitMargin);
    }
    account.holding.addWaiting(waitOptions.bound);
    ++m_waiters;
    std::variant<Reservation, HoldingRefusal> result = account.holding.reserve(waitOptions.bound, begun);
    while (std::holds_alternative<HoldingRefusal>(result) && steadyNow() < deadline) {
        const HoldingRefusal refusal = std::get<HoldingRefusal>(result);
        if (waitOptions.mayBorrow && mayBorrow(account, refusal, waitOptions.bound)) {
            boost::asio::co_spawn(m_executor, borrow(account, team), boost::asio::detached);
        } else if (!account.borrowing && knownUncovered(account, waitOptions.bound)) {
            result = HoldingRefusal::Exhausted;
            break;
        } else if (cannotBeAdmitted(account, refusal, waitOptions.bound)) {
            break;
        }
        wakeWriters(account, refusal);
        co_await account.answerSignal.wait(std::min<Duration>(deadline - steadyNow(), s_commitLimitPoll));
        result = account.holding.reserve(waitOptions.bound, steadyNow());
    }
    --m_waiters;
    account.holding.removeWaiting(waitOptions.bound);
    co_return result;
}

void TeamLedger::wakeWriters(Entry &account, HoldingRefusal refusal)
{
    if (refusal == HoldingRefusal::CommitLimited) {
        m_checkpointUrgent.notify();
    }
    // A router that is not an assigned holder draws on the pool only while the assigned holders have nothing to lend.
    const bool draws = account.holding.isAssigned() || (!account.borrowing && steadyNow() < account.nextBorrowAt);
    if (refusal == HoldingRefusal::NotHeld && account.storeReachable && draws) {
        account.flushSignal.notify();
    }
}

bool TeamLedger::cannotBeAdmitted(const Entry &account, HoldingRefusal refusal, Tokens bound) const
{
    if (refusal == HoldingRefusal::Exhausted) {
        return true;
    }
    if (account.borrowing) {
        return false;
    }
    const bool committableSoon = account.holding.timeUntilCommittable(0, steadyNow(), m_options.maxCommitLimitWait).has_value();
    return !storeCanServe(account, refusal, bound) && !committableSoon;
}

bool TeamLedger::knownUncovered(const Entry &account, Tokens bound) const
{
    return !account.holding.isAssigned() && steadyNow() < account.uncoveredUntil && bound >= account.uncoveredAmount;
}

bool TeamLedger::storeCanServe(const Entry &account, HoldingRefusal refusal, Tokens bound) const
{
    if (refusal == HoldingRefusal::CommitLimited) {
        return m_checkpointStoreReachable;
    }
    return account.storeReachable && account.holding.drawableInPool() >= bound;
}

bool TeamLedger::mayBorrow(const Entry &account, HoldingRefusal refusal, Tokens bound) const
{
    const bool pointless = refusal == HoldingRefusal::Exhausted || (account.holding.isAssigned() && storeCanServe(account, refusal, bound));
    return m_options.policy.loans && m_borrow && !pointless && !account.borrowing && steadyNow() >= account.nextBorrowAt;
}

Instant TeamLedger::checkpointDue(Instant now) const
{
    if (!m_lastCheckpoint || !m_checkpoint->predecessorsFenced() || m_checkpoint->writePending()) {
        return now;
    }
    if (m_waiters > 0) {
        return *m_lastCheckpoint + m_options.batchInterval;
    }
    return *m_lastCheckpoint + checkpointInterval(now);
}

Duration TeamLedger::checkpointInterval(Instant now) const
{
    Duration interval = m_options.idleInterval;
    for (const auto &[team, account] : m_entries) {
        if (account->holding.unused() == 0) {
            continue;
        }
        if (!account->holding.ample(now)) {
            return m_options.checkpointInterval;
        }
        interval = m_options.ampleInterval;
    }
    return interval;
}

std::optional<RowTransaction> TeamLedger::planCheckpoint(Instant now)
{
    m_lastCheckpoint = now;
    if (!m_checkpoint->writePending()) {
        m_checkpointFirstSent = now;
    }
    HolderCheckpoint::Commitments commitments;
    bool recovered = true;
    for (const auto &[team, account] : m_entries) {
        recovered = recovered && account->holding.recovered();
        if (const std::optional<Commitment> commitment = account->holding.commitment(now, m_storeLatency)) {
            commitments.emplace(team, *commitment);
        }
    }
    if (recovered && !m_entries.empty()) {
        m_checkpoint->discardPredecessors();
    }
    return m_checkpoint->planWrite(commitments, now);
}

void TeamLedger::checkpointAnswered(const RowTransactionResult &verdict, Instant now)
{
    const bool fencedBefore = m_checkpoint->predecessorsFenced();
    m_storeLatency += (now - m_checkpointFirstSent - m_storeLatency) / s_latencyWeight;
    m_checkpoint->writeAnswered(verdict, now);
    for (const auto &[team, account] : m_entries) {
        account->answerSignal.notify();
        if (!fencedBefore) {
            // Recoveries waited for this checkpoint.
            account->flushSignal.notify();
        }
    }
}

boost::asio::awaitable<void> TeamLedger::borrow(Entry &account, std::string team)
{
    account.borrowing = true;
    const Instant begun = steadyNow();
    const Tokens wanted = account.holding.tokensToBorrow(begun, m_loanLatency);
    const Loan loan = co_await m_borrow(team, wanted, account.lenders);
    m_loanLatency += (steadyNow() - begun - m_loanLatency) / s_latencyWeight;
    account.holding.addBorrowed(loan.tokens);
    account.borrowing = false;
    if (loan.tokens < wanted) {
        account.nextBorrowAt = steadyNow() + m_options.borrowPause;
    }
    if (loan.exhausted) {
        // The amount asked for is the sum of all waiting requests. Lenders lend what they have of it, so when they lend nothing at all,
        // there is nothing for a smaller request either. With the sum as the limit, callers of an exhausted budget would be told that it is
        // unreachable, and would retry in vain.
        account.uncoveredAmount = loan.tokens == 0 ? 1 : wanted - loan.tokens;
        account.uncoveredUntil = steadyNow() + m_options.borrowPause;
    }
    if (loan.tokens < wanted) {
        logLine(Severity::Info,
                "budget.loan_short",
                {{"team", team}, {"wanted", wanted}, {"lent", loan.tokens}, {"exhausted", static_cast<std::int64_t>(loan.exhausted)}});
    }
    account.answerSignal.notify();
}

boost::asio::awaitable<TeamLedger::Loan> TeamLedger::lend(std::string team, Tokens asked)
{
    const auto found = m_entries.find(team);
    if (found == m_entries.end()) {
        co_return Loan{};
    }
    Entry &account = *found->second;
    if (!account.holding.isAssigned()) {
        co_return Loan{.tokens = account.holding.lend(asked, steadyNow())};
    }
    // If the peer asks for more than this router holds, it gets all of that, as soon as a checkpoint covers it.
    const Tokens held = account.holding.unused();
    const WaitOptions waitOptions{.bound = held > 0 ? std::min(asked, held) : asked, .timeout = m_options.maxLoanWait, .mayBorrow = false};
    const std::variant<Reservation, HoldingRefusal> result = co_await waitForTokens(account, team, waitOptions);
    if (const auto *reservation = std::get_if<Reservation>(&result)) {
        account.holding.lendReserved(*reservation);
        account.holding.recordDemand(waitOptions.bound, steadyNow());
        co_return Loan{.tokens = waitOptions.bound};
    }
    Loan loan{.tokens = account.holding.lend(asked, steadyNow())};
    if (loan.tokens > 0) {
        account.holding.recordDemand(loan.tokens, steadyNow());
    }
    logLine(Severity::Info,
            "budget.lent_short",
            {{"team", team},
             {"asked", asked},
             {"lent", loan.tokens},
             {"held", account.holding.granted() - account.holding.committed()},
             {"left", account.holding.remainingInBudget()},
             {"store", static_cast<std::int64_t>(account.storeReachable && m_checkpointStoreReachable)}});
    loan.exhausted = std::get<HoldingRefusal>(result) == HoldingRefusal::Exhausted;
    co_return loan;
}

void TeamLedger::acceptReturnedTokens(const std::string &team, Tokens tokens)
{
    Entry &account = entry(team);
    account.holding.acceptReturned(tokens);
    account.answerSignal.notify();
}

void TeamLedger::returnIdleLoan(Entry &account, const std::string &team)
{
    if (account.lenders.empty()) {
        return;
    }
    const Tokens tokens = account.holding.takeIdleBorrowed(steadyNow());
    if (tokens > 0) {
        m_return(account.lenders.front(), team, tokens);
    }
}

void TeamLedger::setPeerFunctions(BorrowFunction borrow, ReturnFunction giveBack)
{
    m_borrow = std::move(borrow);
    m_return = std::move(giveBack);
}

void TeamLedger::setRouters(const std::vector<std::string> &routers)
{
    m_routers = routers;
    for (const auto &[team, account] : m_entries) {
        updateAssignment(*account, team);
    }
}

void TeamLedger::updateAssignment(Entry &account, const std::string &team)
{
    if (m_routers.empty()) {
        return;
    }
    std::vector<std::string> holders = m_options.policy.limitHolders
        ? assignedHolders(team, account.holding.prepaid(), account.holding.averageRequestBound(), m_routers)
        : m_routers;
    const std::size_t count = holders.size();
    const bool assigned = std::erase(holders, m_options.linkAddress) > 0;
    // Each borrower starts with another assigned holder, so that all of them lend about the same amount.
    if (!holders.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(stableHash(m_options.linkAddress) % holders.size());
        std::rotate(holders.begin(), holders.begin() + first, holders.end());
    }
    account.holding.setOtherHolders(holders, steadyNow());
    account.lenders = std::move(holders);
    account.holding.setAssigned(assigned, count);
    account.flushSignal.notify();
}

void TeamLedger::noteServing(Instant now)
{
    if (m_servingSince) {
        return;
    }
    // Set for all teams: one that has sent nothing here since then has no demand here, and tokens drawn for it are missing elsewhere.
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
        account->flushSignal.notify();
    }
}

bool TeamLedger::closed() const
{
    return std::ranges::all_of(m_entries, [](const auto &account) {
        return account.second->holding.closed();
    });
}

}
