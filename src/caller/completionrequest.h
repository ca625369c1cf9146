#pragma once

#include "clock/instant.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace bamboohold {

/// Limits on the number of output tokens that a caller may request.
struct OutputLimits {
    /// Used for requests that set no limit.
    Tokens defaultLimit = 256;
    Tokens maxLimit = 8192;
};

/// A validated completion request together with the body to send to the engine.
struct CompletionRequest {
    std::string model;
    bool streamed = false;
    /// Maximum number of output tokens, over all choices (`n`).
    Tokens outputLimit = 0;
    /// Upper bound on the tokens used by the request: one token per byte of the body, since no tokenizer produces more tokens than bytes,
    /// plus the output limit, which is always sent to the engine.
    Tokens bound = 0;
    /// The body for the engine. It always sets the output limit, and requests usage reports if the response is streamed.
    std::string engineBody;
};

/// Parses and validates an OpenAI-compatible request body. The request is a chat completion if `chat` is true, else a text completion.
/// Returns InvalidRequest, with the field and the accepted values in its text, if the body is not valid.
absl::StatusOr<CompletionRequest> readCompletionRequest(std::string_view body, bool chat, const OutputLimits &limits);

}
