#pragma once

#include "clock/instant.h"
#include "membership/routerlease.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>

namespace bamboohold {

/// Limits the retries of each service, so that a failing service is not flooded with them as well.
///
/// The limit applies to all routers together, in every window: a ratio of the requests, and a slack. Neither part depends on what a router
/// did before it started.
///
/// Each request brings a part of a retry, at the router that reads it. What a router has not spent is carried on, up to another part of the
/// requests that it has read lately. So a window's retries are paid by its own requests with the one part and by those of the window before
/// with the other; the two parts make up the ratio, and the limit counts the larger window. Routers need to know nothing of each other for
/// this, and one that starts again has nothing to spend.
///
/// The slack is divided among the routers that have a position in the fleet, see RouterLease. Does no I/O.
class RetryBudget
{
public:
    struct Options {
        /// Retries per request within the window.
        double ratio = 0.2;
        /// Additional retries within the window, for all routers together.
        double slack = 58;
        Duration window = std::chrono::seconds(10);
        /// The part of the ratio that a request brings, and the part up to which it is carried on. Together 1, or the limit is not kept.
        double usedShare = 0.75;
        double carriedShare = 0.25;
        /// The longest time from the moment at which a caller sends a request until this router reads it. Callers give up after it.
        Duration maxCallerDelay = std::chrono::seconds(1);
        /// The longest time from the moment at which a retry is taken until it arrives at its target. Covers a lost packet.
        Duration maxSendDelay = std::chrono::seconds(1);

        /// Retries that arrive within a window are taken within this time.
        Duration span() const
        {
            return window + maxSendDelay;
        }
    };

    /// What this router has to retry by, and the retries that it has taken out of the slack within the span.
    struct Usage {
        double earned = 0;
        std::size_t slackRetries = 0;
    };

    explicit RetryBudget(Options options);

    /// Records that a request for the service was read at this time, which may be earlier than that of others that were recorded.
    void recordRequest(const std::string &service, Instant readAt);

    /// Whether a retry could be taken now.
    bool hasRetry(const std::string &service, std::optional<FleetPosition> position, Instant now);

    /// Takes one retry out of the budget, to be sent at once. Returns false if none is left. Without a position there is no slack.
    bool tryAcquireRetry(const std::string &service, std::optional<FleetPosition> position, Instant now);

    Usage usage(const std::string &service, Instant now);

private:
    struct Account {
        /// The requests that were read lately.
        std::deque<Instant> requests;
        /// The retries that requests have brought, less those that they have paid.
        double earned = 0;
        /// When retries of the slack were taken.
        std::deque<Instant> slackRetries;
    };

    Account &account(const std::string &service, Instant now);
    std::size_t slackShare(FleetPosition position) const;

    Options m_options;
    absl::flat_hash_map<std::string, Account> m_accounts;
};

}
