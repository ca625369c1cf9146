#include "quarantine/suspects.h"

#include "quarantine/dropoldest.h"

#include <algorithm>
#include <utility>

namespace bamboohold {

namespace {

/// Maximum number of crashes kept for each suspect, the latest ones. More of them change no decision.
constexpr std::size_t s_maxCrashesPerSuspect = 8;

}

Suspects::Suspects(Options options)
    : m_options(options)
{
}

const Suspects::Suspect &Suspects::add(const RequestFingerprint &fingerprint, const SeenCrash &crash, Instant now)
{
    Suspect &suspect = m_suspects[fingerprint];
    suspect.last = now;
    if (std::ranges::find(suspect.crashes, crash.target, &SeenCrash::target) != suspect.crashes.end()) {
        return suspect;
    }
    if (suspect.crashes.size() >= s_maxCrashesPerSuspect) {
        suspect.crashes.erase(std::ranges::min_element(suspect.crashes, {}, &SeenCrash::at));
    }
    suspect.crashes.push_back(crash);
    return suspect;
}

bool Suspects::clearBefore(const RequestFingerprint &fingerprint, Instant at)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end()) {
        return false;
    }
    const std::size_t cleared = std::erase_if(found->second.crashes, [at](const SeenCrash &crash) {
        return crash.at < at;
    });
    if (found->second.crashes.empty()) {
        m_suspects.erase(found);
    }
    return cleared > 0;
}

std::vector<SeenCrash> Suspects::take(const RequestFingerprint &fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end()) {
        return {};
    }
    std::vector<SeenCrash> crashes = std::move(found->second.crashes);
    m_suspects.erase(found);
    return crashes;
}

const Suspects::Suspect *Suspects::find(const RequestFingerprint &fingerprint) const
{
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() ? &found->second : nullptr;
}

std::vector<Suspects::KnownCrash> Suspects::knownCrashes() const
{
    std::map<std::uint64_t, KnownCrash> crashes;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        for (const SeenCrash &seen : suspect.crashes) {
            KnownCrash &crash = crashes[seen.target];
            crash.target = seen.target;
            crash.inFlight.push_back(fingerprint);
            crash.at = std::max(crash.at, seen.at);
        }
    }
    std::vector<KnownCrash> all;
    all.reserve(crashes.size());
    for (auto &[target, crash] : crashes) {
        all.push_back(std::move(crash));
    }
    return all;
}

void Suspects::limit()
{
    if (m_suspects.size() <= m_options.maxSuspects) {
        return;
    }
    dropOldestQuarter(m_suspects, [this](const Suspect &suspect) {
        return suspect.last + static_cast<std::int64_t>(suspect.crashes.size()) * m_options.retention;
    });
}

void Suspects::expire(Instant now)
{
    std::erase_if(m_suspects, [&](const auto &suspect) {
        return now - suspect.second.last > m_options.retention;
    });
}

}
