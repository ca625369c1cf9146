#pragma once

#include <cstddef>
#include <string_view>

namespace bamboohold {

/// The most bytes that the name or the value of a field may have; Beast throws for more.
constexpr std::size_t s_maxFieldBytes = 65'533;

/// Whether the text may be the name of a field: a token of RFC 9110, section 5.6.2, of s_maxFieldBytes at most.
bool isFieldName(std::string_view text);

/// Whether the text may be the value of a field: it has no control bytes other than tabs (RFC 9110, section 5.5), and s_maxFieldBytes at
/// most. Blanks around it get lost on the way.
bool isFieldValue(std::string_view text);

}
