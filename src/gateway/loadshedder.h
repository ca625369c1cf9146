#pragma once

#include "clock/instant.h"
#include "gateway/routingplan.h"
#include "overload/urgencyshedding.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace bamboohold {

/// Decides which share of its requests a router refuses immediately because its host has no processor time, or no bandwidth on its link,
/// left for them, and whether callers should be sent to other hosts.
///
/// The load balancer sends all connections of one caller to the same router. A caller that sends ten times its usual load then overloads
/// one small host while the others are idle: every request there waits for seconds, and all of its callers give up. A request that is
/// refused within milliseconds reaches another router, which has time for it.
///
/// The input is the delay of the event loop or the round trip of a datagram to a nearby host, whichever is longer. While it is above the
/// target the refused share grows, otherwise it shrinks, until about as many requests are admitted as the host can serve. Does no I/O.
class LoadShedder
{
public:
    struct Options {
        /// Target for the delay of the event loop, averaged over some measurements: a tenth of most objectives. On a host that has used up
        /// its CPU quota and is paused for the rest of each 100 ms period, the delay is up to 45 ms on average without an overload.
        Duration targetDelay = std::chrono::milliseconds(60);
        /// Growth of the refused share per measurement while the delay is above the target, up to four times as much if it is far above,
        /// and the part of the share that is removed per measurement otherwise. With a faster growth the share overshoots, and callers that
        /// were refused return to the same host and are refused again.
        double shareGrowth = 0.012;
        double shareDecay = 0.05;
        /// Maximum of the refused share. It stays below 1 because only the admitted requests show whether the host has time again.
        double maxRefusedShare = 0.95;
        /// From this refused share on the host counts as overloaded and asks the load balancer to send its callers to other hosts: for
        /// `firstOverloadPeriod`, and for twice the previous period, up to `maxOverloadPeriod`, if it is overloaded again soon afterwards.
        /// This way a caller that overloads a small host ends up at a large one and stays there.
        double overloadShare = 0.2;
        Duration firstOverloadPeriod = std::chrono::seconds(8);
        Duration maxOverloadPeriod = std::chrono::seconds(30);
    };

    LoadShedder();
    explicit LoadShedder(Options options);

    /// Records the current delay of the host. Call every `s_measurementInterval`; a call that comes late because of the delay counts for
    /// the missed ones, too.
    void recordDelay(Duration delay, Instant now);

    /// Records the pressure on the host, 1 at its target, in place of a delay. Call every `s_measurementInterval`.
    void recordPressure(double pressure, Instant now);

    /// Whether a request of a service is refused, the least urgent first. `requestHash` is any evenly distributed value of the request.
    bool shouldRefuse(std::uint64_t requestHash, std::string_view service, Urgency urgency, Instant now);

    /// Whether a request is refused, whatever its urgency. `requestHash` is any evenly distributed value of the request.
    bool shouldRefuse(std::uint64_t requestHash) const;

    /// Whether the load balancer should send connections to other hosts.
    bool overloaded(Instant now) const;

    /// The time until new connections reach other hosts, zero once they do; none while the host is not overloaded. A caller that retries
    /// earlier reaches this host again.
    std::optional<Duration> timeUntilRedirect(Instant now) const;

    /// The share of requests that is refused.
    double refusedShare() const
    {
        return m_refusedShare;
    }

    /// A load balancer that checks once a second redirects connections after two failed checks.
    static constexpr Duration s_rotationTime = std::chrono::milliseconds(2100);

    /// The interval at which the delay is to be measured.
    static constexpr Duration s_measurementInterval = std::chrono::milliseconds(50);

private:
    Options m_options;
    UrgencyShedding m_byUrgency;
    double m_meanMs = 0;
    double m_refusedShare = 0;
    Duration m_overloadPeriod{};
    std::optional<Instant> m_overloadedUntil;
};

}
