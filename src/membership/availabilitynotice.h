#pragma once

#include "link/link.pb.h"
#include "membership/routeravailability.h"

namespace bamboohold {

/// Converts what a router says of itself to the message that peers exchange, and back.
wire::AvailabilityNotice toWire(const RouterState &state);
RouterState fromWire(const wire::AvailabilityNotice &notice);

}
