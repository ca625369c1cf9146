#pragma once

#include "clock/instant.h"
#include "membership/routeravailability.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bamboohold {

/// Exchanges with the other routers which of them accept callers: the runtime around RouterAvailability, which must outlive this object.
/// The link to the other routers is supplied by its user.
class AvailabilityExchange
{
public:
    struct Options {
        /// Hash of this router's incarnation.
        std::uint64_t incarnation = 0;
        /// This router's state. Its failure domain, incarnation and sequence are set here.
        std::function<RouterState(Instant now)> ownState;
        /// The other live routers, and what sends a state to one of them. It may be lost.
        std::function<std::vector<std::string>()> peers;
        std::function<void(const std::string &peer, const RouterState &state)> send;
    };

    AvailabilityExchange(RouterAvailability &availability, Options options);

    /// Tells all routers the state of this one.
    void announce(Instant now);

    /// Tells it again to the routers of the failure domain and to those that are asked, once a second while this router stops.
    void repeat(Instant now);

    /// Records what another router says, and answers if it asks, or if it starts while this one stops.
    void handleNotice(const std::string &peer, const RouterState &state, Instant now);

private:
    void send(const std::vector<std::string> &routers, Instant now);
    RouterState ownState(Instant now);

    RouterAvailability &m_availability;
    Options m_options;
    std::uint64_t m_sequence = 0;
};

}
