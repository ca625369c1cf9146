#pragma once

#include "clock/instant.h"

#include <cstdint>

namespace bamboohold {

/// The runs of a sidecar that shuts down, as observed at one moment.
struct SidecarLoad {
    /// Runs that were admitted and whose end is not recorded, whether or not their execution has started.
    std::uint32_t admittedRuns = 0;
};

/// Decides when a sidecar that shuts down has no run left to wait for.
class SidecarDrain
{
public:
    explicit SidecarDrain(Instant limit)
        : m_limit(limit)
    {
    }

    /// Returns whether the sidecar must wait. Once the time limit has passed, unfinished runs no longer delay it.
    bool mustWait(const SidecarLoad &load, Instant now) const
    {
        return load.admittedRuns > 0 && now < m_limit;
    }

private:
    Instant m_limit;
};

}
