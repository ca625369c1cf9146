#include "budget/budgetaccount.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace bamboohold {

namespace {

/// Retry-after time of a refusal that can end as soon as other requests or routers return tokens.
constexpr std::int64_t s_retryWhenReleasedMs = 2'000;
/// Retry-after time of a refusal that only a top-up can end.
constexpr std::int64_t s_retryAfterTopUpMs = 30'000;

}

BudgetAccount::BudgetAccount(std::string budget, AccountPolicy policy)
    : m_budget(std::move(budget))
    , m_policy(policy)
{
}

bool BudgetAccount::scarce(Instant now) const
{
    return m_policy.returnsSurplus && m_scarceUntil && now < *m_scarceUntil;
}

void BudgetAccount::markScarce(Instant now)
{
    m_scarceUntil = now + m_policy.scarcityDuration;
}

Tokens BudgetAccount::desiredHolding(Instant now) const
{
    if (scarce(now)) {
        return 0;
    }
    const double forFutureRequests = m_demand.rate(now) * seconds(m_policy.holdingHorizon);
    const double minimum = m_demand.averageBound() * m_policy.minimumHoldingRequests;
    return static_cast<Tokens>(std::ceil(std::max(forFutureRequests, minimum)));
}

Tokens BudgetAccount::totalWaitingBound() const
{
    Tokens need = 0;
    for (const Waiter &waiter : m_waiters) {
        need += waiter.bound;
    }
    return need;
}

bool BudgetAccount::refusalIsCached(Instant now) const
{
    return m_refusal && m_refusal->finalAt && now - *m_refusal->finalAt < m_policy.refusalCacheTime;
}

bool BudgetAccount::mayStillAdmit(Tokens bound, const FleetView &fleet, Instant now) const
{
    const Tokens knownFree = m_refusal && m_refusal->exists && !m_refusal->closed ? m_refusal->free : 0;
    const bool releasesSuffice = m_policy.waitsForReleases && m_reserved > 0 && available() + m_reserved + knownFree >= bound;
    if (releasesSuffice) {
        return true;
    }
    if (!fleet.tableReachable) {
        return false;
    }
    if (!refusalIsCached(now)) {
        return true;
    }
    return !m_refusal->closed && m_refusal->exists && available() + m_refusal->free >= bound;
}

Failure BudgetAccount::refusalFailure(Tokens bound, const FleetView &fleet) const
{
    if (m_refusal && !m_refusal->exists) {
        return {.kind = FailureKind::BudgetClosed, .detail = absl::StrCat("budget '", m_budget, "' does not exist")};
    }
    if (m_refusal && m_refusal->closed) {
        return {.kind = FailureKind::BudgetClosed, .detail = absl::StrCat("budget '", m_budget, "' is closed")};
    }
    if (!fleet.tableReachable) {
        return {.kind = FailureKind::BudgetUnreachable,
                .detail = absl::StrCat("budget '", m_budget, "' needs ", bound, " tokens and more cannot be drawn now"),
                .retryAfterMs = s_retryWhenReleasedMs};
    }
    const bool hasReservations = m_reserved > 0;
    return {.kind = FailureKind::BudgetExhausted,
            .detail = absl::StrCat("budget '", m_budget, "' has too little left for a worst case of ", bound, " tokens"),
            .retryAfterMs = hasReservations ? s_retryWhenReleasedMs : s_retryAfterTopUpMs};
}

ReservationResult BudgetAccount::reserve(std::string_view requestId, Tokens bound, const FleetView &fleet, Instant now)
{
    assert(bound > 0 && !m_reservations.contains(std::string(requestId)));
    m_lastFleet = fleet;
    m_demand.addRequest(bound);
    ReservationResult result{.requestId = std::string(requestId)};
    if (available() >= bound) {
        m_reservations.emplace(result.requestId, bound);
        m_reserved += bound;
        result.decision = ReservationResult::Decision::Admitted;
        return result;
    }
    if (!mayStillAdmit(bound, fleet, now)) {
        result.failure = refusalFailure(bound, fleet);
        return result;
    }
    m_waiters.push_back({.requestId = result.requestId, .bound = bound});
    result.decision = ReservationResult::Decision::Waiting;
    return result;
}

bool BudgetAccount::reserveForPeer(std::string_view requestId, Tokens bound)
{
    if (bound <= 0 || !m_waiters.empty() || available() < bound || m_reservations.contains(std::string(requestId))) {
        return false;
    }
    m_reservations.emplace(requestId, bound);
    m_reserved += bound;
    return true;
}

