#include "gateway/requestcost.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// Events that a target may have generated, but not delivered, before it noticed that the caller had disconnected: those of half a second
/// at the engine's highest speed, and a few that were in transit.
constexpr Tokens s_maxUndeliveredEvents = 48;

}

Tokens usedTokens(const RequestMetadata &metadata, const RequestUsage &use)
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
        return std::min(metadata.promptTokens + events * use.tokensPerEvent, metadata.worstCaseTokens());
    }
    if (use.outcome == AttemptOutcome::Delivered && use.streamed) {
        return metadata.promptTokens + events * use.tokensPerEvent;
    }
    if (use.outcome == AttemptOutcome::Failed) {
        return metadata.promptTokens;
    }
    if (use.outcome == AttemptOutcome::CallerDisconnected) {
        return metadata.promptTokens + (events + s_maxUndeliveredEvents) * use.tokensPerEvent;
    }
    return metadata.worstCaseTokens();
}

}
