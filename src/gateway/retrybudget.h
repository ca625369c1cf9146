#pragma once

#include "clock/instant.h"

#include <cstddef>
#include <deque>
#include <string>

#include <absl/container/flat_hash_map.h>

namespace bamboohold {

/// Limits the retries of each service, so that a failing service is not flooded with them as well.
///
/// The limit applies to all routers together. Each router uses its own share: an equal part of the slack, and the ratio of its own
/// requests. Does no I/O.
class RetryBudget
{
public:
    struct Options {
        /// Retries per request within the window.
        double ratio = 0.2;
        /// Additional retries within the window, for all routers together.
        double slack = 58;
        Duration window = std::chrono::seconds(10);
        /// The part of the limit that is used. The rest is a reserve, because the windows of the routers are not aligned, and a router that
        /// joins or restarts brings a new share.
        double usedShare = 0.7;
    };

    /// What was counted within the window that ends now.
    struct Usage {
        std::size_t requests = 0;
        std::size_t retries = 0;
    };

    explicit RetryBudget(Options options);

    /// Records that a request for the service arrived.
    void recordRequest(const std::string &service, Instant now);

    /// Takes one retry out of the budget. Returns false if none is left.
    bool tryAcquireRetry(const std::string &service, std::size_t routers, Instant now);

    Usage usage(const std::string &service, Instant now);

private:
    struct Window {
        std::deque<Instant> requests;
        std::deque<Instant> retries;
    };

    void dropExpired(Window &window, Instant now) const;

    Options m_options;
    absl::flat_hash_map<std::string, Window> m_windows;
};

}
