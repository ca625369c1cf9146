#pragma once

#include "clock/instant.h"

#include <cstddef>

namespace bamboohold {

/// The order in which a router without sidecars stops: it serves until callers do without it, ends its connections, returns its budgets,
/// and stops the process. A request is known only once it has been read and admitted, so the router does not stop
/// while a connection is open on which one may be arriving.
///
/// Pure: the current time and the router's load in, the step to be in out.
class ShutdownSequence
{
public:
    struct Options {
        Instant startedAt{};
        /// The process is killed this long after `startedAt`.
        Duration gracePeriod = std::chrono::seconds(8);
        /// A load balancer that checks once a second removes a host after two failed checks; until then connections still arrive and are
        /// served.
        Duration rotationTime = std::chrono::milliseconds(2600);
        /// The time before `workDeadline()` in which connections are no longer accepted, so that those that were can be answered.
        Duration connectionReserve = std::chrono::milliseconds(500);
        /// The part of the grace period that is reserved for returning budgets and stopping.
        Duration returnReserve = std::chrono::milliseconds(600);
        /// The part of it that remains when the process stops at the latest.
        Duration stopReserve = std::chrono::milliseconds(200);
    };

    enum class Step {
        /// Accepts connections and serves requests.
        Serve,
        /// Accepts no connections. Requests on open ones are answered, and each connection is closed after its answer.
        EndConnections,
        /// Returns the budgets that the router holds.
        ReturnBudgets,
        Stop,
    };

    /// What the router still has to do.
    struct Load {
        /// Streams for which it stays in `Serve`.
        std::size_t streams = 0;
        /// Whether callers do without this router, so that it may close its listener.
        bool mayLeave = true;
        /// Open connections of callers, and whether more of them may be accepted.
        std::size_t connections = 0;
        bool listening = false;
        bool budgetsReturned = false;
    };

    explicit ShutdownSequence(Options options)
        : m_options(options)
    {
    }

    /// The step to be in. Steps are never taken back.
    Step update(const Load &load, Instant now);

    /// Requests must have ended by then.
    Instant workDeadline() const
    {
        return m_options.startedAt + m_options.gracePeriod - m_options.returnReserve;
    }

private:
    bool mayLeave(Step step, const Load &load, Instant now) const;

    Options m_options;
    Step m_step = Step::Serve;
};

}
