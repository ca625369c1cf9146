#pragma once

#include "cli/arguments.h"
#include "store/platformclient.h"

namespace bamboohold {

/// `inventory check FILE`: prints every mistake with its path in the file.
ExitCode checkInventory(const Arguments &arguments);

/// `inventory import FILE`: accepts the document as the next version; teams without a key get one, written to the file of --issue-keys.
asio::awaitable<ExitCode> importInventory(PlatformClient &platform, const Arguments &arguments);

/// `inventory export`: prints the version in force.
asio::awaitable<ExitCode> exportInventory(PlatformClient &platform, const Arguments &arguments);

}
