#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohold {

/// Cuts a stream of server-sent events into whole events. A target may stop in the middle of an event; what was not whole is never passed
/// on, so that a resumed stream joins without a torn or doubled piece.
class EventStreamParser
{
public:
    /// Takes bytes as they arrive and returns the whole events among all bytes so far.
    std::string feed(std::string_view bytes);

    /// Bytes after the last whole event.
    std::string_view incompleteEvent() const
    {
        return m_partial;
    }

    /// The target changed: an event that it had begun is dropped.
    void discardIncompleteEvent()
    {
        m_partial.clear();
    }

    /// Whole events so far, those without an id (comments and the like) left out.
    std::uint64_t eventCount() const
    {
        return m_eventCount;
    }

    /// The id of the last whole event, as the target wrote it; empty before the first.
    const std::string &lastEventId() const
    {
        return m_lastEventId;
    }

private:
    void recordEventIds(std::string_view event);

    std::string m_partial;
    std::string m_lastEventId;
    std::uint64_t m_eventCount = 0;
};

}
