#include "budget/budgetservice.h"

#include "budget/budgetrows.h"
#include "clock/steadytime.h"
#include "operations/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace bamboohold {

namespace {

/// After this many failed calls in a row the table counts as unreachable.
constexpr int s_failedCallsUntilUnreachable = 2;
constexpr Duration s_returnPollInterval = std::chrono::milliseconds(20);

}

/// A request waiting for tokens. Shared by the coroutine that waits and by the map through which the result is delivered to it.
struct BudgetService::PendingReservation {
    explicit PendingReservation(const asio::any_io_executor &executor)
        : timer(executor)
    {
    }

    asio::steady_timer timer;
    std::optional<ReservationResult> result;
};

BudgetService::BudgetService(asio::any_io_executor platformLoop, PlatformClient &platform, Options options)
    : m_loop(std::move(platformLoop))
    , m_platform(platform)
    , m_options(std::move(options))
    , m_flushTimer(m_loop)
    , m_ledger({.identity = m_options.identity, .policy = m_options.policy})
{
}

void BudgetService::setBilledHandler(BilledHandler handler)
{
    m_billed = std::move(handler);
}

void BudgetService::setRecallHandler(RecallHandler handler)
{
    m_recall = std::move(handler);
}

void BudgetService::triggerFlush()
{
    asio::post(m_loop, [this] {
        m_flushTimer.cancel();
    });
}

void BudgetService::deliverResults(std::vector<ReservationResult> results)
{
    for (ReservationResult &result : results) {
        const auto found = m_pendingReservations.find(result.requestId);
        if (found == m_pendingReservations.end()) {
            continue;
        }
        const std::shared_ptr<PendingReservation> pending = found->second;
        pending->result = std::move(result);
        asio::post(pending->timer.get_executor(), [pending] {
            pending->timer.cancel();
        });
        m_pendingReservations.erase(found);
    }
}

void BudgetService::processAccountChange(BudgetAccount &account)
{
    deliverResults(account.takeResults());
    if (const auto need = account.takeRecallRequest(steadyNow()); need && m_recall) {
        // Posted so that it runs without m_mutex: the handler takes a lock of the link.
        asio::post(m_loop, [this, budget = account.budget(), amount = *need] {
            m_recall(budget, amount);
        });
    }
}

asio::awaitable<absl::Status> BudgetService::reserve(std::string budget, std::string requestId, Tokens bound, Duration timeout)
{
    auto pending = std::make_shared<PendingReservation>(co_await asio::this_coro::executor);
    {
        const std::lock_guard lock(m_mutex);
        if (m_ledger.fenced()) {
            co_return toStatus({.kind = FailureKind::Fenced, .detail = "this router was declared dead and restarts", .retryAfterMs = 1000});
        }
        BudgetAccount &account = m_ledger.account(budget);
        const ReservationResult result = account.reserve(requestId, bound, m_fleet, steadyNow());
        if (result.decision == ReservationResult::Decision::Admitted) {
            co_return absl::OkStatus();
        }
        if (result.decision == ReservationResult::Decision::Refused) {
            co_return toStatus(result.failure);
        }
        m_pendingReservations.emplace(requestId, pending);
        triggerFlush();
    }
    pending->timer.expires_after(timeout);
    co_await pending->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    const std::lock_guard lock(m_mutex);
    if (!pending->result) {
        m_pendingReservations.erase(requestId);
        if (m_ledger.account(budget).cancelWaiting(requestId)) {
            co_return failed(FailureKind::DeadlineExceeded, "the deadline passed while the request waited for tokens");
        }
    }
    if (pending->result && pending->result->decision == ReservationResult::Decision::Refused) {
        co_return toStatus(pending->result->failure);
    }
    co_return absl::OkStatus();
}

std::optional<std::uint64_t> BudgetService::reserveForPeer(std::string_view budget, std::string_view requestId, Tokens bound)
{
    const std::lock_guard lock(m_mutex);
    if (m_ledger.fenced() || m_shuttingDown || !m_ledger.account(budget).reserveForPeer(requestId, bound)) {
        return std::nullopt;
    }
    return m_ledger.nextFlush();
}

void BudgetService::lowerReservation(std::string_view budget, std::string_view requestId, Tokens bound)
{
    const std::lock_guard lock(m_mutex);
    BudgetAccount &account = m_ledger.account(budget);
    account.lowerReservation(requestId, bound);
    processAccountChange(account);
}

Tokens BudgetService::settle(Charge charge, Tokens used)
{
    const std::lock_guard lock(m_mutex);
    BudgetAccount &account = m_ledger.account(charge.budget);
    charge.tokens = account.settle(charge.requestId, used, steadyNow());
    const Tokens charged = charge.tokens;
    m_ledger.addCharge(std::move(charge));
    processAccountChange(account);
    return charged;
}

Tokens BudgetService::onPeerRecall(std::string_view budget, std::string_view peer)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_ledger.accounts().find(budget);
    if (found == m_ledger.accounts().end()) {
        return 0;
    }
    const Tokens spare = m_ledger.account(budget).onPeerRecall(peer < m_options.identity.incarnation, steadyNow());
    if (spare > 0) {
        triggerFlush();
    }
    return spare;
}

std::uint64_t BudgetService::appliedFlush() const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.appliedFlush();
}

std::uint64_t BudgetService::nextFlush() const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.nextFlush();
}

