#pragma once

#include "cli/arguments.h"
#include "store/platformclient.h"

namespace bamboohold {

/// `budget show [NAME]`: prepaid, free, granted and consumed tokens.
asio::awaitable<ExitCode> showBudgets(PlatformClient &platform, const Arguments &arguments);

/// `budget top-up NAME TOKENS`: once per change id, also when the answer is lost and the command is given again.
asio::awaitable<ExitCode> topUpBudget(PlatformClient &platform, const Arguments &arguments);

/// `budget close NAME`: no further grant; what is granted comes back as its holders settle.
asio::awaitable<ExitCode> closeBudget(PlatformClient &platform, const Arguments &arguments);

/// `budget ledger [NAME]`: the charges.
asio::awaitable<ExitCode> showLedger(PlatformClient &platform, const Arguments &arguments);

/// `request show ID`: the charges of one request.
asio::awaitable<ExitCode> showRequest(PlatformClient &platform, const Arguments &arguments);

/// `node list`: router incarnations and their grants.
asio::awaitable<ExitCode> listNodes(PlatformClient &platform, const Arguments &arguments);

}
