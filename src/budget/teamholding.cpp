#include "budget/teamholding.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace bamboohold {

namespace {

/// A holding covers this many average requests in addition to its demand over time, because demand comes in whole requests.
constexpr Tokens s_extraRequests = 3;
/// Weight of the newest request in the average share of reserved tokens that is used, and that share before the first request: output
/// limits are far above what is generated.
constexpr double s_usedShareWeight = 0.03;
constexpr double s_initialUsedShare = 0.6;

/// A count of the remaining tokens that is not fresh refuses a request only if the request is larger than this multiple of it.
constexpr Tokens s_staleCountFactor = 2;

Tokens fraction(double share, Tokens of)
{
    return static_cast<Tokens>(share * static_cast<double>(of));
}

}

TeamHolding::TeamHolding(Options options, const HolderCheckpoint &checkpoint)
    : m_options(std::move(options))
    , m_checkpoint(checkpoint)
    , m_demand(m_options.policy.demandTimeConstant)
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

RowAddress TeamHolding::poolWriteAddress(const PoolRow &pool) const
{
    return {.table = std::string(s_budgetTable), .part = m_options.team, .key = poolWriteKey(pool.writeId)};
}

Tokens TeamHolding::granted() const
{
    const Tokens acknowledged = m_row ? m_row->granted : 0;
    // The store contains the row of the last acknowledged flush or already that of the one in flight.
    return m_inFlight ? std::min(acknowledged, m_inFlight->row.granted) : acknowledged;
}

Tokens TeamHolding::available(Instant now) const
{
    if (m_fenced) {
        return 0;
    }
    const Tokens most = std::min(granted(), m_checkpoint.limit(m_options.team, now));
    return std::max<Tokens>(0, most - committed());
}

std::optional<Commitment> TeamHolding::commitment(Instant now, Duration storeLatency) const
{
    const HoldingPolicy &policy = m_options.policy;
    const Tokens unused = std::max<Tokens>(0, granted() - committed());
    if (m_fenced || (unused == 0 && committed() == 0)) {
        return std::nullopt;
    }
    const double wanted = demand(now);
    const double growth = std::max(policy.growthDemandFactor * wanted, static_cast<double>(unused) / seconds(policy.growthSpan));
    const Duration soon = policy.burstSpan + 2 * storeLatency;
    const Duration span = ample(wanted) ? std::max(soon, s_growthDelay) : soon;
    const auto ahead = static_cast<Tokens>(wanted * seconds(span));
    return Commitment{
        .committed = committed(), .burst = std::min(unused, ahead + m_waiting), .rate = std::min(unused, static_cast<Tokens>(growth))};
}

bool TeamHolding::ample(double ownDemand) const
{
    const double ofAll = ownDemand + static_cast<double>(m_demandOfActive);
    return static_cast<double>(remainingInBudget()) > ofAll * seconds(m_options.policy.ampleSpan);
}

std::optional<Duration> TeamHolding::timeUntilCommittable(Tokens bound, Instant now, Duration horizon) const
{
    if (m_fenced || granted() - committed() < m_waiting + bound) {
        return std::nullopt;
    }
    return m_checkpoint.timeUntil(m_options.team, committed() + m_waiting + bound, now, horizon);
}

Tokens TeamHolding::prepaid() const
{
    return m_pool.planVersion > m_statement.planVersion ? m_pool.prepaid : m_statement.prepaid;
}

Tokens TeamHolding::freeInPool() const
{
    return prepaid() - m_pool.allocated;
}

Tokens TeamHolding::remainingInBudget() const
{
    const Tokens ownUnused = m_row ? m_row->granted - committed() : 0;
    return freeInPool() + m_unusedByOthers + ownUnused + m_borrowed;
}

void TeamHolding::servingSince(Instant since)
{
    if (!m_servingSince) {
        m_servingSince = since;
    }
}

void TeamHolding::recordDemand(Tokens bound, Instant now)
{
    m_demand.addRequest(bound);
    const double usedShare = m_boundSum > 0 ? m_usedSum / m_boundSum : s_initialUsedShare;
    m_demand.addUse(fraction(usedShare, bound), now);
    m_lastRequest = now;
    m_requestedSinceRead = m_requestedSinceRead || m_assigned;
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
    if (bound <= granted() - committed()) {
        return HoldingRefusal::CommitLimited;
    }
    m_shortSinceRead = m_shortSinceRead || m_assigned;
    // Few tokens are returned to a budget, so a count that was far too small a while ago still is; new prepaid amounts come with the plan.
    const Tokens left = remainingInBudget();
    const bool fresh = m_lastRead && now - *m_lastRead < 2 * m_options.policy.readInterval;
    return m_loaded && (fresh ? left < bound : m_assigned && s_staleCountFactor * left < bound) ? HoldingRefusal::Exhausted
                                                                                                : HoldingRefusal::NotHeld;
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
    m_boundSum = (1 - s_usedShareWeight) * m_boundSum + static_cast<double>(reservation.bound);
    m_usedSum = (1 - s_usedShareWeight) * m_usedSum + static_cast<double>(counted);
    m_demand.addUse(0, now);
}

