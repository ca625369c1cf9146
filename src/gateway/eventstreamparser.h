#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohold {

/// Splits a stream of server-sent events into complete events. A target may stop in the middle of an event; an incomplete event is never
/// forwarded, so that a resumed stream continues without a truncated or duplicated event.
class EventStreamParser
{
public:
    /// An incomplete event that is longer than this is not going to end.
    static constexpr std::size_t s_maxEventBytes = 256 * 1024;
    /// The longest id that a target can be asked to go on after. It is sent in a head, and some accept no head over 8 KiB.
    static constexpr std::size_t s_maxEventIdBytes = 4 * 1024;

    /// Appends bytes and returns the events that they complete. Looks at each byte once, however the event that it belongs to arrives.
    std::string feed(std::string_view bytes);

    /// Whether the incomplete event is longer than events may be.
    bool overlong() const
    {
        return m_partial.size() > s_maxEventBytes;
    }

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
        m_lineBegin = 0;
        m_searchedTo = 0;
    }

    /// The number of complete events so far that have an id; comments, for example, have none.
    std::uint64_t eventCount() const
    {
        return m_eventCount;
    }

    /// The id of the last complete event that has one; empty before the first one. Meaningful if canGoOn().
    const std::string &lastEventId() const
    {
        return m_lastEventId;
    }

    /// Whether another target can be told after which event to go on: the last event with data has an id, and the id can be sent in the
    /// head of a request. True before the first event.
    bool canGoOn() const
    {
        return m_canGoOn;
    }

private:
    /// The offset just after the blank line that ends the first event after `begin`; none if its end has not arrived.
    std::optional<std::size_t> endOfEvent(std::size_t begin);
    void recordEventIds(std::string_view event);
    void recordEventId(std::string_view id);

    std::string m_partial;
    /// Where the line begins whose end is sought, and up to where no end was found.
    std::size_t m_lineBegin = 0;
    std::size_t m_searchedTo = 0;
    std::string m_lastEventId;
    bool m_canGoOn = true;
    std::uint64_t m_eventCount = 0;
};

}
