#pragma once

#include "clock/instant.h"
#include "failure/failure.h"
#include "gateway/targetbalancer.h"
#include "net/httpserver.h"

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bamboohold {

/// The information about a request that its caller sends in headers.
struct RequestMetadata {
    std::string requestId;
    /// How long the caller waits for the response, counted from when it sent the request.
    Duration callerTimeout = std::chrono::seconds(30);
    /// The team's API key; empty if there is none.
    std::string apiKey;
    /// Prompt tokens, and the most tokens that may be generated; both 0 for a service that does not use tokens.
    Tokens promptTokens = 0;
    Tokens maxOutputTokens = 0;
    std::vector<PromptPart> prompt;
    /// The model that is to answer; empty if the caller names none.
    std::string model;
    /// The id of the last event that the caller has received of the stream that it resumes; empty if it does not resume one.
    std::string resumeAfter;
    /// The id of the caller's request whose answer had the first event of that stream; empty if the caller names none.
    std::string resumes;

    /// The most tokens that the request can use.
    Tokens worstCaseTokens() const
    {
        return promptTokens + maxOutputTokens;
    }
};

/// The information about one attempt that a router sends to a target.
struct DispatchMetadata {
    /// Name of the only process that may run the request, since addresses are reused. It keeps this name when it restarts.
    std::string incarnation;
    std::string team;
    Duration timeLeft{};
    int priority = 0;
    /// The id of the event after which the stream is to continue. If empty, it starts at the beginning, or where the caller itself asked to
    /// resume.
    std::string resumeAfter;
};

/// The information in the head of a response, apart from its status.
struct ResponseMetadata {
    std::string requestId;
    /// The target has marked the response as its own with a seal.
    bool sealed = false;
    /// The target states that it did not run the request.
    bool notRun = false;
    /// The address belongs to another process than the expected one.
    bool misdirected = false;
    /// The body has a content encoding, so it was changed in transit.
    bool contentEncoded = false;
    /// Requests per second that the target accepts from all routers together. The limit applies as long as its responses name it.
    std::optional<double> requestRateLimit;
    /// The target is shutting down and accepts no new requests.
    bool leaving = false;
    /// The target has declined the request, and this router is to send it no requests for this long.
    std::optional<Duration> retryAfter;
    /// A header with information about the target that could not be parsed; empty if there is none.
    std::string malformedHeader;
};

/// How a failure is reported to the callers of one interface.
struct FailureResponse {
    unsigned status = 503;
    std::vector<HttpHeader> headers;
};

/// Translates between the headers of a caller interface and the metadata above. A new interface provides these four functions.
struct CallerCodec {
    std::function<absl::StatusOr<RequestMetadata>(const http::fields &)> readRequest;
    /// All headers for the target, including those of the caller.
    std::function<std::vector<HttpHeader>(const HttpRequest &, const DispatchMetadata &)> dispatchHeaders;
    std::function<ResponseMetadata(unsigned status, const http::fields &)> readResponse;
    std::function<FailureResponse(const Failure &)> failureResponse;
};

/// The end-to-end headers of a message: all but the hop-by-hop headers of HTTP, those that the message itself names in Connection, and
/// those about its framing.
std::vector<HttpHeader> endToEndHeaders(const http::fields &fields);

}
