#pragma once

#include "cli/arguments.h"
#include "failure/failure.h"

#include <boost/json/array.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Prints rows as an aligned table or as JSON, as selected by --output. The table has the given fields as columns, in that order.
void printRows(const boost::json::array &rows, const std::vector<std::string> &columns, const Arguments &arguments);

/// Prints a failure to standard error and returns its exit code.
ExitCode reportFailure(const Failure &failure);

}
