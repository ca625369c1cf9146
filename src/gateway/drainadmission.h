#pragma once

#include "clock/instant.h"
#include "overload/streamdurations.h"

namespace bamboohold {

/// Decides which requests a stopping router still admits: those of which it is certain, by what this router itself does and has seen, that
/// they end before its work deadline. Whether a caller could go on elsewhere does not count. Pure: the current time in, the decision out.
class DrainAdmission
{
public:
    /// A request that has not been sent to a target, or was declined wherever it was.
    struct Request {
        bool stream = false;
        Tokens promptTokens = 0;
        Tokens maxOutputTokens = 0;
        /// The router ends the request itself then: its caller or its route allows no more time.
        Instant deadline{};
    };

    /// Requests must have ended by the work deadline.
    explicit DrainAdmission(Instant workDeadline)
        : m_workDeadline(workDeadline)
    {
    }

    /// Whether the request may be sent now. `observed` are the streams of its service at this router.
    bool admits(const Request &request, const StreamDurations &observed, Instant now) const;

    /// Targets may slow down after a stream was admitted until it takes this many times as long as the slowest one observed.
    static constexpr int s_safetyFactor = 2;

private:
    Instant m_workDeadline;
};

}
