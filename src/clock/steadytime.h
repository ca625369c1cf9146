#pragma once

#include "clock/instant.h"

namespace bamboohold {

/// Returns the monotonic time of the process, for the runtime around decision code. After a suspended process resumes, the time has jumped
/// ahead.
inline Instant steadyNow()
{
    const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Duration>(sinceBoot));
}

/// Returns the wall-clock time in milliseconds since 1970. For logs and ledger lines only; no decision depends on it.
inline std::int64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

}
