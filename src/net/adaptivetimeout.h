#pragma once

#include "clock/instant.h"

#include <algorithm>

namespace bamboohold {

/// A timeout for the answers of one peer that adapts to its response times. It is a multiple of their moving average and doubles after each
/// timeout. A lost answer is thus requested again soon from a fast peer, while a slow peer is not flooded with repeated requests.
class AdaptiveTimeout
{
public:
    struct Options {
        /// The bounds of the timeout. It starts at minTimeout.
        Duration minTimeout{};
        Duration maxTimeout{};
        /// The timeout is this multiple of the average response time. Response times vary: those of a briefly overloaded queue are several
        /// times the average.
        int meanMultiple = 8;
    };

    explicit AdaptiveTimeout(Options options)
        : m_options(options)
        , m_current(options.minTimeout)
    {
    }

    /// Returns the timeout for the next answer.
    Duration current() const
    {
        return m_current;
    }

    /// Records an answer that arrived after this time.
    void recordAnswer(Duration responseTime)
    {
        m_mean = m_mean == Duration::zero() ? responseTime : m_mean + (responseTime - m_mean) / s_meanWeight;
        m_current = std::clamp(m_mean * m_options.meanMultiple, m_options.minTimeout, m_options.maxTimeout);
    }

    /// Records that no answer arrived in time.
    void recordTimeout()
    {
        m_current = std::min(m_current * 2, m_options.maxTimeout);
    }

private:
    /// The latest response time contributes one part in this many to the average.
    static constexpr int s_meanWeight = 4;

    Options m_options;
    Duration m_current;
    Duration m_mean{};
};

}
