#pragma once

#include "gateway/callercodec.h"
#include "gateway/routingplan.h"

namespace bamboohold {

/// Upper estimate of the time that a request takes if its target works normally: the route's timeout, or for streams an estimate from the
/// token counts. Never longer than the route's timeout or the caller's.
Duration maxExpectedDuration(const Route &route, const RequestMetadata &metadata);

/// The time after which a caller that a draining router refuses reaches another one: until the load balancer sends no connections here.
Duration drainRetryTime(Duration sinceDrainStart);

/// How long an attempt may wait for its first byte: all of the remaining time, or, if the request may be retried at another target, little
/// enough that a retry can still succeed.
Duration firstByteTimeout(const Route &route, Duration remaining, bool retryAllowed);

/// The pause within a stream after which it is considered to move the stream to another target; see decideStall().
Duration streamStallTimeout(const Route &route);

/// How long callers of a stream wait for its next event.
Duration callerPatience(const Route &route);

/// The timeout, raised to at least one millisecond: a wait with a timeout of zero would never end.
Duration clampedTimeout(Duration unclamped);

}
