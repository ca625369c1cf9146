#pragma once

#include "store/rowstore.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace bamboohold {

/// The store's table of quarantined requests and parts of prompts. It has one part, with a row for each of them whose key is the
/// fingerprint's text. If an operator deletes a row, every router releases the request or part within seconds.
inline constexpr std::string_view s_quarantineTable = "quarantine";

/// The content of a row.
struct QuarantineRow {
    /// Store time in milliseconds from which a trial may begin. For an acquitted request: the time of the acquittal.
    StoreTimeMs nextTrial = 0;
    /// See Quarantine::Entry; 0 if the request is acquitted. Such a row is kept for a while: a router that missed the announcement would
    /// otherwise find no row and write its own.
    unsigned quarantineLevel = 1;
    /// Of a part of prompts: number of trials, whether a trial had other suspected parts as well, and the store time in milliseconds of the
    /// last crash that counts against it; 0 if unknown.
    unsigned trials = 0;
    bool jointTrial = false;
    StoreTimeMs lastCrash = 0;

    bool operator==(const QuarantineRow &) const = default;
};

std::string toText(const QuarantineRow &row);

/// Parses the text of a row. Returns InvalidDocument if it is not valid.
absl::StatusOr<QuarantineRow> quarantineRowFrom(std::string_view text);

}
