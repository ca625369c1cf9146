#pragma once

#include "cli/arguments.h"
#include "store/platformclient.h"

namespace bamboohold {

/// `budget show [NAME]`: prints the prepaid, free, granted and consumed tokens of one budget or of all.
asio::awaitable<ExitCode> showBudgets(PlatformClient &platform, const Arguments &arguments);

/// `budget top-up NAME TOKENS`: adds tokens to a budget. A change id is applied only once, so that the command can be repeated after a lost
/// response.
asio::awaitable<ExitCode> topUpBudget(PlatformClient &platform, const Arguments &arguments);

/// `budget close NAME`: stops granting tokens from a budget. Granted tokens are returned as their holders settle.
asio::awaitable<ExitCode> closeBudget(PlatformClient &platform, const Arguments &arguments);

/// `budget ledger [NAME]`: prints the charges of one budget or of all.
asio::awaitable<ExitCode> showLedger(PlatformClient &platform, const Arguments &arguments);

/// `request show ID`: prints the charges of one request.
asio::awaitable<ExitCode> showRequest(PlatformClient &platform, const Arguments &arguments);

/// `node list`: prints the router incarnations and their grants.
asio::awaitable<ExitCode> listNodes(PlatformClient &platform, const Arguments &arguments);

}
