#pragma once

#include "store/rowstore.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace bamboohold {

/// The table of requests that are held back: one part, a row for each, under its fingerprint's text. An operator who takes a row away lets
/// the request pass again, on every router within seconds.
inline constexpr std::string_view s_quarantineTable = "quarantine";

/// What the store knows of one of them.
struct QuarantineRow {
    /// Store time from which it may be tried; of one that is held back no longer, when that was found.
    StoreTimeMs nextTrial = 0;
    /// See Quarantine::Entry. 0: held back no longer. Such a row stays for a while: a router that has missed the peer's word would
    /// otherwise take its absence for a row that is still to be written.
    unsigned terms = 1;

    bool operator==(const QuarantineRow &) const = default;
};

std::string toText(const QuarantineRow &row);

/// The row of a text; InvalidDocument when it is none.
absl::StatusOr<QuarantineRow> quarantineRowFrom(std::string_view text);

}