void BudgetAccount::lowerReservation(std::string_view requestId, Tokens bound)
{
    const auto found = m_reservations.find(std::string(requestId));
    if (found == m_reservations.end() || bound >= found->second) {
        return;
    }
    m_reserved -= found->second - bound;
    found->second = bound;
    admitWaiters();
}

Tokens BudgetAccount::settle(std::string_view requestId, Tokens used, Instant now)
{
    const auto found = m_reservations.find(std::string(requestId));
    if (found == m_reservations.end()) {
        return 0;
    }
    const Tokens charged = std::clamp<Tokens>(used, 0, found->second);
    m_reserved -= found->second;
    m_unsettled += charged;
    m_reservations.erase(found);
    m_demand.addUse(charged, now);
    admitWaiters();
    refuseUnadmittable(m_lastFleet, now);
    return charged;
}

bool BudgetAccount::cancelWaiting(std::string_view requestId)
{
    const auto found = std::find_if(m_waiters.begin(), m_waiters.end(), [requestId](const Waiter &waiter) {
        return waiter.requestId == requestId;
    });
    if (found == m_waiters.end()) {
        return false;
    }
    m_waiters.erase(found);
    return true;
}

void BudgetAccount::admitWaiters()
{
    // First fit instead of first come, first served: near the end of a budget, a large request must not block smaller ones that the last
    // tokens would still cover.
    for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
        if (available() < waiter->bound) {
            ++waiter;
            continue;
        }
        m_reservations.emplace(waiter->requestId, waiter->bound);
        m_reserved += waiter->bound;
        m_results.push_back({.requestId = waiter->requestId, .decision = ReservationResult::Decision::Admitted});
        waiter = m_waiters.erase(waiter);
    }
}

void BudgetAccount::refuseUnadmittable(const FleetView &fleet, Instant now)
{
    // Refuse as soon as nothing can admit the request any more: letting it wait would only delay its caller from trying elsewhere.
    for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
        if (mayStillAdmit(waiter->bound, fleet, now)) {
            ++waiter;
            continue;
        }
        m_results.push_back({.requestId = waiter->requestId, .failure = refusalFailure(waiter->bound, fleet)});
        waiter = m_waiters.erase(waiter);
    }
}

bool BudgetAccount::needsUrgentFlush(Instant now) const
{
    const bool surplusNeededElsewhere = scarce(now) && m_waiters.empty() && available() > 0;
    return (!m_waiters.empty() && !m_recallDeadline) || m_recalledAmount > 0 || surplusNeededElsewhere;
}

bool BudgetAccount::wantsDraw(const FleetView &fleet, Instant now)
{
    m_lastFleet = fleet;
    if (m_recallDeadline || refusalIsCached(now)) {
        return false;
    }
    return !m_waiters.empty() || static_cast<double>(available()) < m_policy.refillThreshold * static_cast<double>(desiredHolding(now));
}

Tokens BudgetAccount::drawAmount(const BudgetRow &row, const FleetView &fleet, Instant now) const
{
    const Tokens missing = std::max<Tokens>(0, desiredHolding(now) - std::max<Tokens>(0, available()));
    const auto drawingRouters = static_cast<double>(std::max<std::size_t>(1, fleet.routers));
    const auto share = static_cast<Tokens>(static_cast<double>(row.free) * m_policy.drawShareOfFree / drawingRouters);
    const Tokens forFutureRequests = std::min(missing, share);
    const Tokens forWaitingRequests = std::max<Tokens>(0, totalWaitingBound() - available());
    const Tokens wanted = std::max(forFutureRequests, forWaitingRequests);
    if (wanted <= row.free) {
        return wanted;
    }
    // Not all waiting requests can be served: take the rest only if it admits at least one of them.
    const bool admitsSomeone = std::any_of(m_waiters.begin(), m_waiters.end(), [&](const Waiter &waiter) {
        return waiter.bound <= available() + row.free;
    });
    return admitsSomeone ? row.free : 0;
}

