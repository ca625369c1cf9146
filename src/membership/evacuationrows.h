#pragma once

#include <string_view>

namespace bamboohold {

/// Key prefix of the platform's table rows for evacuated failure domains; the name of the domain follows.
inline constexpr std::string_view s_evacuationRowPrefix = "evacuation/";

}