Tokens TeamHolding::spentByPredecessor() const
{
    // A row of an earlier generation may be older than the last one that the process wrote.
    const bool outdated = m_predecessor->generation < m_generation;
    const Tokens held = outdated ? std::max(m_predecessor->granted, m_predecessor->draws.most(prepaid())) : m_predecessor->granted;
    // Nothing is known about a process that left no checkpoint, so all that it held counts as spent.
    return std::min(held, m_checkpoint.maxSpentBy(m_predecessor->incarnation, m_options.team).value_or(held));
}

std::optional<TeamHolding::Recovery> TeamHolding::recovery() const
{
    if (!m_predecessor || !m_checkpoint.predecessorsFenced()) {
        return std::nullopt;
    }
    return Recovery{.incarnation = m_predecessor->incarnation,
                    .granted = m_predecessor->granted,
                    .committed = m_checkpoint.committedAtCheckpoint(m_predecessor->incarnation, m_options.team),
                    .countedAsSpent = spentByPredecessor(),
                    .checkpointKnown = m_checkpoint.maxSpentBy(m_predecessor->incarnation, m_options.team).has_value()};
}

Tokens TeamHolding::lend(Tokens asked, Instant now)
{
    const Tokens free = available(now);
    // Near the end of a budget every router is left with less than one request needs; combined, the remainders still serve some.
    const bool tooSmall = static_cast<double>(free) < m_demand.averageBound();
    const Tokens keep = tooSmall ? 0 : static_cast<Tokens>(demand(now) * seconds(m_options.policy.lenderKeepSpan));
    const Tokens lent = std::clamp<Tokens>(free - keep, 0, std::max<Tokens>(0, asked));
    m_settled += lent;
    m_lent += lent;
    return lent;
}

void TeamHolding::addBorrowed(Tokens tokens)
{
    m_borrowed += tokens;
}

void TeamHolding::acceptReturned(Tokens tokens)
{
    const Tokens own = std::min(tokens, m_lent);
    m_lent -= own;
    m_settled -= own;
    m_borrowed += tokens - own;
}

Tokens TeamHolding::tokensToBorrow(Instant now, Duration loanLatency) const
{
    const Duration latency = std::min(loanLatency, m_options.policy.maxLoanLatency);
    if (m_assigned) {
        return m_waiting + static_cast<Tokens>(demand(now) * seconds(std::max(m_options.policy.borrowAhead, 2 * latency))) - m_borrowed;
    }
    // Rounded down to whole requests: a team that sends a request only now and then has no next one to borrow ahead for.
    const Tokens use = std::max<Tokens>(1, typicalUse());
    const Duration ahead = std::max(m_options.policy.unassignedBorrowAhead, 2 * latency);
    const Tokens requests = static_cast<Tokens>(demand(now) * seconds(ahead)) / use;
    return m_waiting + requests * use - m_borrowed;
}

void TeamHolding::lendReserved(const Reservation &reservation)
{
    if (!reservation.borrowed) {
        m_reserved -= reservation.bound;
        m_settled += reservation.bound;
        m_lent += reservation.bound;
    }
}

Tokens TeamHolding::takeIdleBorrowed(Instant now)
{
    const bool idle = now - m_lastRequest >= m_options.policy.loanIdleTimeout && m_waiting == 0;
    return idle && !m_assigned && !m_closing ? std::exchange(m_borrowed, 0) : 0;
}

bool TeamHolding::setPrepaid(const PrepaidStatement &statement)
{
    if (statement.planVersion < m_statement.planVersion) {
        return false;
    }
    const bool changes = statement.prepaid != m_statement.prepaid;
    m_statement = statement;
    return changes;
}

bool TeamHolding::needsRead(Instant now) const
{
    if (!m_loaded || !m_lastRead) {
        return true;
    }
    const Duration age = now - *m_lastRead;
    const bool urgent = m_shortSinceRead && mayDraw(now) && age >= m_options.policy.urgentInterval;
    const Duration interval = ample(now) ? m_options.policy.ampleInterval : m_options.policy.readInterval;
    return urgent || (m_requestedSinceRead && age >= interval);
}

