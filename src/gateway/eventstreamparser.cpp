#include "gateway/eventstreamparser.h"

#include "net/httpfield.h"

#include <algorithm>
#include <optional>

namespace bamboohold {

namespace {

constexpr std::string_view s_idField = "id:";
constexpr std::string_view s_dataField = "data";
constexpr std::string_view s_dataLine = "data:";
constexpr char s_commentMark = ':';

/// A line of the stream, and the offset just after its end.
struct Line {
    std::string_view text;
    std::size_t next = 0;
};

/// The line that begins at the offset; none when its end has not arrived. Lines end with LF, CRLF or CR.
std::optional<Line> completeLine(std::string_view text, std::size_t begin)
{
    const std::size_t end = text.find_first_of("\r\n", begin);
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    const bool crlf = text.substr(end).starts_with("\r\n");
    return Line{.text = text.substr(begin, end - begin), .next = end + (crlf ? 2 : 1)};
}

}

std::optional<std::size_t> EventStreamParser::endOfEvent(std::size_t begin)
{
    m_lineBegin = std::max(m_lineBegin, begin);
    while (true) {
        const std::size_t end = m_partial.find_first_of("\r\n", std::max(m_lineBegin, m_searchedTo));
        if (end == std::string::npos) {
            m_searchedTo = m_partial.size();
            return std::nullopt;
        }
        const bool blank = end == m_lineBegin;
        // Whether a CR at the end is half of a line end is known only with the next byte.
        if (!blank && m_partial[end] == '\r' && end + 1 == m_partial.size()) {
            m_searchedTo = end;
            return std::nullopt;
        }
        const bool crlf = std::string_view(m_partial).substr(end).starts_with("\r\n");
        m_lineBegin = end + (crlf ? 2 : 1);
        m_searchedTo = m_lineBegin;
        if (blank) {
            return m_lineBegin;
        }
    }
}

std::string EventStreamParser::feed(std::string_view bytes)
{
    m_partial.append(bytes);
    std::size_t whole = 0;
    while (const auto end = endOfEvent(whole)) {
        recordEventIds(std::string_view(m_partial).substr(whole, *end - whole));
        whole = *end;
    }
    std::string events = m_partial.substr(0, whole);
    m_partial.erase(0, whole);
    m_lineBegin -= whole;
    m_searchedTo -= whole;
    return events;
}

bool EventStreamParser::insideEvent() const
{
    std::size_t begin = 0;
    while (const std::optional<Line> line = completeLine(m_partial, begin)) {
        if (!line->text.starts_with(s_commentMark)) {
            return true;
        }
        begin = line->next;
    }
    return begin < m_partial.size();
}

void EventStreamParser::recordEventIds(std::string_view event)
{
    std::size_t begin = 0;
    bool hasId = false;
    bool hasData = false;
    while (const std::optional<Line> line = completeLine(event, begin)) {
        begin = line->next;
        hasData = hasData || line->text == s_dataField || line->text.starts_with(s_dataLine);
        if (line->text.starts_with(s_idField)) {
            hasId = true;
            recordEventId(line->text.substr(s_idField.size()));
        }
    }
    // Another target would send it again after the event before it.
    m_canGoOn = m_canGoOn && (hasId || !hasData);
}

void EventStreamParser::recordEventId(std::string_view id)
{
    while (id.starts_with(' ')) {
        id.remove_prefix(1);
    }
    ++m_eventCount;
    const bool sendable = !id.empty() && id.size() <= s_maxEventIdBytes && isFieldValue(id);
    // Blanks around the value of a field get lost.
    m_canGoOn = sendable && id.front() != '\t' && id.back() != '\t' && id.back() != ' ';
    m_lastEventId = m_canGoOn ? std::string(id) : std::string();
}

}
