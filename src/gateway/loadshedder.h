#pragma once

#include "clock/instant.h"

#include <cstdint>
#include <optional>

namespace bamboohold {

/// Decides which share of its requests a router refuses at once because its host has no processor time, or no room on its link, left for
/// them; and whether callers should go to other hosts altogether.
///
/// The balancer sends all connections of one caller to the same router. A caller that sends ten times its usual then fills one small host
/// while the others idle: everything there waits, for seconds, and all of its callers leave unserved. A request that is refused within
/// milliseconds goes to another router, which has time for it.
///
/// Told how late the loop runs, or how long a datagram takes to a host nearby and back, whichever is longer; refuses more while that is too
/// much, and less once it is not, until about as many are left as the host can serve. Pure.
class LoadShedder
{
public:
    struct Options {
        /// Delay of the loop that is aimed at, as a mean over some ticks: a tenth of most objectives. A host whose processor is taken away
        /// for the rest of each tenth of a second once its share is used up has up to 45 ms of it, on average, without being overloaded.
        Duration targetDelay = std::chrono::milliseconds(60);
        /// The share grows by this much a tick while the delay is above that, up to four times as fast when it is far above; it shrinks by
        /// this part a tick otherwise. Faster growth overshoots: callers are refused who come back to the same host and are refused again.
        double shareGrowth = 0.012;
        double shareDecay = 0.05;
        /// Never all of them: what is still let in tells whether there is time again.
        double maxRefusedShare = 0.95;
        /// From this share on the host counts as overloaded, and its callers are better served by other hosts: for this long, and twice as
        /// long each time that it happens again soon. A caller that fills a small host ends at a large one that way, and stays there.
        double overloadShare = 0.2;
        Duration firstOverloadPeriod = std::chrono::seconds(8);
        Duration maxOverloadPeriod = std::chrono::seconds(30);
    };

    LoadShedder();
    explicit LoadShedder(Options options);

    /// The host's delay, measured now. Call every `s_tick`; a call that comes late by that delay counts for those left out.
    void recordDelay(Duration delay, Instant now);

    /// Whether a request is refused. `draw` is any number of the request's own, evenly spread.
    bool shouldRefuse(std::uint64_t requestHash) const;

    /// Whether connections should go to other hosts.
    bool overloaded(Instant now) const;

    /// How long until new connections reach other hosts, zero once they do; none while the host is not overloaded. A caller that comes back
    /// earlier is sent here again.
    std::optional<Duration> timeUntilRedirect(Instant now) const;

    /// The share that is refused.
    double refusedShare() const
    {
        return m_refusedShare;
    }

    /// A balancer that asks once a second sends connections elsewhere after two misses.
    static constexpr Duration s_rotationTime = std::chrono::milliseconds(2100);

    /// How often the delay should be measured.
    static constexpr Duration s_measurementInterval = std::chrono::milliseconds(50);

private:
    Options m_options;
    double m_meanMs = 0;
    double m_refusedShare = 0;
    Duration m_overloadPeriod{};
    std::optional<Instant> m_overloadedUntil;
};

}
