#pragma once

#include "clock/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bamboohold {

/// The relays by which a router may reach the store while its own path there is cut, and the choice among them.
///
/// Relays run beside targets, and the list of targets names them. Where none runs, at a plain service for instance, a connection is refused
/// at once and the address rests; the rest doubles with each failure. Relays of the router's own failure domain come first, since traffic
/// between domains is paid for; among equals each router prefers another one, so that a cut of many routers spreads over all relays.
///
/// Pure: events and `now` in.
class RelaySelector
{
public:
    struct Options {
        /// This router's link address, and where it stands.
        std::string self;
        std::string failureDomain;
        /// How long a relay that failed is left alone, at first and at most. Cuts last seconds, and another relay is there as a rule.
        Duration initialRelayBackoff = std::chrono::seconds(1);
        Duration maxRelayBackoff = std::chrono::seconds(30);
    };

    explicit RelaySelector(Options options);

    /// A target is listed, with the address at which a relay beside it listens. An empty address counts as none.
    void addTargetRelay(const std::string &target, const std::string &relay, const std::string &failureDomain);

    /// A target is listed no longer.
    void removeTargetRelay(const std::string &target);

    /// The relay to try next; none while all of them rest.
    std::optional<std::string> choose(Instant now) const;

    /// How a call through the relay went.
    void recordRelayFailure(const std::string &relay, Instant now);
    void recordRelaySuccess(const std::string &relay);

    /// True when no target is listed, so that there is no second way at all.
    bool empty() const
    {
        return m_relays.empty();
    }

private:
    struct Relay {
        std::string address;
        std::string failureDomain;
        std::uint32_t failures = 0;
        Instant backoffUntil{};
    };

    Options m_options;
    /// By target.
    std::map<std::string, Relay> m_relays;
};

}
