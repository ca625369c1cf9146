#pragma once

#include "gateway/callercodec.h"
#include "gateway/routingplan.h"

namespace bamboohold {

/// How long a request certainly takes no longer than, if all goes as usual.
Duration maxExpectedDuration(const Route &route, const RequestTerms &terms);

/// The time that it is given in a router which ends at that moment: less and less, the later it came.
Duration drainAllowance(const Route &route, const RequestTerms &terms, Duration untilShutdown);

/// How long an attempt may wait for its first byte: all of the time that is left, or, where the request may be tried again elsewhere, so
/// much that another attempt still has a chance.
Duration firstByteTimeout(const Route &route, Duration remaining, bool retryAllowed);

/// The longest silence within a stream before it is given up here.
Duration streamStallTimeout(const Route &route);

/// At least a millisecond: a wait of none would never end.
Duration clampedTimeout(Duration unclamped);

}
