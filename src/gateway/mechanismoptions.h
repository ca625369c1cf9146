#pragma once

#include "budget/holdingpolicy.h"
#include "gateway/gateway.h"
#include "gateway/mechanisms.h"

#include <string_view>

namespace bamboohold {

/// Switches off what is disabled in the options of a router, which is known to others by the link address `self`.
void applyMechanisms(const Mechanisms &enabled, std::string_view self, Gateway::Options &gateway, HoldingPolicy &holdings);

}
