#pragma once

#include "clock/instant.h"

#include <optional>
#include <string>
#include <string_view>

namespace bamboohold {

/// Tokens of a run as its engine counted them.
struct TokenUsage {
    Tokens prompt = 0;
    Tokens output = 0;

    Tokens total() const
    {
        return prompt + output;
    }
};

/// Finds the newest usage object in an answer as its pieces go by, streamed or whole, without holding the answer. Pure.
class UsageScanner
{
public:
    /// Takes the next piece of the answer, cut anywhere.
    void feed(std::string_view chunk);

    /// The newest usage seen; empty while the engine has reported none.
    const std::optional<TokenUsage> &usage() const
    {
        return m_usage;
    }

    /// True once the mark that ends a stream of server-sent events has gone by.
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
