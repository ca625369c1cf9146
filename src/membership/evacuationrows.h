#pragma once

#include <string_view>

namespace bamboohold {

/// In the platform's table, a row for each failure domain that is evacuated: its key is this and the domain's name.
inline constexpr std::string_view s_evacuationRowPrefix = "evacuation/";

}
