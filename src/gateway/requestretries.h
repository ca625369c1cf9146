#pragma once

#include "gateway/attemptoutcome.h"
#include "gateway/retrybudget.h"
#include "operations/metrics.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohold {

/// The arrivals of one request at targets: takes those beyond the first out of the retry budget, and accounts for all of them by cause.
/// Every way on which a request is sent to a target leads through here.
class RequestRetries
{
public:
    /// Returns the position by which this router divides the slack of a service; see RouterLease.
    using PositionFinder = std::function<std::optional<FleetPosition>(std::string_view service, Instant now)>;

    /// All must outlive this object.
    RequestRetries(RetryBudget &budget, Metrics &metrics, const PositionFinder &findPosition);

    /// Whether to try another target after this many, with so much time left.
    static bool worthTrying(std::size_t targetsTried, Duration timeLeft);

    /// The head of the request for the service was read at `arrived`. Call also for requests that are refused afterwards, as the limit
    /// counts them.
    void begin(std::string_view requestId, const std::string &service, Instant arrived);

    /// Whether the request may be sent to another target now. It is no retry as long as no attempt has sent it.
    bool maySend(Instant now);

    /// Whether reserve() would succeed.
    bool canReserve(Instant now);

    /// Takes the retry that sending the request again requires, before the attempt under way is given up. Returns false if the retry budget
    /// is used up.
    bool reserve(Instant now);

    /// Takes the retry that sending the request requires. Call right before it is sent. Returns false if the retry budget is used up.
    bool trySend(std::string_view target, Instant now);

    /// How the attempt ended. `streamStarted`: a part of the answer has been forwarded to the caller.
    void attemptEnded(AttemptOutcome outcome, bool streamStarted);

private:
    RetryBudget &m_budget;
    Metrics &m_metrics;
    const PositionFinder &m_findPosition;
    std::string m_requestId;
    std::string m_service;
    unsigned m_sent = 0;
    /// A retry has been taken and not been used yet.
    bool m_reserved = false;
    /// The current attempt has been sent.
    bool m_underWay = false;
    /// Why the request would be sent again; a literal.
    std::string_view m_cause = "first";
};

}
