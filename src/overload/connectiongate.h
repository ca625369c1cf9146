#pragma once

#include "clock/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace bamboohold {

/// Decides how many new connections an overloaded host accepts; its system refuses the others.
///
/// A request that is refused after it was read has used the link and processor time already, so that a host with ten times its load would
/// be busy with refusing alone. A refused connection costs it two packets. No connections are accepted while the link is full or most
/// requests are refused; in between no more than the host can choose the most urgent requests from. Pure: measurements and `now` in.
class ConnectionGate
{
public:
    struct Options {
        /// Speed of the host's link in Mbit/s. 0 or an invalid number: not limited.
        double linkMbps = 0;
        /// The part of the link that callers may fill. The rest is needed for headers, acknowledgements, answers of targets and checks.
        double usableShare = 0.75;
        /// No connections are accepted once this much time of the usable link was received in excess, until none is.
        Duration burst = std::chrono::milliseconds(100);
        /// The excess counts up to this time.
        Duration maxExcess = std::chrono::milliseconds(500);
        /// The share of requests refused after they were read from which on no connections are accepted, and below which they are again.
        double closeShare = 0.5;
        double openShare = 0.45;
        /// The pressure on the host from which on none are accepted, before the share of refused requests has followed it, and below which
        /// they are again.
        double closePressure = 2;
        double openPressure = 1;
        /// Connections accepted then, by the requests that the host has served at best within about `peakMemory`.
        double mostPerServed = 2;
        Duration peakMemory = std::chrono::seconds(10);
        /// The limit ends this long after connections were last refused.
        Duration idleTime = std::chrono::seconds(2);
    };

    struct Sample {
        /// All bytes received and requests served, or being served, so far.
        std::uint64_t received = 0;
        std::uint64_t served = 0;
        /// The share of requests that are refused after they were read.
        double refusedShare = 0;
        /// The pressure that refusing requests relieves; 1 when the host is full.
        double pressure = 0;
    };

    ConnectionGate();
    explicit ConnectionGate(Options options);

    /// Records a measurement. Call every 50 ms. Returns how many connections are to be accepted until the next one; none: any number.
    std::optional<std::size_t> update(const Sample &sample, Instant now);

    /// Whether the number of connections is limited.
    bool limiting() const
    {
        return m_closedAt.has_value();
    }

private:
    void updateLink(std::uint64_t received, Duration elapsed);

    Options m_options;
    std::optional<Sample> m_last;
    Instant m_updatedAt{};
    /// Bytes received beyond what the usable link carries.
    double m_excess = 0;
    bool m_linkFull = false;
    bool m_mostRefused = false;
    bool m_pressed = false;
    /// Requests served a second, averaged over about half a second, and the highest of these lately.
    double m_servedRate = 0;
    double m_peakRate = 0;
    /// When no connections were accepted last; none if that was longer than `idleTime` ago.
    std::optional<Instant> m_closedAt;
};

}
