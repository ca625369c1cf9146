#pragma once

#include "overload/clientquota.h"

namespace bamboohold {

/// Returns what a process may take of its host: what the settings state, and where they state nothing, or more, what the system allows.
HostResources withinSystemLimits(HostResources stated);

}
