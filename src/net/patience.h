#pragma once

#include "clock/instant.h"

#include <algorithm>

namespace bamboohold {

/// How long to wait for one peer's answers: a multiple of what they take, and twice as long after each one that did not come. An answer
/// that got lost is asked for again soon while the peer is quick, and a slow peer is not flooded with repeats.
class Patience
{
public:
    struct Options {
        /// The least and the most to wait.
        Duration least{};
        Duration most{};
        /// Answers vary: those of a queue at a busy moment take several times the mean.
        int multiple = 8;
    };

    explicit Patience(Options options)
        : m_options(options)
        , m_current(options.least)
    {
    }

    /// How long to wait for the next answer.
    Duration current() const
    {
        return m_current;
    }

    /// An answer came after this time.
    void answered(Duration after)
    {
        m_mean = m_mean == Duration::zero() ? after : m_mean + (after - m_mean) / s_weight;
        m_current = std::clamp(m_mean * m_options.multiple, m_options.least, m_options.most);
    }

    /// None came in time.
    void missed()
    {
        m_current = std::min(m_current * 2, m_options.most);
    }

private:
    /// The newest answer's share in the mean is one in this many.
    static constexpr int s_weight = 4;

    Options m_options;
    Duration m_current;
    Duration m_mean{};
};

}
