#pragma once

#include <string>
#include <string_view>

namespace bamboohold {

/// Returns a name for this process that no earlier or later process with the same base name has: the base name, `~` and 64 random bits in
/// hexadecimal.
std::string newIncarnation(std::string_view name);

/// Returns a random 128-bit request identifier as 32 hexadecimal digits.
std::string newRequestId();

}
