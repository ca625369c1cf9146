#include "quarantine/quarantine.h"

#include "quarantine/dropoldest.h"
#include "routing/stablehash.h"

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <array>

namespace bamboohold {

namespace {

/// Maximum number of crashes kept for each request. More of them change no decision.
constexpr std::size_t s_maxCrashesPerRequest = 8;
/// Every router that had requests on a crashed target reports the crash within this time.
constexpr Duration s_reportDelay = std::chrono::seconds(1);
/// Shortest wait returned to a caller whose copy could be the next trial but was not, and the pause after a trial that reached no target.
constexpr Duration s_minWait = std::chrono::seconds(1);

void addTarget(std::vector<std::uint64_t> &targets, std::uint64_t target)
{
    if (targets.size() < s_maxCrashesPerRequest && std::ranges::find(targets, target) == targets.end()) {
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
{
}

std::vector<RequestFingerprint>
Quarantine::recordCrash(std::uint64_t target, std::span<const RequestFingerprint> inFlight, Instant now, Duration ago)
{
    std::vector<RequestFingerprint> quarantined;
    for (const RequestFingerprint &fingerprint : inFlight) {
        if (answeredSince(fingerprint, now - ago)) {
            continue;
        }
        if (const auto known = m_entries.find(fingerprint); known != m_entries.end()) {
            Entry &entry = known->second;
            addTarget(entry.crashedTargets, target);
            // Copies that were already in flight when the request was first quarantined change nothing. A copy on trial does, whichever
            // router started the trial, because that router may have terminated.
            if (entry.trialBegan && now - *entry.trialBegan <= s_trialTimeout && now - ago >= *entry.trialBegan) {
                entry.trialBegan.reset();
                if (entry.trials <= extraTrials(entry)) {
                    entry.nextTrial = now + m_options.extraTrialDelay;
                } else {
                    ++entry.quarantineLevel;
                    entry.nextTrial = now + trialInterval(entry);
                }
                endTrial(fingerprint);
                quarantined.push_back(fingerprint);
            }
            continue;
        }
        Suspect &suspect = m_suspects[fingerprint];
        addTarget(suspect.crashedTargets, target);
        suspect.last = now;
        if (isLikelyCause(suspect, now)) {
            m_entries[fingerprint] = {.nextTrial = now + m_options.firstTrialDelay + firstTrialOffset(fingerprint),
                                      .quarantineLevel = 1,
                                      .crashedTargets = std::move(suspect.crashedTargets),
                                      .quarantinedSince = now,
                                      .answers = m_answers.recentAnswerCount(fingerprint, now)};
            m_suspects.erase(fingerprint);
            quarantined.push_back(fingerprint);
        }
    }
    limitSuspects();
    limitEntries();
    return quarantined;
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
    if (suspect.crashedTargets.size() < m_options.crashThreshold) {
        return false;
    }
    const auto unexplained = std::ranges::count_if(suspect.crashedTargets, [&](std::uint64_t target) {
        return !isExplained(target, now);
    });
    return static_cast<std::size_t>(unexplained) >= m_options.crashThreshold;
}

bool Quarantine::recordAnswer(const RequestFingerprint &fingerprint, Instant at)
{
    m_answers.addLocalAnswer(fingerprint, at);
    const bool wasTracked = acquit(fingerprint);
    if (wasTracked) {
        (void)m_answers.takeUnannounced(fingerprint, at - Duration(1));
    }
    return wasTracked;
}

bool Quarantine::recordPeerAnswer(const RequestFingerprint &fingerprint, Instant at)
{
    m_answers.addPeerAnswer(fingerprint, at);
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
    const std::optional<Instant> last = m_answers.lastAnswer(fingerprint);
    return last && *last > crash ? last : std::nullopt;
}

unsigned Quarantine::extraTrials(const Entry &entry) const
{
    return std::min(entry.answers, m_options.maxExtraTrials);
}

bool Quarantine::acquit(const RequestFingerprint &fingerprint)
{
    endTrial(fingerprint);
    const bool wasSuspected = m_suspects.erase(fingerprint) > 0;
    const bool wasQuarantined = m_entries.erase(fingerprint) > 0;
    return wasSuspected || wasQuarantined;
}

bool Quarantine::mergeEntry(const RequestFingerprint &fingerprint, const EntryState &state, Instant now)
{
    const auto [known, isNew] =
        m_entries.try_emplace(fingerprint, Entry{.quarantinedSince = now, .answers = m_answers.recentAnswerCount(fingerprint, now)});
    Entry &entry = known->second;
    const bool longer = state.quarantineLevel > entry.quarantineLevel;
    if (longer) {
        endTrial(fingerprint);
        entry.trialBegan.reset();
    } else if (state.quarantineLevel == entry.quarantineLevel && state.trials > entry.trials) {
        m_requestOnTrial = fingerprint;
        m_trialEnds = now + s_trialTimeout;
        entry.trialBegan = now;
    }
    entry.answers = std::max(entry.answers, state.answers);
    if (state.quarantineLevel >= entry.quarantineLevel) {
        entry.nextTrial = std::max(entry.nextTrial, state.nextTrial);
        entry.trials = std::max(entry.trials, state.trials);
        entry.quarantineLevel = state.quarantineLevel;
    }
    if (isNew) {
        if (const auto suspect = m_suspects.find(fingerprint); suspect != m_suspects.end()) {
            entry.crashedTargets = std::move(suspect->second.crashedTargets);
            m_suspects.erase(suspect);
        }
        limitEntries();
    }
    return isNew || longer;
}

bool Quarantine::mayContainAddress(std::uint64_t addressHash) const
{
    return containsAddress(m_entries, addressHash) || containsAddress(m_suspects, addressHash);
}

std::optional<Duration> Quarantine::timeToNextTrial(const RequestFingerprint &fingerprint, Instant now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    return std::max(found->second.nextTrial - now, s_minWait);
}

bool Quarantine::mayBeginTrial(const RequestFingerprint &fingerprint, Instant now) const
{
    const auto found = m_entries.find(fingerprint);
    const bool due = found != m_entries.end() && now >= found->second.nextTrial;
    return due && (!m_requestOnTrial || now >= m_trialEnds);
}

Duration Quarantine::trialInterval(const Entry &entry) const
{
    return entry.quarantineLevel > 2 ? m_options.longTrialInterval : m_options.shortTrialInterval;
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
    entry.nextTrial = now + (entry.trials < m_options.maxEarlyTrials + extraTrials(entry) ? s_trialTimeout : trialInterval(entry));
    m_requestOnTrial = fingerprint;
    m_trialEnds = now + s_trialTimeout;
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
    entry.trialBegan.reset();
    entry.nextTrial = now + s_minWait;
}

std::vector<Quarantine::KnownCrash> Quarantine::knownCrashes() const
{
    std::map<std::uint64_t, KnownCrash> crashes;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        for (const std::uint64_t target : suspect.crashedTargets) {
            KnownCrash &crash = crashes[target];
            crash.target = target;
            crash.inFlight.push_back(fingerprint);
            crash.at = std::max(crash.at, suspect.last);
        }
    }
    std::vector<KnownCrash> all;
    all.reserve(crashes.size());
    for (auto &[target, crash] : crashes) {
        all.push_back(std::move(crash));
    }
    return all;
}

void Quarantine::expire(Instant now)
{
    m_answers.expire(now);
    std::erase_if(m_suspects, [&](const auto &suspect) {
        return now - suspect.second.last > m_options.crashRetention;
    });
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

void Quarantine::limitSuspects()
{
    if (m_suspects.size() <= m_options.maxSuspects) {
        return;
    }
    dropOldestQuarter(m_suspects, [](const Suspect &suspect) {
        return suspect.last;
    });
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
