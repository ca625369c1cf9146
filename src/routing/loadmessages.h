#pragma once

#include "clock/instant.h"

#include <cstddef>

namespace bamboohold {

/// Size of the receive buffers: larger than any load datagram between routers and relays.
inline constexpr std::size_t s_maxLoadMessageBytes = 256;

/// Pause after a failed receive. The usual cause is an ICMP "port unreachable" for a datagram that was sent to a process that has exited.
inline constexpr Duration s_receiveErrorPause = std::chrono::milliseconds(5);

}
