#include "gateway/answerbounds.h"

namespace bamboohold {

AnswerBounds::AnswerBounds()
    : AnswerBounds(Options{})
{
}

AnswerBounds::AnswerBounds(Options options)
    : m_options(options)
{
}

std::optional<std::string_view> AnswerBounds::received(std::size_t bytes, std::uint64_t events)
{
    m_bytesWithoutEvent = events > m_events ? 0 : m_bytesWithoutEvent + bytes;
    m_events = events;
    if (tooManyEvents(events)) {
        return "the stream has more events than were asked for";
    }
    if (m_bytesWithoutEvent > m_options.maxBytesWithoutEvent) {
        return "the stream goes on without an event";
    }
    return std::nullopt;
}

bool AnswerBounds::tooManyEvents(std::uint64_t events) const
{
    return m_options.maxTokens > 0 && events > static_cast<std::uint64_t>(m_options.maxTokens) + m_options.extraEvents;
}

void AnswerBounds::beginAttempt(std::uint64_t events)
{
    m_events = events;
    m_bytesWithoutEvent = 0;
}

}
