#pragma once

#include "clock/instant.h"
#include "quarantine/crashevidence.h"
#include "quarantine/requestfingerprint.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace bamboohold {

/// The requests and parts of prompts that were in flight at crashes of targets and are not quarantined, with the crashes that count against
/// each of them.
class Suspects
{
public:
    struct Options {
        /// A suspect is forgotten this long after the last crash that was reported with it.
        Duration retention = std::chrono::hours(1);
        /// Maximum number of suspects. When it is exceeded, a quarter is forgotten: those with the fewest crashes, and among them the
        /// oldest ones, so that parts that a caller makes up do not displace one that was there again and again.
        std::size_t maxSuspects = 8192;
    };

    struct Suspect {
        std::vector<SeenCrash> crashes;
        /// Time of the last report.
        Instant last{};
    };

    explicit Suspects(Options options);

    /// Counts a crash against a suspect, unless it is known already, and returns the suspect.
    const Suspect &add(const RequestFingerprint &fingerprint, const SeenCrash &crash, Instant now);

    /// Removes the crashes before this time, and the suspect if none is left. Returns true if there were any.
    bool clearBefore(const RequestFingerprint &fingerprint, Instant at);

    /// Removes a suspect. Returns the crashes that counted against it, empty if it was none.
    std::vector<SeenCrash> take(const RequestFingerprint &fingerprint);

    /// Returns a suspect, or null.
    const Suspect *find(const RequestFingerprint &fingerprint) const;

    bool contains(const RequestFingerprint &fingerprint) const
    {
        return m_suspects.contains(fingerprint);
    }

    const std::map<RequestFingerprint, Suspect> &all() const
    {
        return m_suspects;
    }

    /// A crash and the suspects that it counts against.
    struct KnownCrash {
        /// Hash of the target's incarnation.
        std::uint64_t target = 0;
        std::vector<RequestFingerprint> inFlight;
        Instant at{};
    };

    /// Returns the crashes that count against suspects.
    std::vector<KnownCrash> knownCrashes() const;

    /// Forgets suspects beyond the maximum number. Call it after a crash was counted against all that it had in flight.
    void limit();

    /// Removes outdated suspects. Call this periodically.
    void expire(Instant now);

private:
    Options m_options;
    std::map<RequestFingerprint, Suspect> m_suspects;
};

}
