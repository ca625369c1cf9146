#include "quarantine/quarantine.h"

#include "routing/stablehash.h"

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace bamboohold {

namespace {

/// Maximum number of crashed targets kept for each quarantined request or part, at which it explains the crashes.
constexpr std::size_t s_maxTargetsPerEntry = 64;
/// Every router that had requests on a crashed target reports the crash within this time.
constexpr Duration s_reportDelay = std::chrono::seconds(1);
/// Number of services or models under which trials of a part have crashed targets, after which it is held under all others as well.
constexpr int s_mostCrashedUnder = 2;
/// Trials of parts are this many times further apart on different routers than verdicts, since any router may begin one.
constexpr int s_trialStaggers = 8;
/// Shortest wait returned to a caller whose copy could be the next trial but was not, and the pause after a trial that reached no target.
constexpr Duration s_minWait = std::chrono::seconds(1);

void addTarget(std::vector<std::uint64_t> &targets, std::uint64_t target)
{
    if (targets.size() < s_maxTargetsPerEntry && std::ranges::find(targets, target) == targets.end()) {
        targets.push_back(target);
    }
}

/// Returns a delay that depends on the fingerprint. Without it, all requests quarantined by the same crashes would be tried at the same
/// moment on several routers, before these learn of each other's trials.
Duration firstTrialOffset(const RequestFingerprint &fingerprint)
{
    constexpr std::uint64_t slots = 8;
    constexpr Duration slot = std::chrono::milliseconds(250);
    return static_cast<std::int64_t>(mixed(stableHash(fingerprint.bytes())) % slots) * slot;
}

/// Returns the lowest fingerprint with this address hash in the sort order.
RequestFingerprint lowestFingerprint(std::uint64_t addressHash)
{
    std::array<char, RequestFingerprint::s_size> bytes{};
    boost::endian::store_big_u64(reinterpret_cast<unsigned char *>(bytes.data()), addressHash);
    return *RequestFingerprint::fromBytes({bytes.data(), bytes.size()});
}

template<typename Map>
bool containsAddress(const Map &map, std::uint64_t addressHash)
{
    const auto found = map.lower_bound(lowestFingerprint(addressHash));
    return found != map.end() && found->first.addressHash() == addressHash;
}

}

Duration Quarantine::clampedDuration(std::int64_t milliseconds)
{
    constexpr std::int64_t most = std::chrono::duration_cast<std::chrono::milliseconds>(s_maxTrialInterval).count();
    return std::chrono::milliseconds(std::clamp(milliseconds, -most, most));
}

Quarantine::Quarantine()
    : Quarantine(Options{})
{
}

Quarantine::Quarantine(Options options)
    : m_options(options)
    , m_suspects(options.suspects)
    , m_verdicts(options.partVerdicts)
{
}

std::vector<RequestFingerprint>
Quarantine::recordCrash(std::uint64_t target, std::span<const RequestFingerprint> inFlight, Instant now, Duration ago)
{
    const Instant crash = now - ago;
    m_latest = now;
    m_verdicts.recordCrash({.target = target, .at = crash});
    std::vector<RequestFingerprint> quarantined;
    std::uint64_t request = 0;
    for (const RequestFingerprint &fingerprint : inFlight) {
        if (!fingerprint.isPart()) {
            request = stableHash(fingerprint.bytes());
        }
        if (answeredSince(fingerprint, crash)) {
            continue;
        }
        if (const auto known = m_entries.find(fingerprint); known != m_entries.end()) {
            Entry &entry = known->second;
            // Copies that were already in flight when the request was first quarantined change nothing. A copy on trial does, whichever
            // router started the trial, because that router may have terminated.
            const bool onTrial = entry.trialBegan && now - *entry.trialBegan <= s_trialTimeout && crash >= *entry.trialBegan;
            addTarget(entry.crashedTargets, target);
            if (onTrial) {
                recordTrialCrash(fingerprint, entry, now, crash);
                quarantined.push_back(fingerprint);
            }
            continue;
        }
        const Suspect &suspect = m_suspects.add(fingerprint, {.target = target, .at = crash, .request = request}, now);
        if (fingerprint.isPart()) {
            m_verdicts.update(fingerprint, partKnowledge(), now);
        } else if (isLikelyCause(suspect, now)) {
            quarantineSuspect(fingerprint, now);
            quarantined.push_back(fingerprint);
        }
    }
    repeatVoidTrials(now);
    m_suspects.limit();
    limitEntries();
    return quarantined;
}

void Quarantine::repeatVoidTrials(Instant now)
{
    for (auto &[fingerprint, entry] : m_entries) {
        if (entry.trialCrash && m_verdicts.severalAtOnce(*entry.trialCrash)) {
            entry.trialCrash.reset();
            if (entry.trials < m_options.maxPartTrials) {
                entry.nextTrial = now + m_options.extraTrialDelay;
            }
        }
    }
}

void Quarantine::recordTrialCrash(const RequestFingerprint &fingerprint, Entry &entry, Instant now, Instant crash)
{
    entry.trialBegan.reset();
    if (fingerprint.isPart()) {
        ++entry.quarantineLevel;
        entry.trialCrash = crash;
        entry.nextTrial = now + partTrialInterval(entry);
    } else if (entry.trials <= extraTrials(entry)) {
        entry.nextTrial = now + m_options.extraTrialDelay;
    } else {
        ++entry.quarantineLevel;
        entry.nextTrial = now + trialInterval(entry);
    }
    endTrial(fingerprint);
}

void Quarantine::quarantineSuspect(const RequestFingerprint &fingerprint, Instant now)
{
    Entry entry{.nextTrial = now + m_options.firstTrialDelay + firstTrialOffset(fingerprint),
                .quarantineLevel = 1,
                .quarantinedSince = now,
                .answers = answersOf(fingerprint).recentAnswerCount(fingerprint, now)};
    for (const SeenCrash &crash : m_suspects.take(fingerprint)) {
        addTarget(entry.crashedTargets, crash.target);
        entry.lastCrash = std::max(entry.lastCrash, crash.at);
    }
    m_entries[fingerprint] = std::move(entry);
}

bool Quarantine::isExplained(std::uint64_t target, Instant now) const
{
    // Reports of one crash arrive in any order. A request quarantined just now therefore does not explain the crash for the others yet;
    // otherwise a harmless request that was reported first could clear the actual cause.
    return std::ranges::any_of(m_entries, [&](const auto &entry) {
        return now - entry.second.quarantinedSince > s_reportDelay
            && std::ranges::find(entry.second.crashedTargets, target) != entry.second.crashedTargets.end();
    });
}

bool Quarantine::isLikelyCause(const Suspect &suspect, Instant now) const
{
    if (suspect.crashes.size() < m_options.crashThreshold) {
        return false;
    }
    const auto unexplained = std::ranges::count_if(suspect.crashes, [&](const SeenCrash &crash) {
        return !isExplained(crash.target, now);
    });
    return static_cast<std::size_t>(unexplained) >= m_options.crashThreshold;
}

PartVerdicts::Knowledge Quarantine::partKnowledge() const
{
    return {.suspects = m_suspects, .answers = m_partAnswers, .isExplained = [this](std::uint64_t target) {
                return std::ranges::any_of(m_entries, [&](const auto &entry) {
                    return entry.first.isPart()
                        && std::ranges::find(entry.second.crashedTargets, target) != entry.second.crashedTargets.end();
                });
            }};
}

std::vector<RequestFingerprint> Quarantine::decideParts(Instant now)
{
    m_latest = now;
    std::vector<RequestFingerprint> quarantined;
    std::vector<RequestFingerprint> likeliest = m_verdicts.likeliest(partKnowledge(), now);
    while (!likeliest.empty()) {
        for (const RequestFingerprint &fingerprint : likeliest) {
            quarantineSuspect(fingerprint, now);
            quarantined.push_back(fingerprint);
        }
        likeliest = m_verdicts.likeliest(partKnowledge(), now);
    }
    m_verdicts.expire(partKnowledge(), now);
    limitEntries();
    return quarantined;
}

bool Quarantine::recordAnswer(const RequestFingerprint &fingerprint, Instant at)
{
    answersOf(fingerprint).addLocalAnswer(fingerprint, at);
    if (fingerprint.isPart()) {
        m_verdicts.recordAnswer(at);
    }
    const bool mustTell = clear(fingerprint, at);
    if (mustTell) {
        (void)answersOf(fingerprint).takeUnannounced(fingerprint, at - Duration(1));
    }
    return mustTell;
}

bool Quarantine::recordPeerAnswer(const RequestFingerprint &fingerprint, Instant at)
{
    answersOf(fingerprint).addPeerAnswer(fingerprint, at);
    return clear(fingerprint, at);
}

bool Quarantine::clear(const RequestFingerprint &fingerprint, Instant answered)
{
    if (!fingerprint.isPart()) {
        return acquit(fingerprint);
    }
    const bool wasComplete = m_verdicts.isComplete(fingerprint);
    if (m_suspects.clearBefore(fingerprint, answered)) {
        m_verdicts.forget(fingerprint);
        m_verdicts.update(fingerprint, partKnowledge(), m_latest);
    }
    const auto entry = m_entries.find(fingerprint);
    if (entry == m_entries.end() || answered <= entry->second.lastCrash) {
        return wasComplete;
    }
    return acquit(fingerprint);
}

std::vector<RequestFingerprint> Quarantine::unansweredSince(std::span<const RequestFingerprint> inFlight, Instant crash) const
{
    std::vector<RequestFingerprint> unanswered(inFlight.begin(), inFlight.end());
    std::erase_if(unanswered, [&](const RequestFingerprint &fingerprint) {
        return answeredSince(fingerprint, crash).has_value();
    });
    return unanswered;
}

std::optional<Instant> Quarantine::answeredSince(const RequestFingerprint &fingerprint, Instant crash) const
{
    const std::optional<Instant> last = answersOf(fingerprint).lastAnswer(fingerprint);
    return last && *last > crash ? last : std::nullopt;
}

unsigned Quarantine::extraTrials(const Entry &entry) const
{
    return std::min(entry.answers, m_options.maxExtraTrials);
}

bool Quarantine::acquit(const RequestFingerprint &fingerprint)
{
    endTrial(fingerprint);
    m_verdicts.forget(fingerprint);
    const bool wasSuspected = !m_suspects.take(fingerprint).empty();
    const bool wasQuarantined = m_entries.erase(fingerprint) > 0;
    if (wasQuarantined && fingerprint.isPart()) {
        // It does not explain crashes for other parts any more.
        for (const auto &[other, suspect] : m_suspects.all()) {
            if (other.isPart()) {
                m_verdicts.update(other, partKnowledge(), m_latest);
            }
        }
    }
    return wasSuspected || wasQuarantined;
}

bool Quarantine::mergeEntry(const RequestFingerprint &fingerprint, const EntryState &state, Instant now)
{
    if (fingerprint.isPart() && answeredSince(fingerprint, state.lastCrash)) {
        return false;
    }
    const auto [known, isNew] = m_entries.try_emplace(
        fingerprint, Entry{.quarantinedSince = now, .answers = answersOf(fingerprint).recentAnswerCount(fingerprint, now)});
    Entry &entry = known->second;
    const bool longer = state.quarantineLevel > entry.quarantineLevel;
    if (longer) {
        endTrial(fingerprint);
        entry.trialBegan.reset();
    } else if (state.quarantineLevel == entry.quarantineLevel && state.trials > entry.trials && state.trialMayBeUnderWay) {
        m_requestOnTrial = fingerprint;
        m_trialEnds = now + s_trialTimeout;
        entry.trialBegan = now;
    } else if (state.trialBegins && fingerprint.isPart() && !state.jointTrial && entry.trialBegan && state.trials == entry.trials) {
        ++entry.trials;
        entry.nextTrial = now + partTrialInterval(entry);
    }
    entry.answers = std::max(entry.answers, state.answers);
    entry.lastCrash = std::max(entry.lastCrash, state.lastCrash);
    entry.jointTrial = entry.jointTrial || state.jointTrial;
    if (state.quarantineLevel >= entry.quarantineLevel) {
        entry.nextTrial = std::max(entry.nextTrial, state.nextTrial);
        entry.trials = std::max(entry.trials, state.trials);
        entry.quarantineLevel = state.quarantineLevel;
    }
    if (isNew) {
        for (const SeenCrash &crash : m_suspects.take(fingerprint)) {
            addTarget(entry.crashedTargets, crash.target);
        }
        m_verdicts.forget(fingerprint);
        limitEntries();
    }
    return isNew || longer;
}

bool Quarantine::mayContainAddress(std::uint64_t addressHash) const
{
    return containsAddress(m_entries, addressHash) || containsAddress(m_suspects.all(), addressHash);
}

std::optional<Duration> Quarantine::timeToNextTrial(const RequestFingerprint &fingerprint, Instant now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    return std::max(found->second.nextTrial - now, s_minWait);
}

std::optional<Duration> Quarantine::timeToNextTrial(std::span<const RequestFingerprint> request, Instant now) const
{
    std::optional<Duration> longest;
    if (m_entries.empty()) {
        return longest;
    }
    for (const RequestFingerprint &fingerprint : request) {
        // nullopt compares less than any duration.
        longest = std::max(longest, timeToNextTrial(fingerprint, now));
        if (const std::optional<Instant> until = associatedUntil(fingerprint, now)) {
            longest = std::max(longest, std::optional(std::max(Duration(*until - now), s_minWait)));
        }
    }
    if (longest && suspectedParts(request) > 1) {
        for (const RequestFingerprint &fingerprint : request) {
            if (const auto entry = m_entries.find(fingerprint); entry != m_entries.end() && fingerprint.isPart()) {
                longest = std::max(*longest, Duration(jointTrialTime(request, entry->second) - now));
            }
        }
    }
    return longest;
}

std::optional<Instant> Quarantine::associatedUntil(const RequestFingerprint &fingerprint, Instant now) const
{
    if (!fingerprint.isPart() || m_entries.contains(fingerprint) || m_partAnswers.recentAnswerCount(fingerprint, now) > 0) {
        return std::nullopt;
    }
    std::optional<Instant> until;
    int crashedUnder = 0;
    for (auto other = m_entries.lower_bound(lowestFingerprint(fingerprint.addressHash()));
         other != m_entries.end() && other->first.addressHash() == fingerprint.addressHash();
         ++other) {
        if (other->first.isPart()) {
            until = std::max(until.value_or(now), other->second.nextTrial);
            crashedUnder += other->second.quarantineLevel > 1 ? 1 : 0;
        }
    }
    // A caller may name any model. Once trials have crashed targets under two services or models, they would under all.
    return until && crashedUnder < s_mostCrashedUnder ? now : until;
}

void Quarantine::quarantineAssociated(const RequestFingerprint &fingerprint, Instant now)
{
    if (!associatedUntil(fingerprint, now)) {
        return;
    }
    const auto other = m_entries.lower_bound(lowestFingerprint(fingerprint.addressHash()));
    // The first trial counts as one of the second series, so that a crash is followed by a long time without trials.
    m_entries[fingerprint] = {.nextTrial = now,
                              .quarantineLevel = 1,
                              .quarantinedSince = now,
                              .trials = std::clamp(other->second.trials, 1U, m_options.maxPartTrials - 1),
                              .lastCrash = other->second.lastCrash};
    limitEntries();
}

void Quarantine::recordRefusal(std::span<const RequestFingerprint> request, Instant now)
{
    for (const RequestFingerprint &fingerprint : request) {
        const auto entry = m_entries.find(fingerprint);
        if (fingerprint.isPart() && entry != m_entries.end() && entry->second.trials >= m_options.maxPartTrials) {
            entry->second.nextTrial = std::max(entry->second.nextTrial, now + s_maxTrialInterval);
        }
    }
}

std::size_t Quarantine::suspectedParts(std::span<const RequestFingerprint> request) const
{
    return static_cast<std::size_t>(std::ranges::count_if(request, [this](const RequestFingerprint &fingerprint) {
        return fingerprint.isPart() && isTracked(fingerprint);
    }));
}

Instant Quarantine::jointTrialTime(std::span<const RequestFingerprint> request, const Entry &entry) const
{
    // After a first trial only a request without other suspected parts can tell more, so that the next early trials are kept for it.
    if (entry.trials > 0) {
        return entry.quarantinedSince + m_options.shortTrialInterval;
    }
    // A part may be the cause, too, if it was at as many crashes, which only a quarantined part explains.
    const bool otherCause = std::ranges::any_of(request, [this](const RequestFingerprint &fingerprint) {
        const Suspect *suspect = fingerprint.isPart() ? m_suspects.find(fingerprint) : nullptr;
        return suspect != nullptr && suspect->crashes.size() >= m_options.crashThreshold;
    });
    return entry.quarantinedSince + (otherCause ? m_options.doubtfulTrialDelay : m_options.jointTrialDelay);
}

bool Quarantine::mayBeginTrial(const RequestFingerprint &fingerprint, Instant now) const
{
    const auto found = m_entries.find(fingerprint);
    const Duration stagger = fingerprint.isPart() ? s_trialStaggers * m_options.partVerdicts.stagger : Duration::zero();
    const bool due = found != m_entries.end() && now >= found->second.nextTrial + stagger;
    return due && !isTrialUnderWay(now);
}

bool Quarantine::mayBeginTrial(std::span<const RequestFingerprint> request, Instant now) const
{
    const bool joint = suspectedParts(request) > 1;
    return std::ranges::all_of(request, [&](const RequestFingerprint &fingerprint) {
        const auto found = m_entries.find(fingerprint);
        if (found == m_entries.end()) {
            const std::optional<Instant> until = associatedUntil(fingerprint, now);
            return !until || (*until <= now && !isTrialUnderWay(now));
        }
        return mayBeginTrial(fingerprint, now) && (!joint || !fingerprint.isPart() || now >= jointTrialTime(request, found->second));
    });
}

Duration Quarantine::trialInterval(const Entry &entry) const
{
    return entry.quarantineLevel > 2 ? m_options.longTrialInterval : m_options.shortTrialInterval;
}

Duration Quarantine::partTrialInterval(const Entry &entry) const
{
    if (entry.trials >= m_options.maxPartTrials) {
        return s_maxTrialInterval;
    }
    return entry.trials >= m_options.maxEarlyPartTrials ? m_options.shortTrialInterval : m_options.partTrialInterval;
}

void Quarantine::endTrial(const RequestFingerprint &fingerprint)
{
    if (m_requestOnTrial == fingerprint) {
        m_requestOnTrial.reset();
    }
}

void Quarantine::beginTrial(const RequestFingerprint &fingerprint, Instant now)
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return;
    }
    Entry &entry = found->second;
    ++entry.trials;
    entry.trialBegan = now;
    if (fingerprint.isPart()) {
        entry.nextTrial = now + partTrialInterval(entry);
    } else {
        entry.nextTrial = now + (entry.trials < m_options.maxEarlyTrials + extraTrials(entry) ? s_trialTimeout : trialInterval(entry));
    }
    m_requestOnTrial = fingerprint;
    m_trialEnds = now + s_trialTimeout;
}

