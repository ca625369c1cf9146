#pragma once

#include <string>
#include <string_view>

namespace bamboohold {

/// A name for this process that no earlier or later one at the same place has: the place's name and 64 random bits.
std::string newIncarnation(std::string_view name);

/// A random 128-bit identifier for a request, as 32 hexadecimal digits.
std::string newRequestId();

}
