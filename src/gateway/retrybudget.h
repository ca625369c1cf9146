#pragma once

#include "clock/instant.h"

#include <cstddef>
#include <deque>
#include <string>

#include <absl/container/flat_hash_map.h>

namespace bamboohold {

/// Bounds second attempts of each service, so that a failing service is not also flooded with repeats.
///
/// The bound holds for all routers together; each keeps to its own share: a fixed part of the slack, and the ratio of its own requests.
/// Pure.
class RetryBudget
{
public:
    struct Options {
        /// Second attempts per request over the window.
        double ratio = 0.2;
        /// Second attempts over the window on top of that, over all routers.
        double slack = 58;
        Duration window = std::chrono::seconds(10);
        /// The part of the bound that is used: routers' windows do not start together, and one that joins or restarts brings a new share.
        double usedShare = 0.7;
    };

    explicit RetryBudget(Options options);

    /// A request for the service arrived.
    void recordRequest(const std::string &service, Instant now);

    /// Takes a second attempt out of the budget, if it has one.
    bool tryAcquireRetry(const std::string &service, std::size_t routers, Instant now);

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
