#pragma once

#include "cli/arguments.h"

namespace bamboohold {

/// `explain ID FILE...`: prints the log entries of a request in order, followed by its outcome and the cause.
ExitCode explainCommand(const Arguments &arguments);

}
