#include "gateway/observedstream.h"

namespace bamboohold {

ObservedStream::~ObservedStream()
{
    if (m_id) {
        m_durations->forget(*m_id);
    }
}

void ObservedStream::begin(StreamDurations &durations, Tokens promptTokens, Instant arrived)
{
    if (m_id) {
        return;
    }
    m_durations = &durations;
    m_id = durations.begin(promptTokens, arrived);
}

void ObservedStream::received(std::uint64_t events, Tokens tokensPerEvent, Instant now)
{
    if (m_id && events > 0) {
        m_durations->received(*m_id, static_cast<Tokens>(events - 1) * tokensPerEvent, now);
    }
}

void ObservedStream::end(bool timedOut, Instant now)
{
    if (m_id) {
        m_durations->end(*m_id, timedOut, now);
        m_id.reset();
    }
}

}
