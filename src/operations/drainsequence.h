#pragma once

#include "clock/instant.h"

#include <cstddef>

namespace bamboohold {

/// What a router that shuts down still has to do, as observed at one moment.
struct DrainProgress {
    /// Requests that have passed admission.
    std::size_t requests = 0;
    /// Open connections of callers, including those whose request is being read or whose answer is being written.
    std::size_t connections = 0;
    bool listenerClosed = false;
    bool budgetsReturned = false;
};

/// The next step of a shutdown.
enum class DrainStep {
    Wait,
    CloseListener,
    ReturnBudgets,
    Stop,
};

/// Decides the order in which a router shuts down: it serves, closes the listener, waits until every connection has ended, returns its
/// budgets and stops.
class DrainSequence
{
public:
    explicit DrainSequence(Instant limit)
        : m_limit(limit)
    {
    }

    /// Returns the next step. Once the time limit has passed, unfinished work no longer delays it.
    DrainStep next(const DrainProgress &progress, Instant now) const
    {
        if (progress.budgetsReturned) {
            return DrainStep::Stop;
        }
        // Admitted requests are only a part of the work: others are being read, wait for their budget or have their answer written. While
        // the listener is open, connections can be added, so only their count after it has closed can show that all work has ended.
        const std::size_t remaining = progress.listenerClosed ? progress.connections : progress.requests;
        if (remaining > 0 && now < m_limit) {
            return DrainStep::Wait;
        }
        return progress.listenerClosed ? DrainStep::ReturnBudgets : DrainStep::CloseListener;
    }

private:
    Instant m_limit;
};

}
