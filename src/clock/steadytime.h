#pragma once

#include "clock/instant.h"

namespace bamboohold {

/// The process's monotonic time for the runtime around decision code. A paused process sees it jump on waking.
inline Instant steadyNow()
{
    const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Duration>(sinceBoot));
}

/// Wall-clock milliseconds since 1970 for logs and ledger lines only; no decision depends on it.
inline std::int64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

}