void Quarantine::beginTrial(std::span<const RequestFingerprint> request, Instant now)
{
    const bool joint = suspectedParts(request) > 1;
    for (const RequestFingerprint &fingerprint : request) {
        quarantineAssociated(fingerprint, now);
        if (const auto entry = m_entries.find(fingerprint); joint && fingerprint.isPart() && entry != m_entries.end()) {
            entry->second.jointTrial = true;
        }
        beginTrial(fingerprint, now);
    }
}

void Quarantine::trialNotRun(const RequestFingerprint &fingerprint, Instant now)
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || !found->second.trialBegan) {
        return;
    }
    endTrial(fingerprint);
    Entry &entry = found->second;
    entry.trials -= std::min(entry.trials, 1U);
    entry.jointTrial = entry.jointTrial && entry.trials > 0;
    entry.trialBegan.reset();
    entry.nextTrial = now + s_minWait;
}

void Quarantine::expire(Instant now)
{
    m_latest = now;
    m_answers.expire(now);
    m_partAnswers.expire(now);
    m_suspects.expire(now);
    m_verdicts.expire(partKnowledge(), now);
    std::erase_if(m_entries, [&](const auto &entry) {
        return now - entry.second.nextTrial >= s_maxTrialInterval;
    });
}

void Quarantine::setStored(const RequestFingerprint &fingerprint)
{
    if (const auto found = m_entries.find(fingerprint); found != m_entries.end()) {
        found->second.stored = true;
    }
}

void Quarantine::clearStored()
{
    for (auto &[fingerprint, entry] : m_entries) {
        entry.stored = false;
    }
}

void Quarantine::limitEntries()
{
    while (m_entries.size() > m_options.maxEntries) {
        m_entries.erase(std::ranges::min_element(m_entries, {}, [](const auto &entry) {
            return entry.second.nextTrial;
        }));
    }
}

}
