#include "net/httpfield.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace bamboohold {

namespace {

/// The characters of a token other than letters and digits.
constexpr std::string_view s_tokenMarks = "!#$%&'*+-.^_`|~";

}

bool isFieldName(std::string_view text)
{
    const auto isTokenCharacter = [](char letter) {
        return absl::ascii_isalnum(static_cast<unsigned char>(letter)) || s_tokenMarks.find(letter) != std::string_view::npos;
    };
    return !text.empty() && text.size() <= s_maxFieldBytes && std::ranges::all_of(text, isTokenCharacter);
}

bool isFieldValue(std::string_view text)
{
    const auto isControl = [](char letter) {
        return letter != '\t' && absl::ascii_iscntrl(static_cast<unsigned char>(letter));
    };
    return text.size() <= s_maxFieldBytes && std::ranges::none_of(text, isControl);
}

}