void TeamHolding::setStoreTime(StoreTimeMs time, Instant now)
{
    m_storeTime = time;
    m_storeTimeAt = now;
}

StoreTimeMs TeamHolding::minStoreTime(Instant now) const
{
    return m_storeTime + std::chrono::duration_cast<std::chrono::milliseconds>(now - m_storeTimeAt).count();
}

bool TeamHolding::handleRead(const RowsSnapshot &read, Instant now)
{
    if (read.position() < StorePosition{.generation = m_generation, .version = m_seenVersion}) {
        return false;
    }
    if (read.generation > m_generation) {
        beginGeneration(read.generation, now);
    }
    m_seenVersion = read.version;
    setStoreTime(read.storeTime, now);
    m_lastRead = now;
    m_shortSinceRead = false;
    m_requestedSinceRead = false;
    if (!m_startedIn) {
        m_startedIn = read.generation;
        m_generationSeenAt = now;
    }
    m_markVersion = 0;
    m_outdatedMarks.clear();
    m_outdatedPoolWrites.clear();
    const StoredRow *own = nullptr;
    for (const StoredRow &row : read.rows) {
        if (row.address.key == s_poolKey) {
            adoptPoolRow(row);
        } else if (isGenerationKey(row.address.key)) {
            adoptMark(row);
        } else if (isPoolWriteKey(row.address.key)) {
            m_outdatedPoolWrites.push_back(row.address);
        } else if (row.address == ownAddress()) {
            own = &row;
        }
    }
    std::erase(m_outdatedPoolWrites, poolWriteAddress(m_pool));
    countOthers(read);
    waitForLostRows(read, now);
    if (!m_row && own != nullptr) {
        dropEarlierDraw(*own);
    }
    if (m_restoring) {
        adoptCopiedRow(own);
    } else if (!m_inFlight && own != nullptr) {
        adoptOwnRow(*own);
    } else if (!m_inFlight && m_rowVersion != 0) {
        handleRowRemoved();
    }
    m_loaded = true;
    return true;
}

void TeamHolding::countOthers(const RowsSnapshot &read)
{
    m_unusedByOthers = 0;
    m_unusedByActive = 0;
    m_demandOfActive = 0;
    m_reservedForOthers = 0;
    m_rowsFromBefore.clear();
    std::vector<HolderRow> outdated;
    for (const StoredRow &row : read.rows) {
        if (!isHolderKey(row.address.key)) {
            continue;
        }
        const HolderRow other = holderRowFrom(row);
        if (other.generation < m_generation) {
            m_newestInCopy = std::max(m_newestInCopy, other.writtenAt);
        }
        if (row.address == ownAddress()) {
            continue;
        }
        if (other.startedIn < m_generation && !m_writtenInGeneration) {
            m_rowsFromBefore.push_back(other.link);
        }
        const bool active = std::chrono::milliseconds(read.storeTime - other.writtenAt) < m_options.policy.staleAfter;
        m_unusedByOthers += other.granted - other.committed;
        m_unusedByActive += active ? other.granted - other.committed : 0;
        m_demandOfActive += active ? other.demand : 0;
        if (other.generation < m_generation) {
            outdated.push_back(other);
        }
    }
    for (const HolderRow &other : outdated) {
        // A holder that had been dead or cut off for a while when the copy was made has drawn nothing since.
        const bool drew = std::chrono::milliseconds(m_newestInCopy - other.writtenAt) < m_options.policy.silentBeforeCopy;
        m_reservedForOthers += drew ? std::max<Tokens>(0, other.draws.most(prepaid()) - other.granted) : 0;
    }
}

void TeamHolding::setOtherHolders(std::span<const std::string> links, Instant now)
{
    std::vector<OtherHolder> others;
    others.reserve(links.size());
    for (const std::string &link : links) {
        others.push_back({.link = link, .since = now});
    }
    for (OtherHolder &known : m_otherHolders.value_or(std::vector<OtherHolder>())) {
        const auto listed = std::ranges::find(others, known.link, &OtherHolder::link);
        if (listed != others.end()) {
            listed->since = known.since;
        } else if (now - known.since < m_options.policy.firstRowSpan) {
            // It may have drawn while it was assigned.
            others.push_back(std::move(known));
        }
    }
    m_otherHolders = std::move(others);
}

bool TeamHolding::recentBeforeReturn(Instant since) const
{
    return since <= m_generationSeenAt && m_generationSeenAt - since < m_options.policy.firstRowSpan;
}

