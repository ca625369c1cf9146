#pragma once

#include "gateway/attemptoutcome.h"
#include "gateway/callercodec.h"

#include <cstdint>

namespace bamboohold {

/// What is known of a request's end as far as it decides what its team pays.
struct RequestUsage {
    AttemptOutcome outcome = AttemptOutcome::NotRun;
    /// Attempts that may have run it.
    unsigned possibleExecutions = 0;
    /// An attempt other than the last broke off, so that nobody counted what it generated.
    bool hasUncountedAttempt = false;
    /// Its answer was a stream, and so many events of it were passed on, of so many tokens each at the most.
    bool streamed = false;
    std::uint64_t events = 0;
    Tokens tokensPerEvent = 1;
};

/// Tokens that a request has used: counted where its end is known, and its worst case where it is not. Never less than was delivered, so
/// that no team gets more than it has paid for.
Tokens usedTokens(const RequestTerms &terms, const RequestUsage &use);

}