void BudgetService::setRouterCount(std::size_t routers)
{
    const std::lock_guard lock(m_mutex);
    m_fleet.routers = std::max<std::size_t>(1, routers);
}

bool BudgetService::fenced() const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.fenced();
}

std::vector<BudgetService::HoldingSummary> BudgetService::holdingSummaries() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<HoldingSummary> rows;
    for (const auto &[name, account] : m_ledger.accounts()) {
        rows.push_back({.budget = name,
                        .holding = account.holding(),
                        .reserved = account.reserved(),
                        .unsettled = account.unsettled(),
                        .waiting = account.waiting()});
    }
    return rows;
}

void BudgetService::onTableCallSucceeded()
{
    m_failedTableCalls = 0;
    const std::lock_guard lock(m_mutex);
    m_fleet.tableReachable = true;
}

void BudgetService::onTableCallFailed()
{
    if (++m_failedTableCalls < s_failedCallsUntilUnreachable) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    if (m_fleet.tableReachable) {
        logLine(Severity::Warning, "the platform's table is unreachable");
    }
    m_fleet.tableReachable = false;
    for (const std::string &name : m_ledger.activeBudgets()) {
        BudgetAccount &account = m_ledger.account(name);
        account.onTableUnreachable(steadyNow());
        processAccountChange(account);
    }
}

asio::awaitable<bool> BudgetService::readRows(std::map<std::string, BudgetRow, std::less<>> &rows)
{
    std::vector<std::string> keys;
    {
        const std::lock_guard lock(m_mutex);
        for (const std::string &budget : m_ledger.budgetsToRead(m_fleet, steadyNow())) {
            keys.push_back(budgetKey(budget));
        }
    }
    if (keys.empty()) {
        co_return true;
    }
    const auto read = co_await m_platform.read(keys);
    if (!read.ok()) {
        co_return false;
    }
    onTableCallSucceeded();
    for (const TableRow &row : *read) {
        rows.emplace(row.key.substr(s_budgetPrefix.size()), parseBudgetRow(row));
    }
    co_return true;
}

asio::awaitable<void> BudgetService::flushOnce()
{
    std::map<std::string, BudgetRow, std::less<>> rows;
    const bool read = co_await readRows(rows);
    if (!read) {
        onTableCallFailed();
        co_return;
    }
    std::optional<FlushPlan> plan;
    {
        const std::lock_guard lock(m_mutex);
        plan = m_ledger.planFlush(rows, m_fleet, steadyNow());
        for (const auto &[budget, row] : rows) {
            processAccountChange(m_ledger.account(budget));
        }
    }
    if (!plan) {
        co_return;
    }
    absl::StatusOr<TableTransactionResult> verdict = failed(FailureKind::ObjectUnreachable, "ledger page", Executed::No);
    absl::Status stored = absl::OkStatus();
    if (!plan->objectKey.empty()) {
        stored = co_await m_platform.putObject(plan->objectKey, plan->object);
    }
    if (stored.ok()) {
        verdict = co_await m_platform.transact(plan->transaction);
    }
    if (!verdict.ok()) {
        {
            const std::lock_guard lock(m_mutex);
            m_ledger.onFlushAnswerLost();
        }
        onTableCallFailed();
        co_return;
    }
    ++m_flushes;
    onTableCallSucceeded();
    std::vector<Charge> billed;
    {
        const std::lock_guard lock(m_mutex);
        billed = m_ledger.onFlushAnswered(*verdict, steadyNow());
        for (const BudgetUpdate &update : plan->budgetUpdates) {
            processAccountChange(m_ledger.account(update.budget));
        }
    }
    if (!billed.empty() && m_billed) {
        m_billed(billed);
    }
}

asio::awaitable<void> BudgetService::run()
{
    Instant lastFlush{};
    while (!m_shuttingDown) {
        bool urgent = false;
        Duration urgentFlushInterval{};
        {
            const std::lock_guard lock(m_mutex);
            for (const std::string &name : m_ledger.activeBudgets()) {
                BudgetAccount &account = m_ledger.account(name);
                account.expireRecall(steadyNow());
                processAccountChange(account);
            }
            urgent = m_ledger.needsUrgentFlush(steadyNow()) || !m_ledger.registered();
            urgentFlushInterval =
                std::max<Duration>(m_options.urgentFlushInterval, m_options.urgentFlushIntervalPerRouter * m_fleet.routers);
        }
        const Duration interval = urgent ? std::min(urgentFlushInterval, m_options.flushInterval) : m_options.flushInterval;
        const Instant due = lastFlush + interval;
        if (steadyNow() < due) {
            m_flushTimer.expires_after(std::min<Duration>(due - steadyNow(), std::chrono::milliseconds(100)));
            co_await m_flushTimer.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        lastFlush = steadyNow();
        co_await flushOnce();
    }
}

asio::awaitable<void> BudgetService::returnHoldings(Duration limit)
{
    const Instant end = steadyNow() + limit;
    m_shuttingDown = true;
    {
        const std::lock_guard lock(m_mutex);
        m_ledger.beginClose();
    }
    asio::steady_timer timer(m_loop);
    bool returning = true;
    while (returning && steadyNow() < end) {
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &[name, ignored] : m_ledger.accounts()) {
                m_ledger.account(name).onPeerRecall(true, steadyNow());
            }
        }
        co_await flushOnce();
        {
            const std::lock_guard lock(m_mutex);
            returning = !m_ledger.fenced() && !m_ledger.closed();
        }
        timer.expires_after(s_returnPollInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

}