std::int64_t TeamHolding::countLostRows(std::size_t routers) const
{
    const bool startedNow = m_startedIn == m_generation;
    // A process that has just started knows of a return only if nobody has written since, and a team without rows is taken for a new one.
    if (m_writtenInGeneration || !m_addsLostRows || (startedNow && (m_markVersion != 0 || m_poolVersion == 0))) {
        return 0;
    }
    std::int64_t lost = 0;
    if (m_otherHolders) {
        lost = std::ranges::count_if(*m_otherHolders, [this](const OtherHolder &other) {
            return recentBeforeReturn(other.since) && std::ranges::find(m_rowsFromBefore, other.link) == m_rowsFromBefore.end();
        });
    } else {
        const std::size_t holders = startedNow ? m_assignedCount.value_or(routers) : m_recentHolders;
        lost = static_cast<std::int64_t>(holders) - 1 - static_cast<std::int64_t>(m_rowsFromBefore.size());
    }
    return std::max(lost, m_lostEarlier);
}

PoolRow TeamHolding::poolAfter(Tokens change, const Flush &flush, std::int64_t lostRows) const
{
    // By how much the pool's row was wrong: what others hold, as far as their rows were lost, is part of it.
    Tokens correction = m_restoring ? m_row->granted - m_countedInPool : 0;
    const Tokens recovered = m_predecessor ? m_predecessor->granted - spentByPredecessor() : 0;
    if (m_predecessor && m_predecessor->generation < m_generation) {
        correction -= recovered;
    } else {
        change -= recovered;
    }
    PoolRow pool{.prepaid = prepaid(),
                 .planVersion = std::max(m_pool.planVersion, m_statement.planVersion),
                 .allocated = m_pool.allocated + change + correction - flush.returned,
                 .writeId = absl::StrCat(m_options.incarnation, "/", m_flushSequence),
                 .lostRows = lostRows};
    const Tokens withheld = m_pool.lostRows > 0 ? m_pool.withheld - correction : pool.prepaid - pool.allocated;
    pool.withheld = std::max<Tokens>(0, withheld);
    return pool;
}

void TeamHolding::waitForLostRows(const RowsSnapshot &read, Instant now)
{
    if (m_generation == 0 || std::exchange(m_markChecked, true)) {
        return;
    }
    const auto mark = std::ranges::find(read.rows, generationKey(m_generation), [](const StoredRow &row) {
        return row.address.key;
    });
    Duration remaining = m_options.policy.restoreTime;
    if (mark != read.rows.end()) {
        remaining -= std::chrono::milliseconds(read.storeTime - markTimeFrom(*mark));
    } else if (read.rows.empty()) {
        // A team that is new, or whose rows were all lost.
        remaining = Duration::zero();
    }
    m_addsLostRows = mark == read.rows.end() || remaining > Duration::zero();
    m_drawsFrom = std::max(m_drawsFrom, now + remaining);
}

void TeamHolding::adoptMark(const StoredRow &row)
{
    if (row.address.key == generationKey(m_generation)) {
        m_markVersion = row.version;
    } else {
        m_outdatedMarks.push_back(row.address);
    }
}

void TeamHolding::addGenerationMark(RowTransaction &transaction, Instant now) const
{
    const RowAddress address{.table = std::string(s_budgetTable), .part = m_options.team, .key = generationKey(m_generation)};
    transaction.conditions.push_back({.address = address, .version = m_markVersion});
    if (m_markVersion != 0) {
        return;
    }
    // Holders that come later wait for lost rows only until then, and not at all for a team without rows.
    const StoreTimeMs since = m_poolVersion != 0 || !m_outdatedMarks.empty() ? minStoreTime(now) : -s_maxStoredValue;
    transaction.changes.push_back({.address = address, .value = markText(since)});
    for (const RowAddress &mark : m_outdatedMarks) {
        transaction.changes.push_back({.address = mark, .value = std::nullopt});
    }
}

void TeamHolding::addPoolWrite(RowTransaction &transaction, const PoolRow &pool) const
{
    transaction.conditions.push_back({.address = poolAddress(), .version = m_poolVersion});
    if (!m_pool.writeId.empty()) {
        // Written by the transaction that wrote the pool, so both rows have one version.
        transaction.conditions.push_back({.address = poolWriteAddress(m_pool), .version = m_poolVersion});
        transaction.changes.push_back({.address = poolWriteAddress(m_pool), .value = std::nullopt});
    }
    for (const RowAddress &outdated : m_outdatedPoolWrites) {
        transaction.changes.push_back({.address = outdated, .value = std::nullopt});
    }
    transaction.changes.push_back({.address = poolAddress(), .value = toText(pool)});
    transaction.changes.push_back({.address = poolWriteAddress(pool), .value = "{}"});
}

