#pragma once

#include "cli/arguments.h"
#include "store/platformclient.h"

namespace bamboohold {

/// `inventory check FILE`: validates an inventory and prints every error with its path in the file.
ExitCode checkInventory(const Arguments &arguments);

/// `inventory import FILE`: stores the inventory as the next version. Teams without a key get one, which is written to the file given with
/// --issue-keys.
asio::awaitable<ExitCode> importInventory(PlatformClient &platform, const Arguments &arguments);

/// `inventory export`: prints the active version.
asio::awaitable<ExitCode> exportInventory(PlatformClient &platform, const Arguments &arguments);

}
