#pragma once

#include "link/link.pb.h"
#include "membership/evacuations.h"

namespace bamboohold {

/// What routers tell each other of evacuations, as messages.
wire::EvacuationNotice toWire(const Evacuations::State &state);
Evacuations::State fromWire(const wire::EvacuationNotice &notice);

}
