#pragma once

#include "budget/ledgerpage.h"
#include "store/platformclient.h"

#include <absl/status/status.h>

#include <functional>

namespace bamboohold {

/// Takes one line of the ledger.
using ChargeVisitor = std::function<void(const Charge &charge)>;

/// Walks every incarnation's chain of ledger pages, newest first within a chain. A missing page is an error: the ledger would be incomplete
/// unseen.
asio::awaitable<absl::Status> visitLedger(PlatformClient &platform, ChargeVisitor visitor);

}