void TeamHolding::beginGeneration(StoreGeneration generation, Instant now)
{
    if (m_loaded) {
        m_drawsFrom = now + m_options.policy.restoreTime;
    }
    // An answer to the flush in flight will not come, and both of its outcomes are possible. What it draws is not held, and what it
    // returns, borrowed tokens included, may be held by others.
    if (m_row) {
        m_row->granted = granted();
        m_restoring = true;
    }
    m_inFlight.reset();
    m_lostEarlier = m_writtenInGeneration ? m_pool.lostRows : std::max(m_lostEarlier, m_pool.lostRows);
    m_generationSeenAt = now;
    m_recentHolders = recentBeforeReturn(m_holdersSince) ? m_holders : 0;
    m_writtenInGeneration = false;
    m_addsLostRows = false;
    if (m_predecessor) {
        // What it spent is not known any more if the copy has no row of it.
        m_startedIn = generation;
        m_recoveredFrom.reset();
    }
    m_generation = generation;
    m_seenVersion = 0;
    m_markVersion = 0;
    m_markChecked = false;
    m_newestInCopy = 0;
    m_pool = {};
    m_poolVersion = 0;
    m_rowVersion = 0;
    m_predecessor.reset();
    m_loaded = false;
    m_lastFlush.reset();
}

void TeamHolding::dropEarlierDraw(const StoredRow &row)
{
    HolderRow seen = holderRowFrom(row);
    if (seen.incarnation == m_options.incarnation && seen.generation < m_generation) {
        // The first flush of this process, whose answer was lost with the earlier generation. It may have taken effect after the return.
        m_row = std::move(seen);
        m_row->granted = committed();
        m_restoring = true;
    }
}

void TeamHolding::adoptCopiedRow(const StoredRow *row)
{
    m_rowVersion = row == nullptr ? 0 : row->version;
    m_countedInPool = 0;
    if (row == nullptr) {
        // The first rows at this address were lost, those of the processes that this one recovered too.
        for (const auto &[incarnation, spent] : m_spentByRecovered) {
            m_countedInPool -= spent;
        }
        return;
    }
    const HolderRow seen = holderRowFrom(*row);
    if (seen.incarnation == m_options.incarnation) {
        m_countedInPool = seen.granted;
        // The row is in the store again, so what it announced holds again.
        m_announcements.push_back({.limit = seen.draws});
        m_announcements.push_back({.limit = {.ceiling = seen.draws.older, .prepaid = seen.draws.prepaid}});
        return;
    }
    if (seen.generation == m_generation) {
        // Written since the return, so by a process that could bind this address.
        m_fenced = true;
        return;
    }
    // The row of a dead process that this one, or one in between, had recovered.
    const auto recovered = m_spentByRecovered.find(seen.incarnation);
    const Tokens spent = recovered != m_spentByRecovered.end() ? recovered->second : std::max(seen.granted, seen.draws.most(prepaid()));
    m_countedInPool = seen.granted - spent;
}

Tokens TeamHolding::grantLimit(Instant now) const
{
    Tokens limit = std::numeric_limits<Tokens>::max();
    for (const Announcement &announcement : m_announcements) {
        if (!announcement.until || now < *announcement.until) {
            limit = std::min(limit, announcement.limit.most(prepaid()));
        }
    }
    if (m_predecessor && m_predecessor->generation == m_generation) {
        const DrawLimit &inherited = m_predecessor->draws;
        limit = std::min(limit, std::min(inherited.most(prepaid()), inherited.older) - spentByPredecessor());
    }
    return limit;
}

DrawLimit TeamHolding::drawLimit(Tokens granted, Tokens free, std::size_t routers, Instant now) const
{
    const HoldingPolicy &policy = m_options.policy;
    const double own = demand(now);
    const double ofAll = own + static_cast<double>(m_demandOfActive);
    const double ownPart = ofAll > 0 ? own / ofAll : 0;
    const auto holders = static_cast<double>(std::max<std::size_t>(1, m_assignedCount.value_or(routers)));
    const double equalParts = m_assigned ? policy.headroomEqualParts / holders : 0;
    const double share = std::min(1.0, std::max(equalParts, policy.headroomFactor * ownPart));
    const double aim = own > 0 ? own * seconds(policy.holdingSpan) + static_cast<double>(s_extraRequests * typicalUse()) : 0;
    double headroom = share * static_cast<double>(std::max<Tokens>(0, free));
    headroom = std::max({headroom, policy.minHeadroom * aim, policy.minHeadroomParts * static_cast<double>(prepaid()) / holders});
    return {.ceiling = granted + static_cast<Tokens>(headroom),
            .prepaid = prepaid(),
            .share = fraction(share, DrawLimit::s_wholeShare),
            .older = std::clamp<Tokens>(grantLimit(now), 0, DrawLimit::s_unlimited)};
}

