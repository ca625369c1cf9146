#include "engine/usagescanner.h"

#include "store/table.h"

#include <boost/json/parse.hpp>

#include <algorithm>

namespace bamboohold {

namespace {

constexpr std::string_view s_usagePrefix = "\"usage\":{";
constexpr std::string_view s_endOfStreamMarker = "data: [DONE]";
/// Maximum size of a usage object that is found across chunks; bounds the bytes kept between chunks.
constexpr std::size_t s_maxUsageBytes = 512;

/// Returns the JSON object that begins at the given position, or an empty view if its end has not been received yet.
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
    // The last object can still be incomplete; the one before it is then the latest complete one.
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
