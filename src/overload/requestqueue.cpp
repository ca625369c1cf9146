#include "overload/requestqueue.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>
#include <tuple>

namespace bamboohold {

namespace {

/// Ranks beyond this one share it; a service has a handful.
constexpr std::size_t s_maxRank = 63;
/// A rate is known once requests have waited for this long within the window.
constexpr double s_minWaitedSeconds = 0.5;
constexpr std::size_t s_latestSpans = 3;
constexpr double s_minLatestWaitedSeconds = 0.15;
constexpr Duration s_rateSpan = std::chrono::milliseconds(100);
constexpr double s_answerTimeWeight = 0.125;
/// Mean and this many mean deviations of the time to the first byte, which most answers keep.
constexpr double s_answerDeviations = 4;
/// Quarters of the objective that the expected time to the first byte takes at most, so that requests are told apart even where all
/// targets are slow.
constexpr int s_maxAnswerQuarters = 3;
constexpr double s_msPerSecond = 1000;
/// At most one of this many dispatches is for a promised request while others wait.
constexpr double s_promisedInterval = 2;

}

std::string_view refusalName(QueueRefusal refusal)
{
    switch (refusal) {
    case QueueRefusal::Full:
        return "full";
    case QueueRefusal::ExpectedWait:
        return "expected_wait";
    case QueueRefusal::Waited:
        return "waited";
    case QueueRefusal::Displaced:
        return "displaced";
    case QueueRefusal::Draining:
        return "draining";
    }
    return "";
}

std::string_view refusalDetail(QueueRefusal refusal)
{
    switch (refusal) {
    case QueueRefusal::Full:
        return "the request queue is full";
    case QueueRefusal::ExpectedWait:
        return "the expected wait for a target is longer than the request may wait";
    case QueueRefusal::Waited:
        return "no target had capacity for as long as the request may wait";
    case QueueRefusal::Displaced:
        return "a more urgent request took its place in the full request queue";
    case QueueRefusal::Draining:
        return "this router ends before the request would";
    }
    return "";
}

RequestQueue::RequestQueue(Options options)
    : m_options(options)
{
}

bool RequestQueue::precedes(const Waiting &first, const Waiting &second, Instant now)
{
    const auto key = [now](const Waiting &waiting) {
        return std::tuple(now >= waiting.timelyUntil, waiting.entry.rank, waiting.startTag, waiting.sequence);
    };
    return key(first) < key(second);
}

bool RequestQueue::outlasts(const Waiting &first, const Waiting &second, Instant now)
{
    if (first.entry.promised != second.entry.promised) {
        return first.entry.promised;
    }
    return precedes(first, second, now);
}

const RequestQueue::Waiting *RequestQueue::nextPromised(Instant now) const
{
    const auto key = [now](const Waiting &waiting) {
        return std::tuple(now >= waiting.timelyUntil, waiting.entry.arrived, waiting.sequence);
    };
    const Waiting *next = nullptr;
    for (const Waiting &waiting : m_entries) {
        if (waiting.entry.promised && !waiting.attempted && (next == nullptr || key(waiting) < key(*next))) {
            next = &waiting;
        }
    }
    return next;
}

RequestQueue::Iterator RequestQueue::find(Id id)
{
    return std::ranges::find(m_entries, id, [](const Waiting &waiting) {
        return waiting.entry.id;
    });
}

bool RequestQueue::mayBePassed(Id id)
{
    const Iterator found = find(id);
    return found == m_entries.end() || found->timesPassed < m_options.maxTimesPassed;
}

RequestQueue::Rank &RequestQueue::rank(std::size_t index)
{
    if (index >= m_ranks.size()) {
        m_ranks.resize(index + 1);
    }
    return m_ranks[index];
}

bool RequestQueue::mayBypass(std::size_t rank, bool promised) const
{
    if (promised && !m_promisedLast) {
        return true;
    }
    const std::size_t ranks = std::min(m_ranks.size(), std::min(rank, s_maxRank) + 1);
    return std::none_of(m_ranks.begin(), m_ranks.begin() + static_cast<std::ptrdiff_t>(ranks), [](const Rank &state) {
        return state.waiting > 0;
    });
}

std::size_t RequestQueue::sizeClass(Tokens tokens)
{
    return std::min<std::size_t>(s_sizeClasses - 1, std::bit_width(static_cast<std::uint64_t>(std::max<Tokens>(1, tokens))));
}

Instant RequestQueue::timelyUntil(const Entry &entry) const
{
    if (entry.objective <= Duration::zero()) {
        return Instant::max();
    }
    const AnswerTime &time = m_answerTimes[sizeClass(entry.tokens)];
    const auto answer = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(time.meanMs + s_answerDeviations * time.deviationMs));
    return entry.arrived + entry.objective - std::min(answer, entry.objective * s_maxAnswerQuarters / 4);
}

