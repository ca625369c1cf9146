#pragma once

#include "clock/instant.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace bamboohold {

/// Bounds on the output limit of a request.
struct OutputLimits {
    Tokens defaultLimit = 256;
    Tokens maxLimit = 8192;
};

/// A caller's completion request, checked and made ready for an engine.
struct CompletionRequest {
    std::string model;
    bool streamed = false;
    Tokens outputLimit = 0;
    /// Worst case of the run: no tokenizer makes more tokens than there are bytes, and the engine is always told the output limit.
    Tokens bound = 0;
    /// The body for the engine, with the output limit and usage reports asked for.
    std::string engineBody;
};

/// Reads an OpenAI-compatible body. InvalidRequest names the field and what is accepted.
absl::StatusOr<CompletionRequest> readCompletionRequest(std::string_view body, bool chat, const OutputLimits &limits);

}
