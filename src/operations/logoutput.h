#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohold {

/// Writes lines to a file descriptor without ever blocking on its reader, so that a log reader that stalls cannot stall the process. Unread
/// output is buffered up to a limit. Beyond it whole lines are dropped and counted, and the count is written as a line of its own once
/// there is space again.
class LogOutput
{
public:
    struct Options {
        int descriptor = 1;
        /// About a thousand lines, which is some seconds of output of a busy router.
        std::size_t maxPendingBytes = 256 * 1024;
    };

    explicit LogOutput(Options options);

    /// Writes a line, given without its line terminator.
    void write(std::string_view line);

    /// Writes as much buffered output as the reader accepts without blocking.
    void flush();

    /// Returns the number of lines dropped so far.
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
