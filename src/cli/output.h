#pragma once

#include "cli/arguments.h"
#include "failure/failure.h"

#include <boost/json/array.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Prints rows as an aligned table for people or as JSON for scripts, whichever was asked for. Columns are the fields named, in that order.
void printRows(const boost::json::array &rows, const std::vector<std::string> &columns, const Arguments &arguments);

/// Prints a failure on standard error and gives the exit code for it.
ExitCode reportFailure(const Failure &failure);

}