void RequestQueue::assignTag(Waiting &waiting)
{
    Rank &state = rank(waiting.entry.rank);
    double &finish = state.finishTags[waiting.entry.team];
    waiting.startTag = std::max(state.virtualTime, finish);
    finish = waiting.startTag + static_cast<double>(waiting.entry.tokens);
    // A tag that is not above the virtual time has no effect.
    if (state.finishTags.size() > 2 * m_options.maxRequests) {
        absl::erase_if(state.finishTags, [&state](const auto &tag) {
            return tag.second <= state.virtualTime;
        });
    }
}

std::optional<std::vector<RequestQueue::Id>> RequestQueue::makeRoom(const Waiting &arriving, std::size_t bytesElsewhere, Instant now) const
{
    const std::size_t bytes = m_bytes + bytesElsewhere + arriving.entry.bytes;
    const std::size_t excessBytes = m_options.maxBytes > 0 && bytes > m_options.maxBytes ? bytes - m_options.maxBytes : 0;
    std::size_t excessRequests = m_entries.size() >= m_options.maxRequests ? 1 : 0;
    std::vector<Id> displaced;
    if (excessBytes == 0 && excessRequests == 0) {
        return displaced;
    }
    std::vector<const Waiting *> later;
    for (const Waiting &waiting : m_entries) {
        if (!waiting.attempted && outlasts(arriving, waiting, now)) {
            later.push_back(&waiting);
        }
    }
    std::ranges::sort(later, [now](const Waiting *first, const Waiting *second) {
        return outlasts(*second, *first, now);
    });
    std::size_t freed = 0;
    for (const Waiting *last : later) {
        if (freed >= excessBytes && displaced.size() >= excessRequests) {
            break;
        }
        displaced.push_back(last->entry.id);
        freed += last->entry.bytes;
    }
    const bool fits = freed >= excessBytes && displaced.size() >= excessRequests;
    return fits ? std::optional(std::move(displaced)) : std::nullopt;
}

std::optional<double> RequestQueue::expectedWait(const Waiting &arriving, Instant now) const
{
    const std::optional<double> total = dispatchRate(now);
    if (!total) {
        return std::nullopt;
    }
    double moreUrgent = 0;
    double sameRank = 0;
    if (arriving.entry.promised) {
        for (const Waiting &waiting : m_entries) {
            sameRank += waiting.entry.promised ? static_cast<double>(waiting.entry.tokens) : 0;
        }
        return s_promisedInterval * sameRank / *total;
    }
    for (const Waiting &waiting : m_entries) {
        if (precedes(waiting, arriving, now)) {
            (waiting.entry.rank < arriving.entry.rank ? moreUrgent : sameRank) += static_cast<double>(waiting.entry.tokens);
        }
    }
    // More urgent requests keep arriving, so a rank gets only what they leave, and at least its reserved part.
    const double left = std::max(dispatchRate(now, arriving.entry.rank).value_or(0), *total / m_options.reservedInterval);
    return moreUrgent / *total + sameRank / left;
}

