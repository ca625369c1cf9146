#include "budget/teamholding.h"

#include <algorithm>
#include <utility>

namespace bamboohold {

namespace {

/// A holder may commit this many usual requests at once, so that two that arrive together need no flush between them.
constexpr double s_burstRequests = 2;
/// A holding covers this many usual requests besides its demand over time: demand comes in whole requests.
constexpr Tokens s_usualRequests = 3;
/// Weight of the newest request in the mean use of what is reserved, and the mean that is assumed before the first: output limits are far
/// above what is generated.
constexpr double s_useWeight = 0.03;
constexpr double s_usedShareAtFirst = 0.6;

Tokens fraction(double share, Tokens of)
{
    return static_cast<Tokens>(share * static_cast<double>(of));
}

}

TeamHolding::TeamHolding(Options options)
    : m_options(std::move(options))
    , m_demand(m_options.policy.demandMemory)
{
}

RowAddress TeamHolding::poolAddress() const
{
    return {.table = std::string(s_budgetTable), .part = m_options.team, .key = std::string(s_poolKey)};
}

RowAddress TeamHolding::ownAddress() const
{
    return {.table = std::string(s_budgetTable), .part = m_options.team, .key = holderKey(m_options.holder)};
}

Tokens TeamHolding::granted() const
{
    Tokens sure = m_row ? m_row->row.granted : 0;
    if (m_inFlight) {
        sure = std::min(sure, m_inFlight->pace.row.granted);
    }
    return sure;
}

Tokens TeamHolding::paceLimit(Instant now) const
{
    if (!m_row || m_fenced) {
        return 0;
    }
    const auto limit = [now](const Pace &pace) {
        return pace.row.paced(seconds(now - pace.start));
    };
    // The store has the row of the last answered flush, or already that of the one on its way; a successor may read either.
    const Tokens sure = limit(*m_row);
    return m_inFlight ? std::min(sure, limit(m_inFlight->pace)) : sure;
}

Tokens TeamHolding::available(Instant now) const
{
    return std::max<Tokens>(0, paceLimit(now) - committed());
}

Tokens TeamHolding::prepaid() const
{
    return m_pool.planVersion > m_statement.planVersion ? m_pool.prepaid : m_statement.prepaid;
}

Tokens TeamHolding::freeInPool() const
{
    return prepaid() - m_pool.allocated;
}

Tokens TeamHolding::remainingAnywhere() const
{
    const Tokens ownUnused = m_row ? m_row->row.granted - committed() : 0;
    return freeInPool() + m_unusedByOthers + ownUnused + m_borrowed;
}

void TeamHolding::servingSince(Instant since)
{
    if (!m_servingSince) {
        m_servingSince = since;
    }
}

void TeamHolding::noteRequest(Tokens bound, Instant now)
{
    m_demand.addRequest(bound);
    const double usedShare = m_boundSum > 0 ? m_usedSum / m_boundSum : s_usedShareAtFirst;
    m_demand.addUse(fraction(usedShare, bound), now);
    m_askedSinceRead = true;
}

std::variant<Reservation, HoldingRefusal> TeamHolding::reserve(Tokens bound, Instant now)
{
    if (bound <= available(now)) {
        m_reserved += bound;
        return Reservation{.bound = bound};
    }
    if (bound <= m_borrowed) {
        m_borrowed -= bound;
        return Reservation{.bound = bound, .borrowed = true};
    }
    m_unmet += bound;
    m_unmetSinceRead = std::max(m_unmetSinceRead, bound);
    const bool othersKnown = m_loaded && m_lastRead && now - *m_lastRead < 2 * m_options.policy.readInterval;
    return othersKnown && remainingAnywhere() < bound ? HoldingRefusal::Exhausted : HoldingRefusal::NotHeld;
}

void TeamHolding::settle(const Reservation &reservation, Tokens used, Instant now)
{
    const Tokens counted = std::min(used, reservation.bound);
    if (reservation.borrowed) {
        m_borrowed += reservation.bound - counted;
    } else {
        m_reserved -= reservation.bound;
        m_settled += counted;
    }
    m_boundSum = (1 - s_useWeight) * m_boundSum + static_cast<double>(reservation.bound);
    m_usedSum = (1 - s_useWeight) * m_usedSum + static_cast<double>(counted);
    m_demand.addUse(0, now);
}

Tokens TeamHolding::spentByPredecessor() const
{
    return m_predecessor->mostCommitted(m_startedBefore.value_or(m_storeTime));
}

std::optional<TeamHolding::Recovery> TeamHolding::recovery() const
{
    if (!m_predecessor) {
        return std::nullopt;
    }
    return Recovery{.incarnation = m_predecessor->incarnation,
                    .granted = m_predecessor->granted,
                    .committedAtFlush = m_predecessor->committed,
                    .countedAsSpent = spentByPredecessor(),
                    .timeKnown = m_startedBefore.has_value()};
}

Tokens TeamHolding::lend(Tokens asked, Instant now)
{
    const Tokens free = available(now);
    // Near the end of a budget every router is left with less than a request's worth, and together they could serve some more.
    const bool useless = static_cast<double>(free) < m_demand.averageBound();
    const Tokens keep = useless ? 0 : static_cast<Tokens>(demand(now) * seconds(m_options.policy.lendKeep)) + typicalUse();
    const Tokens lent = std::clamp<Tokens>(free - keep, 0, std::max<Tokens>(0, asked));
    m_settled += lent;
    return lent;
}

void TeamHolding::borrow(Tokens tokens)
{
    m_borrowed += tokens;
}

Tokens TeamHolding::loanWanted(Tokens bound, Instant now) const
{
    const auto ahead = static_cast<Tokens>(demand(now) * seconds(m_options.policy.borrowAhead));
    return bound + ahead - m_borrowed;
}

void TeamHolding::setPrepaid(const PrepaidStatement &statement)
{
    if (statement.planVersion >= m_statement.planVersion) {
        m_statement = statement;
    }
}

bool TeamHolding::wantsRead(Instant now) const
{
    if (!m_loaded || !m_lastRead) {
        return true;
    }
    const Duration age = now - *m_lastRead;
    const bool urgent = m_unmetSinceRead > 0 && age >= m_options.policy.urgentInterval;
    return urgent || (m_askedSinceRead && age >= m_options.policy.readInterval);
}

void TeamHolding::noteStoreTime(StoreTimeMs time, Instant now)
{
    m_storeTime = time;
    m_storeTimeAt = now;
}

StoreTimeMs TeamHolding::storeTimeAtLeast(Instant now) const
{
    return m_storeTime + std::chrono::duration_cast<std::chrono::milliseconds>(now - m_storeTimeAt).count();
}

bool TeamHolding::loaded(const RowsRead &read, Instant now)
{
    if (read.version < m_seenVersion) {
        return false;
    }
    m_seenVersion = read.version;
    noteStoreTime(read.storeTime, now);
    m_lastRead = now;
    m_unmetSinceRead = 0;
    m_askedSinceRead = false;
    m_unusedByOthers = 0;
    m_unusedByActive = 0;
    m_demandOfActive = 0;
    const StoredRow *own = nullptr;
    for (const StoredRow &row : read.rows) {
        if (row.address.key == s_poolKey) {
            adoptPoolRow(row);
        } else if (row.address == ownAddress()) {
            own = &row;
        } else {
            const HolderRow other = holderRowFrom(row);
            const bool active = std::chrono::milliseconds(read.storeTime - other.baseline) < m_options.policy.staleAfter;
            m_unusedByOthers += other.granted - other.committed;
            m_unusedByActive += active ? other.granted - other.committed : 0;
            m_demandOfActive += active ? other.demand : 0;
        }
    }
    if (!m_inFlight && own != nullptr) {
        adoptOwnRow(*own, now);
    } else if (!m_inFlight && m_rowVersion != 0) {
        rowGone();
    }
    m_loaded = true;
    return true;
}

void TeamHolding::adoptPoolRow(const StoredRow &row)
{
    if (row.version > m_poolVersion) {
        m_pool = poolRowFrom(row);
        m_poolVersion = row.version;
    }
}

void TeamHolding::adoptOwnRow(const StoredRow &row, Instant now)
{
    if (row.version == m_rowVersion) {
        return;
    }
    HolderRow seen = holderRowFrom(row);
    m_rowVersion = row.version;
    if (seen.incarnation == m_options.incarnation) {
        const Instant start = m_inFlight && m_inFlight->pace.row.flush == seen.flush ? m_inFlight->pace.start : now;
        m_row = Pace{.row = std::move(seen), .start = start};
        return;
    }
    if (m_row) {
        // Only a process that was able to bind this address takes over its row, so this one is not reachable there any more and must
        // commit nothing further: its successor has returned the rest to the pool.
        m_fenced = true;
        return;
    }
    m_predecessor = std::move(seen);
    m_predecessorText = row.value;
}

void TeamHolding::rowGone()
{
    m_fenced = m_fenced || m_row.has_value();
    m_row.reset();
    m_rowVersion = 0;
    m_predecessor.reset();
}

double TeamHolding::demand(Instant now) const
{
    return m_demand.rateSince(m_servingSince.value_or(now), now);
}

Tokens TeamHolding::typicalUse() const
{
    const double usedShare = m_boundSum > 0 ? m_usedSum / m_boundSum : s_usedShareAtFirst;
    return static_cast<Tokens>(usedShare * m_demand.averageBound());
}

Tokens TeamHolding::aim(std::size_t routers, Instant now) const
{
    const HoldingPolicy &policy = m_options.policy;
    const double own = demand(now);
    const auto ahead = static_cast<Tokens>(own * seconds(policy.horizon));
    const bool learned = m_servingSince && now - *m_servingSince >= policy.learnFor;
    const Tokens initial = learned ? 0 : fraction(policy.initialShare, prepaid()) / static_cast<Tokens>(routers);
    const Tokens wanted = std::max(initial, own > 0 ? ahead + s_usualRequests * typicalUse() : 0);
    if (!learned || own <= 0) {
        return wanted;
    }
    const Tokens held = m_row ? m_row->row.granted - committed() : 0;
    const Tokens left = std::max<Tokens>(0, freeInPool() + m_unusedByActive + held);
    const double ownPart = own / (own + static_cast<double>(m_demandOfActive));
    return std::min(wanted, fraction(policy.scarceShare * ownPart, left));
}

Tokens TeamHolding::wantedChange(std::size_t routers, Instant now) const
{
    const HoldingPolicy &policy = m_options.policy;
    const Tokens held = m_row ? m_row->row.granted - committed() : 0;
    const Tokens free = freeInPool();
    if (m_closing) {
        return -held;
    }
    if (free < 0) {
        // The team's prepaid amount was lowered below what is handed out.
        return -std::min(held, -free);
    }
    const Tokens goal = aim(routers, now);
    const Tokens keep = std::max(goal, m_unmet);
    if (held > fraction(policy.surplusFactor, keep) + typicalUse()) {
        return keep - held;
    }
    if (held >= fraction(policy.refillBelow, goal) && held >= m_unmet) {
        return 0;
    }
    const Tokens change = std::min(keep - held, free);
    const bool worthwhile = change >= fraction(policy.smallestChange, goal) || held < m_unmet;
    return worthwhile ? std::max<Tokens>(0, change) : 0;
}

std::optional<Instant> TeamHolding::nextFlush(std::size_t routers, Instant now) const
{
    const HoldingPolicy &policy = m_options.policy;
    if (!m_loaded || m_fenced) {
        return std::nullopt;
    }
    const Instant last = m_lastFlush.value_or(Instant{});
    if (!m_lastFlush) {
        return last;
    }
    if (m_closing && closed()) {
        return std::nullopt;
    }
    if (m_closing || m_unmet > 0) {
        return last + policy.urgentInterval;
    }
    const bool changed =
        m_inFlight || m_borrowed > 0 || m_predecessor || !m_row || m_row->row.committed != committed() || wantedChange(routers, now) != 0;
    return last + (changed ? policy.flushInterval : policy.refreshInterval);
}

HolderRow TeamHolding::rowAfter(Tokens change, Instant now) const
{
    const Tokens given = (m_row ? m_row->row.granted : 0) + change;
    const Tokens unused = std::max<Tokens>(0, given - committed());
    const HoldingPolicy &policy = m_options.policy;
    const double wanted = demand(now);
    const auto rate = [&](double ofDemand, Duration span) {
        return static_cast<Tokens>(std::max(ofDemand * wanted, static_cast<double>(unused) / seconds(span)));
    };
    const Tokens usual = std::max(fraction(s_burstRequests, static_cast<Tokens>(m_demand.averageBound())), m_unmet);
    return {.incarnation = m_options.incarnation,
            .flush = m_flush,
            .granted = given,
            .settled = m_settled,
            .committed = committed(),
            .burst = std::max(fraction(policy.burstShare, unused), usual),
            .rate = rate(policy.paceOfDemand, policy.paceSpan),
            .laterRate = rate(policy.laterPaceOfDemand, policy.laterPaceSpan),
            .demand = static_cast<Tokens>(demand(now)),
            .baseline = storeTimeAtLeast(now)};
}

std::optional<RowTransaction> TeamHolding::planFlush(std::size_t routers, Instant now)
{
    if (!m_loaded || m_fenced) {
        return std::nullopt;
    }
    m_lastFlush = now;
    if (m_inFlight) {
        return m_inFlight->transaction;
    }
    if (m_predecessor && !m_startedBefore) {
        return planTimeCheck(now);
    }
    const Tokens change = wantedChange(routers, now);
    ++m_flush;
    Flush flush{.pace = {.row = rowAfter(change, now), .start = now}};
    m_unmet = 0;
    flush.removesRow = m_closing && m_reserved == 0;
    flush.transaction.conditions.push_back({.address = ownAddress(), .version = m_rowVersion});
    if (change != 0 || m_predecessor || m_poolVersion == 0 || flush.removesRow || m_borrowed > 0) {
        flush.returned = std::exchange(m_borrowed, 0);
        PoolRow pool{.prepaid = prepaid(),
                     .planVersion = std::max(m_pool.planVersion, m_statement.planVersion),
                     .allocated = m_pool.allocated + change - flush.returned};
        if (m_predecessor) {
            pool.allocated -= m_predecessor->granted - spentByPredecessor();
        }
        flush.transaction.conditions.push_back({.address = poolAddress(), .version = m_poolVersion});
        flush.transaction.changes.push_back({.address = poolAddress(), .value = toText(pool)});
        flush.pool = pool;
    }
    // What a closing holder has spent stays allocated in the pool, so the row itself can go.
    const std::optional<std::string> value = flush.removesRow ? std::nullopt : std::optional(toText(flush.pace.row));
    flush.transaction.changes.push_back({.address = ownAddress(), .value = value});
    m_inFlight = std::move(flush);
    return m_inFlight->transaction;
}

RowTransaction TeamHolding::planTimeCheck(Instant now)
{
    Flush flush{.pace = {.start = now}, .asksTime = true};
    flush.transaction.conditions.push_back({.address = ownAddress(), .version = m_rowVersion});
    flush.transaction.changes.push_back({.address = ownAddress(), .value = m_predecessorText});
    m_inFlight = std::move(flush);
    return m_inFlight->transaction;
}

void TeamHolding::flushAnswered(const RowVerdict &verdict, Instant now)
{
    noteStoreTime(verdict.storeTime, now);
    m_seenVersion = std::max(m_seenVersion, verdict.version);
    if (!m_inFlight) {
        return;
    }
    // The store answered after the flush was planned, so its clock showed at most this at the start. A suspension in between only makes the
    // time since the start too short and the bound too late, which is the safe side.
    const auto sinceStart = std::chrono::duration_cast<std::chrono::milliseconds>(m_inFlight->pace.start - m_options.startedAt);
    m_startedBefore = m_startedBefore.value_or(verdict.storeTime - sinceStart.count());
    if (m_inFlight->asksTime && verdict.applied) {
        m_rowVersion = verdict.version;
        m_lastFlush = now - m_options.policy.flushInterval;
        m_inFlight.reset();
        return;
    }
    if (verdict.applied) {
        m_predecessor.reset();
        m_rowVersion = m_inFlight->removesRow ? 0 : verdict.version;
        m_row = m_inFlight->removesRow ? std::nullopt : std::optional(m_inFlight->pace);
        if (m_inFlight->pool) {
            m_pool = *m_inFlight->pool;
            m_poolVersion = verdict.version;
        }
        m_inFlight.reset();
        return;
    }
    bool ownSeen = false;
    for (const StoredRow &row : verdict.current) {
        if (row.address == ownAddress()) {
            ownSeen = true;
            adoptOwnRow(row, now);
        } else if (row.address.key == s_poolKey) {
            adoptPoolRow(row);
        }
    }
    const bool tookEffectBefore = m_row && m_row->row.flush == m_inFlight->pace.row.flush;
    if (tookEffectBefore) {
        m_predecessor.reset();
        m_inFlight->returned = 0;
    }
    if (!ownSeen && m_rowVersion != 0) {
        const bool removedByThis = m_inFlight->removesRow;
        rowGone();
        m_fenced = m_fenced && !removedByThis;
        m_inFlight->returned = removedByThis ? 0 : m_inFlight->returned;
    }
    withdrawFlush();
    // The next attempt need not wait: the rows it was planned on were only out of date.
    m_lastFlush = now - m_options.policy.flushInterval;
}

void TeamHolding::withdrawFlush()
{
    m_borrowed += m_inFlight->returned;
    m_inFlight.reset();
}

void TeamHolding::flushDeclined()
{
    if (m_inFlight && !m_inFlight->lost) {
        withdrawFlush();
    }
}

void TeamHolding::flushLost()
{
    if (m_inFlight) {
        m_inFlight->lost = true;
    }
}

bool TeamHolding::closed() const
{
    return m_fenced || (m_loaded && !m_row && !m_inFlight && m_borrowed == 0);
}

}
