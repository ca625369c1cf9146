#include "operations/logoutput.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace bamboohold {

namespace {

/// A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF on Linux).
constexpr std::size_t s_writeChunkBytes = 4096;

}

LogOutput::LogOutput(Options options)
    : m_options(options)
{
}

bool LogOutput::writable() const
{
    pollfd entry{.fd = m_options.descriptor, .events = POLLOUT, .revents = 0};
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

void LogOutput::write(std::string_view line)
{
    if (m_pending.size() + line.size() + 1 > m_options.maxPendingBytes) {
        flush();
    }
    if (m_pending.size() + line.size() + 1 > m_options.maxPendingBytes) {
        ++m_dropped;
        ++m_unreportedDrops;
        return;
    }
    if (m_unreportedDrops > 0) {
        m_pending.append("{\"event\":\"log.dropped\",\"lines\":").append(std::to_string(m_unreportedDrops)).append("}\n");
        m_unreportedDrops = 0;
    }
    m_pending.append(line).push_back('\n');
    flush();
}

void LogOutput::flush()
{
    std::size_t written = 0;
    while (written < m_pending.size() && writable()) {
        const std::size_t chunkSize = std::min(s_writeChunkBytes, m_pending.size() - written);
        const ssize_t taken = ::write(m_options.descriptor, m_pending.data() + written, chunkSize);
        if (taken <= 0 && errno != EINTR) {
            break;
        }
        written += taken > 0 ? static_cast<std::size_t>(taken) : 0;
    }
    m_pending.erase(0, written);
}

}
