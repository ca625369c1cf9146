#pragma once

#include "clock/instant.h"

#include <cstddef>

namespace bamboohold {

/// More bytes than any datagram between routers and relays has.
inline constexpr std::size_t s_maxLoadMessageBytes = 256;

/// After a failed receive: most likely a datagram to a process that is gone came back as unreachable.
inline constexpr Duration s_receiveErrorPause = std::chrono::milliseconds(5);

}
