#pragma once

#include "clock/instant.h"

#include <optional>
#include <string>
#include <string_view>

namespace bamboohold {

/// Token counts of a run as reported by its engine.
struct TokenUsage {
    Tokens prompt = 0;
    Tokens output = 0;

    Tokens total() const
    {
        return prompt + output;
    }
};

/// Incrementally extracts the latest usage object from a response, streamed or not, without buffering the response. Performs no I/O.
class UsageScanner
{
public:
    /// Processes the next chunk of the response. Chunk boundaries can be anywhere.
    void feed(std::string_view chunk);

    /// The latest complete usage object found; empty if there is none yet.
    const std::optional<TokenUsage> &usage() const
    {
        return m_usage;
    }

    /// True once the marker that ends the event stream (`data: [DONE]`) has been found.
    bool sawEndOfStream() const
    {
        return m_endOfStream;
    }

private:
    std::string m_tail;
    std::optional<TokenUsage> m_usage;
    bool m_endOfStream = false;
};

}