BudgetUpdate BudgetAccount::planFlush(const std::optional<BudgetRow> &row, const FleetView &fleet, Instant now)
{
    m_lastFleet = fleet;
    BudgetUpdate update{.budget = m_budget, .settled = m_unsettled};
    if (row) {
        const double ampleTokens = m_policy.ampleRequests * m_demand.averageBound() * static_cast<double>(fleet.routers);
        static_cast<double>(row->free) >= ampleTokens ? m_scarceUntil.reset() : markScarce(now);
    }
    if (row && wantsDraw(fleet, now)) {
        update.draw = row->closed || !row->exists ? 0 : drawAmount(*row, fleet, now);
        if (update.draw == 0 && !m_waiters.empty()) {
            onDrawRefused(*row, now);
        }
    }
    // Near the end of a budget, only the table can combine what is left at different routers: tokens that are too few to admit a request
    // here may suffice together with those that other routers return.
    const bool returnsRemainder = scarce(now) && row && update.draw == 0;
    if (update.draw == 0 && m_policy.returnsSurplus && (m_waiters.empty() || m_recalledAmount > 0 || returnsRemainder)) {
        const auto keep = static_cast<Tokens>(m_policy.surplusFactor * static_cast<double>(desiredHolding(now)));
        const Tokens surplus = std::max<Tokens>(0, available() - keep);
        update.returnAmount = std::clamp(std::max(surplus, m_recalledAmount), Tokens{0}, std::max<Tokens>(0, available()));
    }
    m_recalledAmount = 0;
    m_returning = std::max(m_returning, update.returnAmount);
    return update;
}

void BudgetAccount::onFlushApplied(const BudgetUpdate &update, Instant now)
{
    m_holding += update.draw - update.returnAmount - update.settled;
    m_unsettled -= update.settled;
    m_returning = 0;
    if (update.draw > 0) {
        m_refusal.reset();
    }
    assert(m_holding >= 0 && m_unsettled >= 0 && available() >= 0);
    admitWaiters();
    refuseUnadmittable(m_lastFleet, now);
}

void BudgetAccount::onFlushRejected()
{
    m_returning = 0;
}

void BudgetAccount::onDrawRefused(const BudgetRow &row, Instant now)
{
    const bool recallHasEnded = m_refusal && !m_refusal->finalAt && !m_recallDeadline;
    m_refusal = TableRefusal{.free = row.free, .closed = row.closed, .exists = row.exists};
    markScarce(now);
    const bool askedRecently = m_lastRecall && now - *m_lastRecall < m_policy.recallInterval;
    const bool peersMayHelp = m_policy.returnsSurplus && m_lastFleet.routers > 1 && !row.closed && row.exists;
    if (peersMayHelp && !recallHasEnded && !askedRecently) {
        m_recallWanted = true;
        m_lastRecall = now;
        m_recallDeadline = now + m_policy.recallTimeout;
        return;
    }
    m_refusal->finalAt = now;
    refuseUnadmittable(m_lastFleet, now);
}

void BudgetAccount::onTableUnreachable(Instant now)
{
    m_lastFleet.tableReachable = false;
    m_recallDeadline.reset();
    refuseUnadmittable(m_lastFleet, now);
}

std::optional<Tokens> BudgetAccount::takeRecallRequest(Instant)
{
    if (!std::exchange(m_recallWanted, false)) {
        return std::nullopt;
    }
    return std::max<Tokens>(1, totalWaitingBound() - available());
}

void BudgetAccount::onRecallEnded(Tokens returned, Instant now)
{
    if (!m_recallDeadline) {
        return;
    }
    m_recallDeadline.reset();
    if (returned > 0 || !m_refusal) {
        // The refusal stays recorded but not final: the next flush reads the row again and decides.
        return;
    }
    m_refusal->finalAt = now;
    refuseUnadmittable(m_lastFleet, now);
}

Tokens BudgetAccount::onPeerRecall(bool peerHasPriority, Instant now)
{
    markScarce(now);
    // Two routers that each hold half of what both need would otherwise keep their tokens and both refuse. The fixed order between them
    // lets one be served.
    const bool keepsForOwnRequests = !m_waiters.empty() && !peerHasPriority;
    if (!m_policy.returnsSurplus || keepsForOwnRequests) {
        return 0;
    }
    const auto keep = static_cast<Tokens>(m_demand.rate(now) * seconds(m_policy.recallRetention));
    const Tokens spare = std::max<Tokens>(0, available() - keep);
    m_recalledAmount = std::max(m_recalledAmount, spare);
    return spare;
}

void BudgetAccount::expireRecall(Instant now)
{
    if (m_recallDeadline && now >= *m_recallDeadline) {
        onRecallEnded(1, now);
    }
}

std::vector<ReservationResult> BudgetAccount::takeResults()
{
    return std::exchange(m_results, {});
}

}
