#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboohold {

/// Splits a stream of server-sent events into complete events. A target may stop in the middle of an event; an incomplete event is never
/// forwarded, so that a resumed stream continues without a truncated or duplicated event.
class EventStreamParser
{
public:
    /// Appends bytes and returns the events that they complete.
    std::string feed(std::string_view bytes);

    /// The bytes after the last complete event.
    std::string_view incompleteEvent() const
    {
        return m_partial;
    }

    /// Whether a stream that ends here was broken off: the bytes after the last complete event are more than complete comment lines.
    bool insideEvent() const;

    /// Discards the incomplete event. Call before the stream is resumed at another target.
    void discardIncompleteEvent()
    {
        m_partial.clear();
    }

    /// The number of complete events so far that have an id; comments, for example, have none.
    std::uint64_t eventCount() const
    {
        return m_eventCount;
    }

    /// The id of the last complete event, as the target sent it; empty before the first one.
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
