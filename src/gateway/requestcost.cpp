#include "gateway/requestcost.h"

namespace bamboohold {

namespace {

/// Events that a target may have made, unseen, before it noticed that its answer was no longer wanted: half a second's worth at the fastest
/// step, and some that were on their way.
constexpr Tokens s_unseenEvents = 48;

}

Tokens usedTokens(const RequestTerms &terms, const RequestUse &use)
{
    if (use.ran == 0) {
        return 0;
    }
    if (use.uncounted) {
        return terms.bound();
    }
    const auto events = static_cast<Tokens>(use.events);
    if (use.end == AttemptOutcome::Delivered && use.streamed) {
        return terms.promptTokens + events * use.tokensPerEvent;
    }
    if (use.end == AttemptOutcome::Failed) {
        return terms.promptTokens;
    }
    if (use.end == AttemptOutcome::CallerDisconnected) {
        return terms.promptTokens + (events + s_unseenEvents) * use.tokensPerEvent;
    }
    return terms.bound();
}

}
