#pragma once

#include "clock/instant.h"
#include "gateway/eventstreamparser.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace bamboohold {

/// Finds out that the body of a target's answer goes on without end, however fast it arrives. Pure: sizes and `now` in.
class AnswerBounds
{
public:
    struct Options {
        /// The caller waits until then.
        Instant deadline{};
        /// The most tokens that were asked for, each event of a stream having one at least; 0: not known.
        Tokens maxTokens = 0;
        /// Events beyond them, for those that have no token.
        std::uint64_t extraEvents = 8;
        /// Bytes without an event that has an id: comments, or an event that does not end.
        std::size_t maxBytesWithoutEvent = EventStreamParser::s_maxEventBytes;
    };

    AnswerBounds();
    explicit AnswerBounds(Options options);

    /// Whether the time for the answer is over.
    bool timeOver(Instant now) const
    {
        return now >= m_options.deadline;
    }

    /// Records bytes of a stream, and the events with an id that have arrived with them. Returns why the stream is not going to end, or
    /// none.
    std::optional<std::string_view> received(std::size_t bytes, std::uint64_t events);

    /// Whether the stream has more events than the request asked for, so that it cannot be continued elsewhere.
    bool tooManyEvents(std::uint64_t events) const;

    /// Another attempt begins, after these events.
    void beginAttempt(std::uint64_t events);

private:
    Options m_options;
    std::uint64_t m_events = 0;
    std::size_t m_bytesWithoutEvent = 0;
};

}
