#include "membership/availabilitynotice.h"

#include <algorithm>

namespace bamboohold {

namespace {

/// Bounds what a malformed notice may state, so that no duration overflows; RouterAvailability has a lower bound.
constexpr std::int64_t s_maxStatedMs = 3'600'000;

RouterPhase fromWire(wire::AvailabilityPhase phase)
{
    switch (phase) {
    case wire::AVAILABILITY_ACCEPTING:
        return RouterPhase::Accepting;
    case wire::AVAILABILITY_STOPPING:
        return RouterPhase::Stopping;
    case wire::AVAILABILITY_CLOSED:
        return RouterPhase::Closed;
    default:
        // Also a phase that only a later version knows.
        return RouterPhase::Unknown;
    }
}

wire::AvailabilityPhase toWire(RouterPhase phase)
{
    switch (phase) {
    case RouterPhase::Unknown:
        break;
    case RouterPhase::Accepting:
        return wire::AVAILABILITY_ACCEPTING;
    case RouterPhase::Stopping:
        return wire::AVAILABILITY_STOPPING;
    case RouterPhase::Closed:
        return wire::AVAILABILITY_CLOSED;
    }
    return wire::AVAILABILITY_UNKNOWN;
}

Duration fromMs(std::int64_t ms)
{
    return std::chrono::milliseconds(std::clamp<std::int64_t>(ms, 0, s_maxStatedMs));
}

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}

wire::AvailabilityNotice toWire(const RouterState &state)
{
    wire::AvailabilityNotice notice;
    notice.set_failure_domain(state.failureDomain);
    notice.set_incarnation(state.incarnation);
    notice.set_sequence(state.sequence);
    notice.set_phase(toWire(state.phase));
    notice.set_since_change_ms(toMs(state.sinceChange));
    notice.set_until_accepting_ms(toMs(state.untilAccepting));
    notice.set_has_earlier_streams(state.hasEarlierStreams);
    notice.set_asks(state.asks);
    return notice;
}

RouterState fromWire(const wire::AvailabilityNotice &notice)
{
    return {.failureDomain = notice.failure_domain(),
            .incarnation = notice.incarnation(),
            .sequence = notice.sequence(),
            .phase = fromWire(notice.phase()),
            .sinceChange = fromMs(notice.since_change_ms()),
            .untilAccepting = fromMs(notice.until_accepting_ms()),
            .hasEarlierStreams = notice.has_earlier_streams(),
            .asks = notice.asks()};
}

}
