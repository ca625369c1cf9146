#pragma once

#include "budget/ledgerpage.h"
#include "store/platformclient.h"

#include <absl/status/status.h>

#include <functional>

namespace bamboohold {

/// Called once for each charge in the ledger.
using ChargeVisitor = std::function<void(const Charge &charge)>;

/// Visits all charges in the ledger, incarnation by incarnation, each from its newest page to its oldest. Fails if a page is missing or
/// invalid, because the ledger would otherwise be incomplete without anyone noticing.
asio::awaitable<absl::Status> visitLedger(PlatformClient &platform, ChargeVisitor visitor);

}
