#pragma once

#include "gateway/attemptoutcome.h"
#include "gateway/callercodec.h"

#include <cstdint>

namespace bamboohold {

/// The outcome of a request, as far as it determines what the team is charged.
struct RequestUsage {
    AttemptOutcome outcome = AttemptOutcome::NotRun;
    /// Attempts in which a target may have run the request.
    unsigned possibleExecutions = 0;
    /// An attempt other than the last one was interrupted, so the tokens that it generated were not counted.
    bool hasUncountedAttempt = false;
    /// Attempts whose stream the target closed in order before it was complete. All that was generated has arrived then, the last event
    /// perhaps in part.
    unsigned closedInOrder = 0;
    /// Whether the response was a stream, how many of its events were forwarded, and the most tokens that one event holds.
    bool streamed = false;
    std::uint64_t events = 0;
    Tokens tokensPerEvent = 1;
};

/// The tokens that a request is charged: the number used if its outcome is known, otherwise the worst case. Never less than was delivered,
/// so that no team gets more than it has paid for, and never more than the request may use.
Tokens usedTokens(const RequestMetadata &metadata, const RequestUsage &use);

}