RequestQueue::Admission RequestQueue::enqueue(Entry entry, std::size_t bytesElsewhere, Instant now)
{
    advanceRate(now);
    entry.rank = std::min(entry.rank, s_maxRank);
    entry.tokens = std::max<Tokens>(1, entry.tokens);
    Waiting arriving{.entry = std::move(entry), .sequence = m_sequence + 1};
    arriving.timelyUntil = timelyUntil(arriving.entry);
    const bool fewPromised = static_cast<double>(m_promised) < m_options.mostPromised * static_cast<double>(m_options.maxRequests);
    arriving.entry.promised = arriving.entry.promised && fewPromised;
    // The tag is charged to the team only if the request waits.
    Rank &state = rank(arriving.entry.rank);
    const auto finish = state.finishTags.find(arriving.entry.team);
    arriving.startTag = std::max(state.virtualTime, finish == state.finishTags.end() ? 0 : finish->second);
    const std::optional<double> wait = expectedWait(arriving, now);
    if (wait && *wait > seconds(arriving.entry.waitUntil - now)) {
        return {.refused = QueueRefusal::ExpectedWait};
    }
    std::optional<std::vector<Id>> displaced = makeRoom(arriving, bytesElsewhere, now);
    if (!displaced) {
        return {.refused = QueueRefusal::Full};
    }
    for (const Id id : *displaced) {
        remove(id, now);
    }
    ++m_sequence;
    m_bytes += arriving.entry.bytes;
    assignTag(arriving);
    ++rank(arriving.entry.rank).waiting;
    m_promised += arriving.entry.promised ? 1 : 0;
    m_entries.push_back(std::move(arriving));
    return {.displaced = *std::move(displaced)};
}

const RequestQueue::Waiting *RequestQueue::longestOfRank(std::size_t rank, bool skipAttempted) const
{
    const Waiting *longest = nullptr;
    for (const Waiting &waiting : m_entries) {
        if (waiting.entry.rank != rank || (skipAttempted && waiting.attempted)) {
            continue;
        }
        const bool longer =
            longest == nullptr || std::tie(waiting.entry.arrived, waiting.sequence) < std::tie(longest->entry.arrived, longest->sequence);
        longest = longer ? &waiting : longest;
    }
    return longest;
}

std::size_t RequestQueue::leastUrgentRank() const
{
    std::size_t rank = m_ranks.size();
    while (rank > 0 && m_ranks[rank - 1].waiting == 0) {
        --rank;
    }
    return rank > 0 ? rank - 1 : 0;
}

const RequestQueue::Waiting *RequestQueue::dueReserved() const
{
    const std::size_t leastUrgent = leastUrgentRank();
    for (std::size_t rank = m_ranks.size(); rank-- > 0;) {
        // A rank between is due sooner, so that it is served no less than the least urgent one. The most urgent one comes first anyway.
        const unsigned interval = rank == leastUrgent ? m_options.reservedInterval : m_options.reservedInterval / 2;
        const bool due = m_ranks[rank].waiting > 0 && m_ranks[rank].sinceReserved + 1 >= interval;
        const Waiting *longest = due && (rank > 0 || rank == leastUrgent) ? longestOfRank(rank, true) : nullptr;
        if (longest != nullptr) {
            return longest;
        }
    }
    return nullptr;
}

void RequestQueue::countSinceReserved(std::size_t dispatchedRank, bool longestOfItsRank)
{
    for (std::size_t index = 0; index < m_ranks.size(); ++index) {
        const bool served = index == dispatchedRank && (longestOfItsRank || index != leastUrgentRank());
        m_ranks[index].sinceReserved = served || m_ranks[index].waiting == 0 ? 0 : m_ranks[index].sinceReserved + 1;
    }
}

