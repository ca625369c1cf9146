#include "gateway/requestcost.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// Events that a target may have generated, but not delivered, before it noticed that the caller had disconnected: those of half a second
/// at the engine's highest speed, and a few that were in transit.
constexpr Tokens s_maxUndeliveredEvents = 48;

Tokens countedTokens(const RequestMetadata &metadata, const RequestUsage &use)
{
    if (use.possibleExecutions == 0) {
        return 0;
    }
    if (use.hasUncountedAttempt) {
        return metadata.worstCaseTokens();
    }
    const auto events = static_cast<Tokens>(use.events + use.closedInOrder);
    const bool interrupted = use.outcome == AttemptOutcome::Incomplete || use.outcome == AttemptOutcome::NotRun;
    if (interrupted && use.possibleExecutions == use.closedInOrder) {
        return metadata.promptTokens + events * use.tokensPerEvent;
    }
    if (use.outcome == AttemptOutcome::Delivered && use.streamed) {
        return metadata.promptTokens + events * use.tokensPerEvent;
    }
    if (use.outcome == AttemptOutcome::Failed) {
        // An earlier attempt may have delivered events.
        return metadata.promptTokens + events * use.tokensPerEvent;
    }
    if (use.outcome == AttemptOutcome::CallerDisconnected) {
        return metadata.promptTokens + (events + s_maxUndeliveredEvents) * use.tokensPerEvent;
    }
    return metadata.worstCaseTokens();
}

}

Tokens usedTokens(const RequestMetadata &metadata, const RequestUsage &use)
{
    // An event may hold fewer tokens than the most that one can.
    return std::min(countedTokens(metadata, use), metadata.worstCaseTokens());
}

}
