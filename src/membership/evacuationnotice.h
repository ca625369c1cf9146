#pragma once

#include "link/link.pb.h"
#include "membership/evacuations.h"

namespace bamboohold {

/// Converts the state of evacuations to and from the message that routers exchange.
wire::EvacuationNotice toWire(const Evacuations::State &state);
Evacuations::State fromWire(const wire::EvacuationNotice &notice);

}
