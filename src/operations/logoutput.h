#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohold {

/// Writes lines to a descriptor and never waits for its reader. What the reader has not taken is kept up to a bound; beyond it whole lines
/// are dropped and counted, and the count is written as a line of its own as soon as there is room again. A reader that stops reading must
/// not stop the process that it watches.
class LogOutput
{
public:
    struct Options {
        int descriptor = 1;
        /// About a thousand lines: some seconds of a busy router.
        std::size_t maxPendingBytes = 256 * 1024;
    };

    explicit LogOutput(Options options);

    /// Takes a line without its end.
    void write(std::string_view line);

    /// Hands over what the reader takes now.
    void flush();

    /// Lines dropped so far.
    std::uint64_t dropped() const
    {
        return m_dropped;
    }

private:
    bool writable() const;

    Options m_options;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_unreportedDrops = 0;
};

}
