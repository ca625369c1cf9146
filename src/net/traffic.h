#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace bamboohold {

/// Counts the bytes on the connections of callers and targets. Thread-safe: each event loop adds to it.
struct Traffic {
    std::atomic<std::uint64_t> received = 0;
    std::atomic<std::uint64_t> sent = 0;
    /// Bytes of answers that are held in memory for callers. What their requests take has a limit of its own, see ClientQuota.
    std::atomic<std::int64_t> held = 0;
    /// Open connections to targets.
    std::atomic<std::size_t> targetConnections = 0;
};

/// Counts how far the requests of callers got. Thread-safe.
struct CallerCounts {
    std::atomic<std::uint64_t> connections = 0;
    /// The connection ended after a part of the head, or of the body.
    std::atomic<std::uint64_t> leftInHead = 0;
    std::atomic<std::uint64_t> leftInBody = 0;
    std::atomic<std::uint64_t> heads = 0;
    /// Any part of an answer was sent, or none.
    std::atomic<std::uint64_t> answered = 0;
    std::atomic<std::uint64_t> leftUnanswered = 0;
    /// Microseconds from the accepting of connections to the ends of their first heads, in total and at most.
    std::atomic<std::uint64_t> firstHeadUs = 0;
    std::atomic<std::uint64_t> longestFirstHeadUs = 0;
    /// The same from the end of the head to the end of the body.
    std::atomic<std::uint64_t> bodyUs = 0;
    std::atomic<std::uint64_t> longestBodyUs = 0;
};

/// Counts bytes as held until it is destroyed. Without a `Traffic` it does nothing. Shares the counters, since the last coroutines of an
/// event loop are destroyed after the objects that they served.
class HeldBytes
{
public:
    explicit HeldBytes(std::shared_ptr<Traffic> traffic, std::size_t bytes = 0)
        : m_traffic(std::move(traffic))
    {
        add(bytes);
    }

    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    ~HeldBytes()
    {
        release();
    }

    void add(std::size_t bytes)
    {
        if (m_traffic) {
            m_bytes += static_cast<std::int64_t>(bytes);
            m_traffic->held += static_cast<std::int64_t>(bytes);
        }
    }

    void release()
    {
        if (m_traffic) {
            m_traffic->held -= std::exchange(m_bytes, 0);
        }
    }

private:
    std::shared_ptr<Traffic> m_traffic;
    std::int64_t m_bytes = 0;
};

}
