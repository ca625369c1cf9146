#pragma once

#include "clock/instant.h"

namespace bamboohold {

/// Estimates the demand for a budget at one router: tokens used a second, and the average upper bound of a request's tokens.
class DemandMeter
{
public:
    /// `timeConstant` is the time constant of the exponentially weighted rate.
    explicit DemandMeter(Duration timeConstant = std::chrono::seconds(60))
        : m_timeConstantSeconds(seconds(timeConstant))
    {
    }

    /// Records a request's upper bound of tokens.
    void addRequest(Tokens bound);

    /// Records used tokens.
    void addUse(Tokens used, Instant now);

    /// Tokens a second. Too low until the meter has run for several time constants.
    double rate(Instant now) const;

    /// Tokens a second, corrected for a meter that started to count at `since`.
    double rateSince(Instant since, Instant now) const;

    /// Average upper bound of recent requests in tokens; 0 before the first request.
    double averageBound() const
    {
        return m_averageBound;
    }

private:
    double m_timeConstantSeconds;
    double m_weightedSum = 0;
    double m_averageBound = 0;
    Instant m_updated{};
};

}
