#pragma once

#include "store/rowstore.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace bamboohold {

/// The store's table of quarantined requests. It has one part, with a row for each request whose key is the fingerprint's text. If an
/// operator deletes a row, every router releases the request within seconds.
inline constexpr std::string_view s_quarantineTable = "quarantine";

/// The content of a row.
struct QuarantineRow {
    /// Store time in milliseconds from which a trial may begin. For an acquitted request: the time of the acquittal.
    StoreTimeMs nextTrial = 0;
    /// See Quarantine::Entry; 0 if the request is acquitted. Such a row is kept for a while: a router that missed the announcement would
    /// otherwise find no row and write its own.
    unsigned quarantineLevel = 1;

    bool operator==(const QuarantineRow &) const = default;
};

std::string toText(const QuarantineRow &row);

/// Parses the text of a row. Returns InvalidDocument if it is not valid.
absl::StatusOr<QuarantineRow> quarantineRowFrom(std::string_view text);

}
