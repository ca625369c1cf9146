#pragma once

#include "clock/instant.h"
#include "failure/failure.h"
#include "gateway/targetboard.h"
#include "net/httpserver.h"

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bamboohold {

/// What a caller says about its request besides method, path and body.
struct RequestMetadata {
    std::string requestId;
    /// How long the caller waits, counted from when it sent the request.
    Duration callerTimeout = std::chrono::seconds(30);
    /// The team's key; empty when there is none.
    std::string apiKey;
    /// Prompt tokens, and the most that may be generated; both 0 for a plain service.
    Tokens promptTokens = 0;
    Tokens maxOutputTokens = 0;
    std::vector<PromptPart> prompt;

    /// The request's worst case.
    Tokens worstCaseTokens() const
    {
        return promptTokens + maxOutputTokens;
    }
};

/// What a router tells a target about one attempt.
struct DispatchMetadata {
    /// Name of the only process that may run it; addresses are used again. It keeps the name when it starts again.
    std::string incarnation;
    std::string team;
    Duration timeLeft{};
    int priority = 0;
    /// Goes on after this event; empty: from the start, or where the caller itself asked to go on.
    std::string resumeAfter;
};

/// What an answer's head says besides its status.
struct ResponseMetadata {
    std::string requestId;
    /// The target vouches for the answer.
    bool sealed = false;
    /// The target says that it did not run the request.
    bool notRun = false;
    /// Another process than the expected one has the address.
    bool misdirected = false;
    /// The body was changed on its way.
    bool contentEncoded = false;
    /// Requests a second that the target takes from all routers together, for as long as its answers say so.
    std::optional<double> requestRateLimit;
    /// The target says that it leaves: it takes nothing new.
    bool leaving = false;
    /// The target has turned the request away, and wants nothing from this router for so long.
    std::optional<Duration> retryAfter;
    /// A header about the target that cannot be read; empty where there is none.
    std::string malformedHeader;
};

/// How a failure is told to callers of one interface.
struct FailureResponse {
    unsigned status = 503;
    std::vector<HttpHeader> headers;
};

/// The headers of a caller's interface, decoded into terms and back. An interface is added by filling in the four functions.
struct CallerCodec {
    std::function<absl::StatusOr<RequestMetadata>(const http::fields &)> readRequest;
    /// All headers that go to the target, the caller's own included.
    std::function<std::vector<HttpHeader>(const HttpRequest &, const DispatchMetadata &)> dispatchHeaders;
    std::function<ResponseMetadata(unsigned status, const http::fields &)> readResponse;
    std::function<FailureResponse(const Failure &)> failureResponse;
};

/// The headers of a message that are meant for more than one connection: all but those that HTTP calls hop-by-hop, those that the message
/// itself declares to be so, and those about its framing.
std::vector<HttpHeader> endToEndHeaders(const http::fields &fields);

}
