#pragma once

#include "overload/streamdurations.h"

#include <optional>

namespace bamboohold {

/// Reports one request's stream to the observed ones of its service, as long as it runs. Pure: events and `now` in.
class ObservedStream
{
public:
    ObservedStream() = default;
    ~ObservedStream();

    ObservedStream(const ObservedStream &) = delete;
    ObservedStream &operator=(const ObservedStream &) = delete;

    /// The stream has been sent to a target; later calls change nothing. The durations must outlive this object.
    void begin(StreamDurations &durations, Tokens promptTokens, Instant arrived);

    /// Events have arrived, which are this many with those before.
    void received(std::uint64_t events, Tokens tokensPerEvent, Instant now);

    /// The stream has ended, perhaps because its time was over.
    void end(bool timedOut, Instant now);

private:
    StreamDurations *m_durations = nullptr;
    std::optional<StreamDurations::StreamId> m_id;
};

}
