#pragma once

#include "membership/routeravailability.h"

#include <string>

namespace bamboohold {

/// Decides for a router that stops when callers do without it, and when those that it refuses come back, by what it knows of the other
/// routers. It follows the rules by which the load balancer chooses among routers. Pure. The availability must outlive this object.
class RestartRound
{
public:
    struct Options {
        /// The name of this router, by which the others know it.
        std::string self;
        /// When this router was asked to stop.
        Instant startedAt{};
        /// Its requests end by then.
        Instant workDeadline{};
        /// It does not leave before this time has passed.
        Duration rotationTime = std::chrono::milliseconds(2600);
        /// The expected time to answer what runs when the listener closes.
        Duration closingTime = std::chrono::milliseconds(1000);
        /// The load balancer takes a router out this long after it was asked to stop, and uses it again this long after it has returned.
        Duration removalTime = std::chrono::milliseconds(2100);
        Duration returnTime = std::chrono::seconds(1);
        /// Time in which a caller's next connection reaches another router.
        Duration minRetryTime = std::chrono::milliseconds(50);
    };

    /// What this router still has to do before it ends.
    struct Work {
        bool listening = false;
        /// Streams that it had when it was asked to stop.
        bool earlierStreams = false;
        bool connections = false;
    };

    RestartRound(const RouterAvailability &availability, Options options)
        : m_availability(availability)
        , m_options(std::move(options))
    {
    }

    Instant startedAt() const
    {
        return m_options.startedAt;
    }

    /// Whether this router may close its listener: the load balancer sends its callers elsewhere, or nobody accepts them and this router is
    /// one of those that restart first.
    bool mayLeave(Instant now) const;

    /// The expected time until this router accepts callers again.
    Duration untilReturn(const Work &work, Instant now) const;

    /// The time after which a refused caller most likely reaches a router that accepts it. `untilReturn` is the expected time until this
    /// router accepts again itself.
    Duration retryTime(Duration untilReturn, Instant now) const;

private:
    using Router = RouterAvailability::Router;

    /// Where the load balancer sends the callers of this failure domain.
    enum class Callers {
        Elsewhere,
        /// To all routers of the domain, or of the fleet, whether they are in the rotation or not.
        WholeDomain,
        WholeFleet,
    };

    /// The routers that get a caller's connections at some time, by what is expected of them.
    struct Reached {
        std::size_t routers = 0;
        std::size_t accepting = 0;
    };

    bool accepts(const Router &router, Instant at) const;
    bool inRotation(const Router &router, Instant at) const;
    /// Whether the other router is to leave before this one.
    bool precedes(const Router &router) const;
    Callers callersOf(const std::vector<Router> &routers, Instant at) const;
    Reached reached(const std::vector<Router> &routers, Instant at) const;

    const RouterAvailability &m_availability;
    Options m_options;
};

}