bool TeamHolding::mayDraw(Instant now) const
{
    const bool allDrawable = m_reservedForOthers == 0 && m_pool.withheldForLostRows() == 0;
    const bool leftByOthers = allDrawable || drawableInPool() > 0;
    return now >= m_drawsFrom && leftByOthers && grantLimit(now) > (m_row ? m_row->granted : 0);
}

void TeamHolding::endAnnouncements(std::uint64_t flushSequence, Instant now)
{
    std::erase_if(m_announcements, [now](const Announcement &announcement) {
        return announcement.until && *announcement.until <= now;
    });
    for (Announcement &announcement : m_announcements) {
        if (announcement.flushSequence < flushSequence && !announcement.until) {
            announcement.until = now + m_options.policy.maxCopyAge;
        }
    }
}

void TeamHolding::adoptPoolRow(const StoredRow &row)
{
    if (row.version > m_poolVersion) {
        m_pool = poolRowFrom(row);
        m_poolVersion = row.version;
    }
}

void TeamHolding::adoptOwnRow(const StoredRow &row)
{
    if (row.version == m_rowVersion) {
        return;
    }
    HolderRow seen = holderRowFrom(row);
    m_rowVersion = row.version;
    if (seen.incarnation == m_options.incarnation) {
        m_row = std::move(seen);
        return;
    }
    if (m_row) {
        // Only a process that could bind this address takes over its row. This process is therefore no longer reachable there and must not
        // commit anything more: its successor has returned the rest to the pool.
        m_fenced = true;
        return;
    }
    m_recoveredFrom = std::min(m_recoveredFrom.value_or(seen.startedIn), seen.startedIn);
    m_predecessor = std::move(seen);
}

void TeamHolding::handleRowRemoved()
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
    const double usedShare = m_boundSum > 0 ? m_usedSum / m_boundSum : s_initialUsedShare;
    return static_cast<Tokens>(usedShare * m_demand.averageBound());
}

Tokens TeamHolding::desiredHolding(std::size_t routers, Instant now) const
{
    if (!m_assigned) {
        return 0;
    }
    const HoldingPolicy &policy = m_options.policy;
    const double own = demand(now);
    const auto ahead = static_cast<Tokens>(own * seconds(policy.holdingSpan));
    const bool warmedUp = m_servingSince && now - *m_servingSince >= policy.warmUpTime;
    const Tokens held = m_row ? m_row->granted - committed() : 0;
    const Tokens left = std::max<Tokens>(0, freeInPool() + m_unusedByActive + held);
    // A share of what remains, not of what was paid for: routers that restart late in the day would otherwise take all of it before demand
    // is known.
    const Tokens initial = warmedUp ? 0 : fraction(policy.initialShare, left) / static_cast<Tokens>(m_assignedCount.value_or(routers));
    const Tokens wanted = std::max(initial, own > 0 ? ahead + s_extraRequests * typicalUse() : 0);
    if (!warmedUp || own <= 0) {
        return wanted;
    }
    const double ownPart = own / (own + static_cast<double>(m_demandOfActive));
    return std::min(wanted, fraction(policy.scarceShare * ownPart, left));
}

Tokens TeamHolding::wantedChange(std::size_t routers, Instant now) const
{
    const HoldingPolicy &policy = m_options.policy;
    const Tokens held = m_row ? m_row->granted - committed() : 0;
    const Tokens free = freeInPool();
    if (m_closing) {
        return -held;
    }
    if (free < 0) {
        // The team's prepaid amount was lowered below what is allocated.
        return -std::min(held, -free);
    }
    const Tokens desired = desiredHolding(routers, now);
    const Tokens keep = std::max(desired, m_waiting);
    const Tokens spare = m_assigned ? fraction(policy.surplusFactor, keep) + typicalUse() : keep;
    if (held > spare) {
        return keep - held;
    }
    if (held >= fraction(policy.refillBelow, desired) && held >= m_waiting) {
        return 0;
    }
    if (now < m_drawsFrom) {
        return 0;
    }
    const Tokens change = std::min({keep - held, drawableInPool(), grantLimit(now) - (m_row ? m_row->granted : 0)});
    const bool worthwhile = change >= fraction(policy.minChangeShare, desired) || held < m_waiting;
    return worthwhile ? std::max<Tokens>(0, change) : 0;
}

