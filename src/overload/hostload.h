#pragma once

#include "clock/instant.h"
#include "overload/hostreachability.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

namespace bamboohold {

/// What a host's load is measured by.
enum class HostMeasure {
    /// Delay of the event loop and round trip of datagrams.
    Delay,
    /// Bytes received and sent on the connections of callers and targets.
    LinkIn,
    LinkOut,
    /// Connections to several hosts that timed out because of this host's network.
    Connections,
    /// Bytes held in memory for callers.
    Memory,
};

constexpr std::size_t s_hostMeasures = 5;

/// The name of a measure in metrics and log lines.
std::string_view hostMeasureName(HostMeasure measure);

/// Combines the measures of this host's own load into one pressure: 0 when it is idle, 1 when it is full. Pure: measurements and `now` in.
class HostLoad
{
public:
    struct Options {
        /// Target for the delay of the event loop, averaged over some measurements; see LoadShedder::Options.
        Duration targetDelay = std::chrono::milliseconds(60);
        /// Speed of the host's link in Mbit/s in each direction, and its memory in MB. 0 or an invalid number: not limited.
        double linkMbps = 0;
        double memoryMb = 0;
        /// The processor time that the host has in cores, by which hosts compare what they can carry. 0: not stated.
        double cores = 0;
    };

    struct Sample {
        /// The delay of the event loop or the round trip of a datagram, whichever is longer.
        Duration delay{};
        /// All bytes received and sent so far on the connections of callers and targets.
        std::uint64_t received = 0;
        std::uint64_t sent = 0;
        /// Bytes of request bodies and answers that are held in memory for callers now.
        std::int64_t held = 0;
    };

    HostLoad();
    explicit HostLoad(Options options);

    /// Records a measurement. Call every `s_measurementInterval`; a call that comes late because of the delay counts for the missed ones,
    /// too.
    void record(const Sample &sample, Instant now);

    /// Which of the connections and datagrams to other hosts were answered.
    HostReachability &reachability()
    {
        return m_reachability;
    }

    /// Whether relays that do not answer now are not to blame.
    bool attributesSilence(Instant now) const
    {
        return linkBusy() && m_reachability.silence(now) > Duration::zero();
    }

    /// Whether a connection that has timed out now is to be attributed to this host.
    bool attributesTimeout(Instant now);

    /// The pressure by the measure that shows most.
    double pressure() const;

    /// The pressure by the measures that refusing requests relieves: all but what arrives on the link, as a request has arrived before it
    /// is refused.
    double requestPressure() const;

    double pressure(HostMeasure measure) const
    {
        return m_pressures[static_cast<std::size_t>(measure)];
    }

    /// The measure that shows the most pressure.
    HostMeasure decisiveMeasure() const;

    /// Whether the host has been so full for some time that it must not admit a request which it could not answer within `objective`. Zero:
    /// the route has no objective.
    bool refusesAsFull(Duration objective, Instant now) const;

    bool linkLimited() const;
    bool memoryLimited() const;

    /// The interval at which the load is to be measured.
    static constexpr Duration s_measurementInterval = std::chrono::milliseconds(50);

private:
    struct TrafficSample {
        Instant at{};
        std::uint64_t received = 0;
        std::uint64_t sent = 0;
    };

    void recordDelay(Duration delay, Instant now);
    void recordTraffic(const Sample &sample, Instant now);
    double bytesPerSecond() const;
    /// Whether there is so much traffic that packets may be lost on this host's own link.
    bool linkBusy() const;
    /// How long a request that is admitted now takes because of this host alone.
    Duration expectedTime() const;

    Options m_options;
    HostReachability m_reachability;
    std::array<double, s_hostMeasures> m_pressures{};
    /// The pressure by the measured delay alone, without relays that do not answer.
    double m_measuredDelay = 0;
    /// Samples of the last `s_linkWindow`, and the newest one before it.
    std::deque<TrafficSample> m_traffic;
    /// Bytes that the connections have accepted and the link cannot have sent yet.
    double m_unsentBytes = 0;
    std::optional<Instant> m_congestedAt;
    /// Since when the pressure has been at the level at which the host counts as full.
    std::optional<Instant> m_fullSince;
};

}
