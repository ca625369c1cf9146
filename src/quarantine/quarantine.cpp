#include "quarantine/quarantine.h"

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <array>

namespace bamboohold {

namespace {

/// Crashes kept of one request; beyond, more of them say nothing new.
constexpr std::size_t s_mostTargets = 8;
/// Reports of one crash come from every router that had something there, within this time.
constexpr Duration s_reportTime = std::chrono::seconds(1);

void addTarget(std::vector<std::uint64_t> &targets, std::uint64_t target)
{
    if (targets.size() < s_mostTargets && std::ranges::find(targets, target) == targets.end()) {
        targets.push_back(target);
    }
}

/// The first fingerprint in order that a request of this address can have.
RequestFingerprint lowestOf(std::uint64_t addressHash)
{
    std::array<char, RequestFingerprint::s_size> bytes{};
    boost::endian::store_big_u64(reinterpret_cast<unsigned char *>(bytes.data()), addressHash);
    return *RequestFingerprint::fromBytes({bytes.data(), bytes.size()});
}

template<typename Map>
bool holdsAddress(const Map &map, std::uint64_t addressHash)
{
    const auto found = map.lower_bound(lowestOf(addressHash));
    return found != map.end() && found->first.addressHash() == addressHash;
}

}

Duration Quarantine::boundedTerm(std::int64_t milliseconds)
{
    constexpr std::int64_t most = std::chrono::duration_cast<std::chrono::milliseconds>(s_longestTerm).count();
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

std::vector<RequestFingerprint> Quarantine::crashed(std::uint64_t target, std::span<const RequestFingerprint> underWay, Instant now)
{
    std::vector<RequestFingerprint> held;
    for (const RequestFingerprint &fingerprint : underWay) {
        if (const auto known = m_entries.find(fingerprint); known != m_entries.end()) {
            Entry &entry = known->second;
            addTarget(entry.targets, target);
            // Copies that were under way when it was first held back change nothing; one that was let through later does.
            if (now >= entry.until) {
                entry = {.until = now + m_options.laterTerm, .terms = entry.terms + 1, .targets = std::move(entry.targets), .since = now};
                held.push_back(fingerprint);
            }
            continue;
        }
        Suspect &suspect = m_suspects[fingerprint];
        addTarget(suspect.targets, target);
        suspect.last = now;
        if (suspected(suspect, now)) {
            m_entries[fingerprint] = {.until = now + m_options.firstTerm, .terms = 1, .targets = std::move(suspect.targets), .since = now};
            m_suspects.erase(fingerprint);
            held.push_back(fingerprint);
        }
    }
    boundSuspects();
    boundEntries();
    return held;
}

bool Quarantine::explained(std::uint64_t target, Instant now) const
{
    // Reports of one crash come in any order: what was held back a moment ago does not yet clear those that were there with it, or the
    // cause could be cleared by a request that was there by chance and reported first.
    return std::ranges::any_of(m_entries, [&](const auto &entry) {
        return now - entry.second.since > s_reportTime && std::ranges::find(entry.second.targets, target) != entry.second.targets.end();
    });
}

bool Quarantine::suspected(const Suspect &suspect, Instant now) const
{
    if (suspect.targets.size() < m_options.crashes) {
        return false;
    }
    const auto unexplained = std::ranges::count_if(suspect.targets, [&](std::uint64_t target) {
        return !explained(target, now);
    });
    return static_cast<std::size_t>(unexplained) >= m_options.crashes;
}

bool Quarantine::acquit(const RequestFingerprint &fingerprint)
{
    const bool suspected = m_suspects.erase(fingerprint) > 0;
    const bool held = m_entries.erase(fingerprint) > 0;
    return suspected || held;
}

bool Quarantine::learn(const RequestFingerprint &fingerprint, Instant until, unsigned terms, Instant now)
{
    const auto [known, isNew] = m_entries.try_emplace(fingerprint, Entry{.until = until, .terms = terms, .since = now});
    if (isNew) {
        if (const auto suspect = m_suspects.find(fingerprint); suspect != m_suspects.end()) {
            known->second.targets = std::move(suspect->second.targets);
            m_suspects.erase(suspect);
        }
        boundEntries();
        return true;
    }
    Entry &entry = known->second;
    if (terms <= entry.terms) {
        return false;
    }
    entry.until = std::max(entry.until, until);
    entry.terms = terms;
    return true;
}

bool Quarantine::mayKnow(std::uint64_t addressHash) const
{
    return holdsAddress(m_entries, addressHash) || holdsAddress(m_suspects, addressHash);
}

std::optional<Duration> Quarantine::heldFor(const RequestFingerprint &fingerprint, Instant now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || now >= found->second.until) {
        return std::nullopt;
    }
    return found->second.until - now;
}

void Quarantine::expire(Instant now)
{
    std::erase_if(m_suspects, [&](const auto &suspect) {
        return now - suspect.second.last > m_options.memory;
    });
    // For a while after its time one more crash puts a request back at once.
    std::erase_if(m_entries, [&](const auto &entry) {
        return now - entry.second.until >= s_longestTerm;
    });
}

void Quarantine::setStored(const RequestFingerprint &fingerprint)
{
    if (const auto found = m_entries.find(fingerprint); found != m_entries.end()) {
        found->second.stored = true;
    }
}

void Quarantine::boundSuspects()
{
    if (m_suspects.size() <= m_options.mostSuspects) {
        return;
    }
    std::vector<Instant> times;
    times.reserve(m_suspects.size());
    for (const auto &[fingerprint, suspect] : m_suspects) {
        times.push_back(suspect.last);
    }
    // A quarter at once, so that a storm of crashes does not sort all of them for each request.
    const auto oldest = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 4);
    std::ranges::nth_element(times, oldest);
    std::size_t surplus = times.size() / 4 + 1;
    std::erase_if(m_suspects, [&](const auto &suspect) {
        const bool drop = surplus > 0 && suspect.second.last <= *oldest;
        surplus -= drop ? 1 : 0;
        return drop;
    });
}

void Quarantine::boundEntries()
{
    while (m_entries.size() > m_options.mostEntries) {
        m_entries.erase(std::ranges::min_element(m_entries, {}, [](const auto &entry) {
            return entry.second.until;
        }));
    }
}

}