std::optional<Instant> TeamHolding::nextFlush(std::size_t routers, Instant now) const
{
    const HoldingPolicy &policy = m_options.policy;
    if (!canFlush()) {
        return std::nullopt;
    }
    const Tokens held = m_row ? m_row->granted - committed() : 0;
    const bool uninvolved = !m_row && !m_predecessor && !m_inFlight && m_waiting == 0 && (!m_assigned || m_closing) && m_borrowed == 0;
    if (uninvolved) {
        return std::nullopt;
    }
    const Instant last = m_lastFlush.value_or(Instant{});
    if (!m_lastFlush) {
        return last;
    }
    if (m_closing && closed()) {
        return std::nullopt;
    }
    if (m_closing || m_restoring || (held < m_waiting && mayDraw(now))) {
        return last + policy.urgentInterval;
    }
    if (m_inFlight || m_predecessor || (m_assigned && !m_row) || wantedChange(routers, now) != 0) {
        return last + policy.transferInterval;
    }
    if (!m_row) {
        return std::nullopt;
    }
    const bool changed = (m_assigned && m_borrowed > 0) || m_row->committed != committed();
    const auto wanted = static_cast<Tokens>(demand(now));
    if (!changed && held == 0 && wanted == 0 && m_row->demand == 0) {
        // Nothing has changed that another router would need.
        return std::nullopt;
    }
    return last + (changed && !ample(now) ? policy.flushInterval : policy.refreshInterval);
}

HolderRow TeamHolding::rowAfter(Tokens change, std::size_t routers, Instant now) const
{
    const Tokens granted = (m_row ? m_row->granted : 0) + change;
    return {.incarnation = m_options.incarnation,
            .flushSequence = m_flushSequence,
            .granted = granted,
            .settled = m_settled,
            .committed = committed(),
            .demand = static_cast<Tokens>(demand(now)),
            .writtenAt = minStoreTime(now),
            .generation = m_generation,
            .startedIn = std::min(m_startedIn.value_or(m_generation), m_recoveredFrom.value_or(m_generation)),
            .link = m_options.link,
            .draws = drawLimit(granted, drawableInPool() - change, routers, now)};
}

bool TeamHolding::canFlush() const
{
    // The next flush recovers what a dead process left, for which that process's checkpoint must be final.
    return m_loaded && !m_fenced && (!m_predecessor || m_checkpoint.predecessorsFenced());
}

std::optional<RowTransaction> TeamHolding::planFlush(std::size_t routers, Instant now)
{
    if (!canFlush()) {
        return std::nullopt;
    }
    m_lastFlush = now;
    if (m_inFlight) {
        return m_inFlight->transaction;
    }
    const std::size_t holders = m_assignedCount.value_or(routers);
    if (holders > m_holders) {
        m_holdersSince = now;
    }
    m_holders = holders > m_holders || now - m_holdersSince >= m_options.policy.firstRowSpan ? holders : m_holders;
    const std::int64_t lostRows = countLostRows(routers);
    const bool moreLost = lostRows > m_pool.lostRows;
    // Only a process that started before the return writes its first row again; a new one may have had a predecessor here that lost it.
    const bool writesLostRow = m_pool.lostRows > 0 && m_rowVersion == 0 && m_startedIn < m_generation && !m_writtenInGeneration;
    const Tokens wanted = m_restoring ? 0 : wantedChange(routers, now);
    const Tokens change = moreLost ? std::min<Tokens>(0, wanted) : wanted;
    ++m_flushSequence;
    Flush flush{.row = rowAfter(change, routers, now)};
    flush.removesRow = m_closing && m_reserved == 0 && !m_restoring;
    flush.transaction.conditions.push_back({.address = ownAddress(), .version = m_rowVersion});
    addGenerationMark(flush.transaction, now);
    const bool changesLost = moreLost || writesLostRow;
    if (change != 0 || m_restoring || m_predecessor || m_poolVersion == 0 || flush.removesRow || m_borrowed > 0 || changesLost) {
        // Holders that write their rows again conflict over the pool, and a flush that may have been applied keeps what it returns.
        flush.returned = m_restoring ? 0 : std::exchange(m_borrowed, 0);
        const PoolRow pool = poolAfter(change, flush, std::max(lostRows, m_pool.lostRows - static_cast<std::int64_t>(writesLostRow)));
        addPoolWrite(flush.transaction, pool);
        flush.pool = pool;
    }
    // Tokens that a closing holder has spent stay allocated in the pool, so its row can be removed.
    const std::optional<std::string> value = flush.removesRow ? std::nullopt : std::optional(toText(flush.row));
    flush.transaction.changes.push_back({.address = ownAddress(), .value = value});
    if (m_predecessor && m_predecessor->generation == m_generation) {
        const DrawLimit &inherited = m_predecessor->draws;
        const Tokens spent = spentByPredecessor();
        m_announcements.push_back(
            {.limit = {.ceiling = inherited.ceiling - spent, .prepaid = inherited.prepaid, .share = inherited.share}});
        m_announcements.push_back({.limit = {.ceiling = inherited.older - spent, .prepaid = inherited.prepaid}});
    }
    m_announcements.push_back({.flushSequence = m_flushSequence, .limit = flush.row.draws});
    m_inFlight = std::move(flush);
    return m_inFlight->transaction;
}

