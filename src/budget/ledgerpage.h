#pragma once

#include "budget/charge.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// The charges of one flush, as an object in the object store. Pages of an incarnation form a chain from the newest, which the node's row
/// names; a page that no chain reaches belongs to a flush that never took effect and bills nothing.
struct LedgerPage {
    std::string previous;
    std::vector<Charge> charges;
};

/// JSON forms of a page; reading fails with InvalidDocument.
std::string serializeLedgerPage(const LedgerPage &page);
absl::StatusOr<LedgerPage> parseLedgerPage(std::string_view json);

}
