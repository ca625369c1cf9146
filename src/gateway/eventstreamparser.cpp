#include "gateway/eventstreamparser.h"

#include <algorithm>
#include <optional>

namespace bamboohold {

namespace {

constexpr std::string_view s_idField = "id:";

/// The offset just after the blank line that ends the first complete event in the text. Lines end with LF or CRLF.
std::optional<std::size_t> endOfEvent(std::string_view text)
{
    std::size_t line = 0;
    while (line < text.size()) {
        const std::size_t end = text.find('\n', line);
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        const bool blank = end == line || (end == line + 1 && text[line] == '\r');
        if (blank) {
            return end + 1;
        }
        line = end + 1;
    }
    return std::nullopt;
}

}

std::string EventStreamParser::feed(std::string_view bytes)
{
    m_partial.append(bytes);
    std::size_t whole = 0;
    while (const auto end = endOfEvent(std::string_view(m_partial).substr(whole))) {
        recordEventIds(std::string_view(m_partial).substr(whole, *end));
        whole += *end;
    }
    std::string events = m_partial.substr(0, whole);
    m_partial.erase(0, whole);
    return events;
}

void EventStreamParser::recordEventIds(std::string_view event)
{
    std::size_t line = 0;
    while (line < event.size()) {
        const std::size_t end = std::min(event.find('\n', line), event.size());
        std::string_view text = event.substr(line, end - line);
        line = end + 1;
        if (!text.starts_with(s_idField)) {
            continue;
        }
        text.remove_prefix(s_idField.size());
        while (text.starts_with(' ')) {
            text.remove_prefix(1);
        }
        while (text.ends_with('\r')) {
            text.remove_suffix(1);
        }
        m_lastEventId = std::string(text);
        ++m_eventCount;
    }
}

}
