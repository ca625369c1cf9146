#pragma once

#include "clock/instant.h"

namespace bamboohold {

/// Estimates a budget's demand at one router from the requests it admitted: tokens a second, and the average worst case of a request.
class DemandMeter
{
public:
    /// The rate is an exponentially weighted mean over this time.
    explicit DemandMeter(Duration memory = std::chrono::seconds(60))
        : m_memorySeconds(seconds(memory))
    {
    }

    /// Counts a request's worst case.
    void addRequest(Tokens bound);

    /// Counts tokens used.
    void addUse(Tokens used, Instant now);

    /// Tokens a second, exponentially weighted; low until the memory has filled.
    double rate(Instant now) const;

    /// The same for a meter that began to count at `since`: what it has not seen yet does not count as no demand.
    double rateSince(Instant since, Instant now) const;

    /// Average worst case of recent requests; 0 before the first.
    double averageBound() const
    {
        return m_averageBound;
    }

private:
    double m_memorySeconds;
    double m_weightedSum = 0;
    double m_averageBound = 0;
    Instant m_updated{};
};

}
