#pragma once

#include "clock/instant.h"

#include <algorithm>

namespace bamboohold {

/// How long to wait for one peer's answers: a multiple of what they take, and twice as long after each one that did not come. An answer
/// that got lost is asked for again soon while the peer is quick, and a slow peer is not flooded with repeats.
class AdaptiveTimeout
{
public:
    struct Options {
        /// The least and the most to wait.
        Duration minTimeout{};
        Duration maxTimeout{};
        /// Answers vary: those of a queue at a busy moment take several times the mean.
        int meanMultiple = 8;
    };

    explicit AdaptiveTimeout(Options options)
        : m_options(options)
        , m_current(options.minTimeout)
    {
    }

    /// How long to wait for the next answer.
    Duration current() const
    {
        return m_current;
    }

    /// An answer came after this time.
    void recordAnswer(Duration responseTime)
    {
        m_mean = m_mean == Duration::zero() ? responseTime : m_mean + (responseTime - m_mean) / s_meanWeight;
        m_current = std::clamp(m_mean * m_options.meanMultiple, m_options.minTimeout, m_options.maxTimeout);
    }

    /// None came in time.
    void recordTimeout()
    {
        m_current = std::min(m_current * 2, m_options.maxTimeout);
    }

private:
    /// The newest answer's share in the mean is one in this many.
    static constexpr int s_meanWeight = 4;

    Options m_options;
    Duration m_current;
    Duration m_mean{};
};

}
