#pragma once

#include "cli/arguments.h"

namespace bamboohold {

/// `explain ID FILE...`: what the logs say about a request, in order, and what made it end as it did.
ExitCode explainCommand(const Arguments &arguments);

}