std::optional<RequestQueue::Attempt> RequestQueue::beginAttempt(Instant now, const std::optional<Attempt> &failed)
{
    const Waiting *next = nullptr;
    const bool passable = failed && mayBePassed(failed->first);
    if (!failed && !m_reservedAttempt) {
        next = dueReserved();
        next = next == nullptr && m_promised > 0 && !m_promisedLast ? nextPromised(now) : next;
    }
    const bool reserved = next != nullptr;
    if (!reserved) {
        for (const Waiting &waiting : m_entries) {
            const bool differs =
                !failed || failed->reserved || (passable && now < waiting.timelyUntil && 2 * waiting.entry.tokens <= failed->fewestTokens);
            if (!waiting.attempted && differs && (next == nullptr || precedes(waiting, *next, now))) {
                next = &waiting;
            }
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    Waiting &chosen = m_entries[static_cast<std::size_t>(next - m_entries.data())];
    chosen.attempted = true;
    chosen.reserved = reserved;
    chosen.passes = failed ? std::optional(failed->first) : std::nullopt;
    m_reservedAttempt = m_reservedAttempt || reserved;
    if (reserved) {
        return Attempt{.id = chosen.entry.id, .rank = chosen.entry.rank, .reserved = true, .promised = chosen.entry.promised};
    }
    return Attempt{.id = chosen.entry.id,
                   .rank = chosen.entry.rank,
                   .fewestTokens = failed ? std::min(failed->fewestTokens, chosen.entry.tokens) : chosen.entry.tokens,
                   .first = failed && failed->first != 0 ? failed->first : chosen.entry.id};
}

void RequestQueue::attemptFailed(Id id)
{
    const Iterator found = find(id);
    if (found != m_entries.end()) {
        m_reservedAttempt = m_reservedAttempt && !found->reserved;
        found->attempted = false;
        found->reserved = false;
    }
}

void RequestQueue::dispatched(Id id, Instant now)
{
    const Iterator found = find(id);
    if (found == m_entries.end()) {
        return;
    }
    countDispatch(found->entry.rank, found->entry.tokens, now);
    m_promisedLast = found->entry.promised;
    countSinceReserved(found->entry.rank, &*found == longestOfRank(found->entry.rank, false));
    if (const Iterator passed = found->passes ? find(*found->passes) : m_entries.end(); passed != m_entries.end()) {
        ++passed->timesPassed;
    }
    Rank &state = rank(found->entry.rank);
    state.virtualTime = std::max(state.virtualTime, found->startTag);
    erase(found);
}

void RequestQueue::bypassed(std::size_t rank, Tokens tokens, Instant now, bool promised)
{
    if (!m_entries.empty()) {
        m_promisedLast = promised;
        countSinceReserved(rank, false);
        countDispatch(rank, std::max<Tokens>(1, tokens), now);
    }
}

void RequestQueue::countDispatch(std::size_t rank, Tokens tokens, Instant now)
{
    advanceRate(now);
    rateSpan(now).tokens[std::min(rank, s_rateRanks - 1)] += static_cast<double>(tokens);
}

void RequestQueue::remove(Id id, Instant now)
{
    const Iterator found = find(id);
    if (found != m_entries.end()) {
        advanceRate(now);
        refundTeam(*found);
        erase(found);
    }
}

void RequestQueue::refundTeam(const Waiting &removed)
{
    Rank &state = rank(removed.entry.rank);
    const auto tokens = static_cast<double>(removed.entry.tokens);
    for (Waiting &waiting : m_entries) {
        const bool behind = waiting.entry.rank == removed.entry.rank && waiting.sequence > removed.sequence;
        if (behind && waiting.entry.team == removed.entry.team) {
            waiting.startTag = std::max(removed.startTag, waiting.startTag - tokens);
        }
    }
    double &finish = state.finishTags[removed.entry.team];
    finish = std::max(removed.startTag, finish - tokens);
}

void RequestQueue::erase(Iterator entry)
{
    Rank &state = rank(entry->entry.rank);
    if (--state.waiting == 0) {
        state.virtualTime = 0;
        state.finishTags.clear();
    }
    m_bytes -= entry->entry.bytes;
    m_promised -= entry->entry.promised ? 1 : 0;
    m_reservedAttempt = m_reservedAttempt && !entry->reserved;
    if (entry != std::prev(m_entries.end())) {
        *entry = std::move(m_entries.back());
    }
    m_entries.pop_back();
}

void RequestQueue::setRank(Id id, std::size_t newRank)
{
    const Iterator found = find(id);
    newRank = std::min(newRank, s_maxRank);
    if (found == m_entries.end() || found->entry.rank == newRank) {
        return;
    }
    refundTeam(*found);
    Rank &former = rank(found->entry.rank);
    if (--former.waiting == 0) {
        former.virtualTime = 0;
        former.finishTags.clear();
    }
    found->entry.rank = newRank;
    found->sequence = ++m_sequence;
    assignTag(*found);
    ++rank(newRank).waiting;
}

void RequestQueue::recordFirstByte(Tokens tokens, Duration elapsed)
{
    AnswerTime &time = m_answerTimes[sizeClass(tokens)];
    const double sample = std::max(0.0, seconds(elapsed) * s_msPerSecond);
    if (!time.known) {
        time = {.meanMs = sample, .deviationMs = sample / 2, .known = true};
        return;
    }
    const double error = sample - time.meanMs;
    time.meanMs += s_answerTimeWeight * error;
    time.deviationMs += s_answerTimeWeight * (std::abs(error) - time.deviationMs);
}

std::vector<RequestQueue::Id> RequestQueue::expire(Instant now)
{
    std::vector<Id> expired;
    for (const Waiting &waiting : m_entries) {
        if (now >= waiting.entry.waitUntil && !waiting.attempted) {
            expired.push_back(waiting.entry.id);
        }
    }
    for (const Id id : expired) {
        remove(id, now);
    }
    return expired;
}

RequestQueue::RateSpan &RequestQueue::rateSpan(Instant now)
{
    const std::int64_t index = now.time_since_epoch() / s_rateSpan;
    RateSpan &span = m_rateSpans[static_cast<std::size_t>(index) % s_rateSpans];
    if (span.index != index) {
        span = {.index = index};
    }
    return span;
}

void RequestQueue::advanceRate(Instant now)
{
    // A host that was suspended dispatched nothing meanwhile, so a longer gap counts as one span.
    const Duration gap = std::clamp(now - m_rateAdvancedAt, Duration::zero(), Duration(s_rateSpan));
    if (!m_entries.empty()) {
        rateSpan(now).waitedSeconds += seconds(gap);
    }
    m_rateAdvancedAt = std::max(m_rateAdvancedAt, now);
}

std::optional<double> RequestQueue::rateOver(std::size_t spans, double minWaitedSeconds, std::size_t mostUrgentRank, Instant now) const
{
    const std::int64_t newest = now.time_since_epoch() / s_rateSpan;
    double all = 0;
    double counted = 0;
    double waited = 0;
    for (const RateSpan &span : m_rateSpans) {
        if (span.index > newest - static_cast<std::int64_t>(spans) && span.index <= newest) {
            all = std::accumulate(span.tokens.begin(), span.tokens.end(), all);
            counted = std::accumulate(span.tokens.begin() + std::min(mostUrgentRank, s_rateRanks - 1), span.tokens.end(), counted);
            waited += span.waitedSeconds;
        }
    }
    return waited >= minWaitedSeconds && all > 0 ? std::optional(counted / waited) : std::nullopt;
}

std::optional<double> RequestQueue::dispatchRate(Instant now, std::size_t mostUrgentRank) const
{
    const std::optional<double> window = rateOver(s_rateSpans, s_minWaitedSeconds, mostUrgentRank, now);
    // After a time without targets, the latest spans show what the targets that are back can do.
    const std::optional<double> latest = rateOver(s_latestSpans, s_minLatestWaitedSeconds, mostUrgentRank, now);
    return window ? std::optional(std::max(*window, latest.value_or(0))) : std::nullopt;
}

}
