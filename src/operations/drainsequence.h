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

/// Decides the order in which a router shuts down: it serves, closes the listener, returns its budgets and stops.
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
        if (progress.listenerClosed) {
            return DrainStep::ReturnBudgets;
        }
        return progress.requests > 0 && now < m_limit ? DrainStep::Wait : DrainStep::CloseListener;
    }

private:
    Instant m_limit;
};

}
