#pragma once

#include "clock/instant.h"

namespace bamboohold {

/// Estimates a budget's demand at one router from the requests it admitted: tokens a second, and the average worst case of a request.
class DemandMeter
{
public:
    /// Counts a request's worst case.
    void addRequest(Tokens bound);

    /// Counts tokens used.
    void addUse(Tokens used, Instant now);

    /// Tokens a second, exponentially weighted over about a minute.
    double rate(Instant now) const;

    /// Average worst case of recent requests; 0 before the first.
    double averageBound() const
    {
        return m_averageBound;
    }

private:
    double m_weightedSum = 0;
    double m_averageBound = 0;
    Instant m_updated{};
};

}
