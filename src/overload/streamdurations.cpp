#include "overload/streamdurations.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// A part of a stream: how long it took for its tokens, and the longest pause in it.
struct Part {
    Tokens tokens = 0;
    Duration measured{};
    Duration longestPause{};
};

Duration multiplied(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds(duration) * factor));
}

/// The time without the longest pause, for another number of tokens. A longer part may have more than one such pause. All of it may be
/// waiting, so it is not scaled down.
Duration scaledPace(const Part &part, Tokens tokens)
{
    const double ratio = static_cast<double>(tokens) / static_cast<double>(std::max<Tokens>(part.tokens, 1));
    return multiplied(part.measured, std::max(1.0, ratio)) - part.longestPause;
}

/// The slowest of the observed parts of streams, for a part with a number of tokens, or a number that is not stated (zero).
class SlowestPart
{
public:
    explicit SlowestPart(Tokens tokens)
        : m_tokens(tokens)
    {
    }

    void add(const Part &part)
    {
        const bool scalable = m_tokens > 0 && part.tokens > 0;
        m_longestPause = std::max(m_longestPause, part.longestPause);
        m_slowestPace = std::max(m_slowestPace, scalable ? scaledPace(part, m_tokens) : part.measured - part.longestPause);
    }

    /// The longest pause and the slowest pace need not come from the same stream.
    Duration duration() const
    {
        return m_longestPause + m_slowestPace;
    }

private:
    Tokens m_tokens;
    Duration m_longestPause{};
    Duration m_slowestPace{};
};

}

StreamDurations::StreamId StreamDurations::begin(Tokens promptTokens, Instant arrived)
{
    m_running.emplace(++m_lastId, RunningStream{.promptTokens = promptTokens, .arrived = arrived});
    return m_lastId;
}

void StreamDurations::received(StreamId id, Tokens laterTokens, Instant now)
{
    RunningStream &stream = m_running.at(id);
    stream.firstEventAt = stream.firstEventAt.value_or(now);
    stream.longestPause = std::max(stream.longestPause, now - stream.latestEventAt.value_or(now));
    stream.laterTokens = laterTokens;
    stream.latestEventAt = now;
}

void StreamDurations::end(StreamId id, bool timedOut, Instant now)
{
    const auto stream = m_running.find(id);
    if (stream->second.firstEventAt || timedOut) {
        record(observation(stream->second, now), now);
    }
    m_running.erase(stream);
}

StreamDurations::Observation StreamDurations::observation(const RunningStream &stream, Instant endsAt)
{
    const Instant firstEventAt = stream.firstEventAt.value_or(endsAt);
    return {.promptTokens = stream.promptTokens,
            .firstEvent = firstEventAt - stream.arrived,
            .laterTokens = stream.laterTokens,
            .laterEvents = endsAt - firstEventAt,
            .longestPause = std::max(stream.longestPause, endsAt - stream.latestEventAt.value_or(endsAt)),
            .unfinished = !stream.firstEventAt};
}

void StreamDurations::record(const Observation &observation, Instant now)
{
    m_entries.push_back({.observation = observation, .endedAt = now});
    while (m_entries.size() > s_maxObservations || now - m_entries.front().endedAt > s_window) {
        m_entries.pop_front();
    }
}

std::optional<StreamEstimate> StreamDurations::estimate(Tokens promptTokens, Tokens maxOutputTokens, Instant now) const
{
    Duration firstEvent{};
    SlowestPart answer(maxOutputTokens);
    const auto add = [&](const Observation &seen) {
        firstEvent = std::max(firstEvent, scaledPace({.tokens = seen.promptTokens, .measured = seen.firstEvent}, promptTokens));
        answer.add({.tokens = seen.laterTokens, .measured = seen.laterEvents, .longestPause = seen.longestPause});
    };
    std::size_t ended = 0;
    for (const Entry &entry : m_entries) {
        if (now - entry.endedAt <= s_window) {
            add(entry.observation);
            ended += entry.observation.laterTokens > 0 ? 1 : 0;
        }
    }
    if (ended < s_minObservations) {
        return std::nullopt;
    }
    for (const auto &[id, stream] : m_running) {
        add(observation(stream, now));
    }
    return StreamEstimate{.firstEvent = firstEvent, .whole = firstEvent + answer.duration()};
}

}
