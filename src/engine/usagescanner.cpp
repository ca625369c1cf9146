#include "engine/usagescanner.h"

#include "store/table.h"

#include <boost/json/parse.hpp>

#include <algorithm>

namespace bamboohold {

namespace {

constexpr std::string_view s_usagePrefix = "\"usage\":{";
constexpr std::string_view s_endOfStreamMarker = "data: [DONE]";
/// Longest usage object looked for; it bounds what is kept between pieces.
constexpr std::size_t s_maxUsageBytes = 512;

/// The object that begins at the position, empty when its end is not there yet.
std::string_view objectAt(std::string_view text, std::size_t begin)
{
    int depth = 0;
    for (std::size_t index = begin; index < text.size(); ++index) {
        depth += text[index] == '{' ? 1 : 0;
        depth -= text[index] == '}' ? 1 : 0;
        if (depth == 0) {
            return text.substr(begin, index - begin + 1);
        }
    }
    return {};
}

std::optional<TokenUsage> parseUsage(std::string_view json)
{
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse({json.data(), json.size()}, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const boost::json::object &object = value.get_object();
    const TokenUsage usage{.prompt = integerField(object, "prompt_tokens"), .output = integerField(object, "completion_tokens")};
    const bool plausible = usage.prompt >= 0 && usage.output >= 0 && object.contains("prompt_tokens");
    return plausible ? std::optional(usage) : std::nullopt;
}

}

void UsageScanner::feed(std::string_view chunk)
{
    m_tail.append(chunk);
    m_endOfStream = m_endOfStream || m_tail.find(s_endOfStreamMarker) != std::string::npos;
    // The newest object may still be cut; the one before it is then the newest whole one.
    for (std::size_t position = m_tail.rfind(s_usagePrefix); position != std::string::npos;
         position = position == 0 ? std::string::npos : m_tail.rfind(s_usagePrefix, position - 1)) {
        const std::string_view object = objectAt(m_tail, position + s_usagePrefix.size() - 1);
        if (const auto usage = object.empty() ? std::nullopt : parseUsage(object)) {
            m_usage = usage;
            break;
        }
    }
    if (m_tail.size() > s_maxUsageBytes) {
        m_tail.erase(0, m_tail.size() - s_maxUsageBytes);
    }
}

}
