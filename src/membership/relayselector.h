#pragma once

#include "clock/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bamboohold {

/// Selects the relay through which a router reaches the store while its direct path is down.
///
/// Relays run beside targets and are listed with them. If no relay runs beside a target, for example beside a plain service, connections to
/// the listed address are refused immediately, and the address backs off; the backoff doubles with each failure. Relays in the router's own
/// failure domain come first, because traffic between domains costs money. Among equal relays each router prefers a different one, so that
/// many routers that are cut off together spread over all relays.
///
/// Free of side effects: all events and the current time are passed in.
class RelaySelector
{
public:
    struct Options {
        /// The link address of this router and its failure domain.
        std::string self;
        std::string failureDomain;
        /// Backoff after the first failure of a relay, and its upper limit. Outages last seconds, and another relay is usually available.
        Duration initialRelayBackoff = std::chrono::seconds(1);
        Duration maxRelayBackoff = std::chrono::seconds(30);
    };

    explicit RelaySelector(Options options);

    /// Adds a target with the address of the relay beside it, or replaces that address. An empty address means that there is no relay and
    /// is ignored.
    void addTargetRelay(const std::string &target, const std::string &relay, const std::string &failureDomain);

    /// Removes a target that is no longer listed.
    void removeTargetRelay(const std::string &target);

    /// The relay to try next; none while all of them back off.
    std::optional<std::string> choose(Instant now) const;

    /// Records the result of a call through a relay.
    void recordRelayFailure(const std::string &relay, Instant now);
    void recordRelaySuccess(const std::string &relay);

    /// True if no relay is listed, so that the store can be reached only directly or through a peer.
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
    /// Relays by target name.
    std::map<std::string, Relay> m_relays;
};

}