void TeamHolding::flushAnswered(const RowTransactionResult &verdict, Instant now)
{
    setStoreTime(verdict.storeTime, now);
    if (!m_inFlight || verdict.generation < m_generation) {
        return;
    }
    if (verdict.generation > m_generation) {
        flushAnsweredAfterReturn(verdict, now);
        return;
    }
    m_seenVersion = std::max(m_seenVersion, verdict.version);
    if (verdict.applied) {
        endAnnouncements(m_inFlight->row.flushSequence, now);
        if (m_predecessor) {
            m_spentByRecovered[m_predecessor->incarnation] = spentByPredecessor();
        }
        m_predecessor.reset();
        m_restoring = false;
        m_writtenInGeneration = true;
        m_markVersion = m_markVersion != 0 ? m_markVersion : verdict.version;
        m_rowVersion = m_inFlight->removesRow ? 0 : verdict.version;
        m_row = m_inFlight->removesRow ? std::nullopt : std::optional(m_inFlight->row);
        if (m_inFlight->pool) {
            m_pool = *m_inFlight->pool;
            m_poolVersion = verdict.version;
            m_outdatedPoolWrites.clear();
        }
        m_inFlight.reset();
        return;
    }
    if (m_restoring) {
        // The rows that the copy had have changed since they were read, possibly by an earlier copy of this flush.
        m_inFlight.reset();
        m_loaded = false;
        return;
    }
    bool ownSeen = false;
    m_markVersion = 0;
    for (const StoredRow &row : verdict.current) {
        if (row.address == ownAddress()) {
            ownSeen = true;
            adoptOwnRow(row);
        } else if (isGenerationKey(row.address.key)) {
            adoptMark(row);
        } else if (row.address.key == s_poolKey) {
            adoptPoolRow(row);
        }
    }
    const bool tookEffectBefore = m_row && m_row->flushSequence == m_inFlight->row.flushSequence;
    if (tookEffectBefore) {
        endAnnouncements(m_inFlight->row.flushSequence, now);
        m_predecessor.reset();
        m_writtenInGeneration = true;
        m_inFlight->returned = 0;
    }
    if (!ownSeen && m_rowVersion != 0) {
        const bool removedByThis = m_inFlight->removesRow;
        handleRowRemoved();
        m_fenced = m_fenced && !removedByThis;
        m_inFlight->returned = removedByThis ? 0 : m_inFlight->returned;
    }
    // The rows that this flush took for lost may have been written in the meantime.
    m_loaded = !(m_inFlight->pool && m_inFlight->pool->lostRows > 0 && !m_writtenInGeneration);
    abandonFlush();
    // The next attempt does not have to wait, because this one failed only on outdated rows.
    m_lastFlush = now - m_options.policy.refreshInterval;
}

void TeamHolding::flushAnsweredAfterReturn(const RowTransactionResult &verdict, Instant now)
{
    if (verdict.applied && m_inFlight->removesRow) {
        m_row.reset();
        m_rowVersion = 0;
    } else if (verdict.applied && !m_row) {
        // The first row of this process. It was drawn from a pool that may have forgotten other draws, so nothing of it is held.
        m_row = m_inFlight->row;
        m_row->granted = 0;
        if (m_predecessor) {
            m_spentByRecovered[m_predecessor->incarnation] = spentByPredecessor();
        }
    }
    if (verdict.applied) {
        m_predecessor.reset();
    }
    beginGeneration(verdict.generation, now);
}

void TeamHolding::abandonFlush()
{
    m_borrowed += m_inFlight->returned;
    m_inFlight.reset();
}

void TeamHolding::flushDeclined()
{
    if (m_inFlight && !m_inFlight->outcomeUnknown) {
        std::erase_if(m_announcements, [this](const Announcement &announcement) {
            return announcement.flushSequence == m_inFlight->row.flushSequence;
        });
        abandonFlush();
    }
}

void TeamHolding::flushLost()
{
    if (m_inFlight) {
        m_inFlight->outcomeUnknown = true;
    }
}

bool TeamHolding::closed() const
{
    return m_fenced || (m_loaded && !m_row && !m_inFlight && m_borrowed == 0);
}

}
