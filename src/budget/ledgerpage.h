#pragma once

#include "budget/charge.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// The charges of one flush, stored as one object in the object store. The pages of an incarnation form a linked list: the node's row names
/// the newest page, and each page names the previous one. A page that is not in the list belongs to a flush that never took effect and
/// bills nothing.
struct LedgerPage {
    std::string previous;
    std::vector<Charge> charges;
};

/// Convert a page to and from its JSON form. Parsing fails with InvalidDocument.
std::string serializeLedgerPage(const LedgerPage &page);
absl::StatusOr<LedgerPage> parseLedgerPage(std::string_view json);

}
