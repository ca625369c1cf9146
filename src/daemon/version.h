#pragma once

#include <string_view>

namespace bamboohold {

/// Version of the daemon and the command-line client, as printed by --version.
inline constexpr std::string_view s_version = "0.1.0";

}
