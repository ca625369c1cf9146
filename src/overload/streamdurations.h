#pragma once

#include "clock/instant.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace bamboohold {

/// How long a stream will take if it is as slow as the slowest of those that were observed.
struct StreamEstimate {
    /// From the arrival of the request to its first event.
    Duration firstEvent{};
    /// From the arrival of the request to the end of a stream that uses all of its output tokens.
    Duration whole{};
};

/// Observes how long the streams of one service take at this router, and estimates from that how long a further one will take: the slowest
/// first event, the longest pause after it, and the slowest pace, each scaled to the token counts of the stream in question and never below
/// what was measured, as waiting times do not depend on tokens. Streams that still run count with what they show so far, as they show that
/// targets have slowed down before they end. Pure: events and `now` in.
class StreamDurations
{
public:
    /// One stream that has ended, or as much of it as has been seen.
    struct Observation {
        Tokens promptTokens = 0;
        /// From the arrival of the request to the first event.
        Duration firstEvent{};
        /// Output tokens that were received after the first event, and how long that took. Zero tokens show no speed.
        Tokens laterTokens = 0;
        Duration laterEvents{};
        /// The longest time without an event in that.
        Duration longestPause{};
        /// The stream ended without an event, so that it would have taken longer than `firstEvent`.
        bool unfinished = false;
    };

    using StreamId = std::uint64_t;

    /// A stream that arrived at this time has been sent to a target.
    StreamId begin(Tokens promptTokens, Instant arrived);

    /// An event of the stream has arrived; this many output tokens have followed its first event by now.
    void received(StreamId id, Tokens laterTokens, Instant now);

    /// The stream has ended. One without an event is recorded only if it has timed out, since callers leave for their own reasons.
    void end(StreamId id, bool timedOut, Instant now);

    /// The stream shows nothing from now on.
    void forget(StreamId id)
    {
        m_running.erase(id);
    }

    void record(const Observation &observation, Instant now);

    /// The expected durations of a stream with these token counts; none where too few streams have ended lately.
    std::optional<StreamEstimate> estimate(Tokens promptTokens, Tokens maxOutputTokens, Instant now) const;

    /// Observations older than this no longer count.
    static constexpr Duration s_window = std::chrono::seconds(30);
    /// Fewer streams that have ended show nothing.
    static constexpr std::size_t s_minObservations = 10;
    /// The most observations that are kept: ten a second over the window.
    static constexpr std::size_t s_maxObservations = 300;

private:
    struct Entry {
        Observation observation;
        Instant endedAt{};
    };

    struct RunningStream {
        Tokens promptTokens = 0;
        Instant arrived{};
        std::optional<Instant> firstEventAt;
        Tokens laterTokens = 0;
        std::optional<Instant> latestEventAt;
        Duration longestPause{};
    };

    /// What the stream shows if it ends at this time.
    static Observation observation(const RunningStream &stream, Instant endsAt);

    /// In order of time.
    std::deque<Entry> m_entries;
    std::map<StreamId, RunningStream> m_running;
    StreamId m_lastId = 0;
};

}
