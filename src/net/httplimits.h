#pragma once

#include "clock/instant.h"

#include <cstdint>

namespace bamboohold {

/// Size limits and timeouts for requests. The defaults are meant for the fleet's own interfaces.
struct HttpLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 8 * 1024 * 1024;
    /// From the first byte of a request to the end of its headers.
    Duration headerTimeout = std::chrono::seconds(10);
    /// For each further part of the request body.
    Duration bodyTimeout = std::chrono::seconds(10);
    /// How long a connection may be idle before the next request.
    Duration idleTimeout = std::chrono::minutes(5);
};

}
