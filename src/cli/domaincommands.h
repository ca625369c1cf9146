#pragma once

#include "cli/arguments.h"
#include "store/platformclient.h"

namespace bamboohold {

/// `domain list`: the failure domains of the register, and which of them are evacuated.
asio::awaitable<ExitCode> listDomains(PlatformClient &platform, const Arguments &arguments);

/// `domain evacuate NAME`: the domain's targets take nothing new until `domain restore`; what runs there goes on.
asio::awaitable<ExitCode> evacuateDomain(PlatformClient &platform, const Arguments &arguments);

/// `domain restore NAME`: the domain's targets take work again.
asio::awaitable<ExitCode> restoreDomain(PlatformClient &platform, const Arguments &arguments);

}
