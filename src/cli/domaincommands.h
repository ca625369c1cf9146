#pragma once

#include "cli/arguments.h"
#include "store/platformclient.h"

namespace bamboohold {

/// `domain list`: prints the failure domains of the inventory and whether they are evacuated.
asio::awaitable<ExitCode> listDomains(PlatformClient &platform, const Arguments &arguments);

/// `domain evacuate NAME`: routers send no new requests to the domain's targets until `domain restore`. Requests in flight continue.
asio::awaitable<ExitCode> evacuateDomain(PlatformClient &platform, const Arguments &arguments);

/// `domain restore NAME`: routers send requests to the domain's targets again.
asio::awaitable<ExitCode> restoreDomain(PlatformClient &platform, const Arguments &arguments);

}
