#pragma once

#include "clock/instant.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace bamboohold {

/// Identifies the host of an address of the form ADDRESS:PORT, so that a target and the relay beside it count as one host.
std::uint64_t hostKey(std::string_view address);

/// Decides from connections and datagrams to other hosts whether this host's own network is the reason why they fail. Pure: events and
/// `now` in.
///
/// On a saturated link datagrams are lost and connections time out, whichever host they go to. Hosts that have crashed look the same one by
/// one, so time-outs are attributed to this host only while most other hosts that were tried at the same time did not respond promptly
/// either.
class HostReachability
{
public:
    /// Time-outs within this time of each other are judged together.
    static constexpr Duration s_window = std::chrono::milliseconds(300);

    /// A connection to a host was opened and took this long.
    void recordConnected(std::uint64_t host, Duration took, Instant now);

    /// A connection to a host timed out before anything was sent.
    void recordConnectTimeout(std::uint64_t host, Instant now);

    /// A relay answered a datagram, in time or late.
    void recordAnswer(std::uint64_t host, Duration roundTrip, Instant now);

    /// A relay that has answered before did not answer the datagram of `sentAt` in time.
    void recordQueryTimeout(std::uint64_t host, Instant sentAt, Instant now);

    /// The time for which two or more relays have been queried and none has answered; zero if one answered, or none is queried any more.
    Duration silence(Instant now) const;

    /// Whether connections to several hosts have timed out while most of the hosts that were tried did not respond. On a host with little
    /// load the others have failed or cannot be reached; on a loaded one its own network is the cause.
    bool mostUnreachable(Instant now) const;

private:
    struct Probe {
        Instant at{};
        bool reached = false;
    };

    void record(std::uint64_t host, bool reached, Instant now);
    void endSilence(Instant now);
    void clearSilence();

    /// The newest result for each host.
    absl::flat_hash_map<std::uint64_t, Probe> m_probes;
    absl::flat_hash_map<std::uint64_t, Instant> m_connectTimeouts;
    /// Relays that have not answered since `m_silentSince`, and when the last query to one of them timed out.
    absl::flat_hash_set<std::uint64_t> m_silentRelays;
    std::optional<Instant> m_silentSince;
    Instant m_lastQueryTimeout{};
    Instant m_lastAnswerAt{};
};

}
