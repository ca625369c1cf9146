#pragma once

#include "gateway/attemptoutcome.h"
#include "gateway/retrybudget.h"
#include "operations/metrics.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace bamboohold {

/// The arrivals of one request at targets: takes those beyond the first out of the retry budget, and accounts for all of them by cause.
/// Every way on which a request is sent to a target leads through here.
class RequestRetries
{
public:
    /// Both must outlive this object.
    RequestRetries(RetryBudget &budget, Metrics &metrics);

    /// Whether to try another target after this many, with so much time left.
    static bool worthTrying(std::size_t targetsTried, Duration timeLeft);

    /// The request was read at `arrived` and is admitted to the service.
    void begin(std::string_view requestId, const std::string &service, Instant arrived);

    /// Takes a retry, unless no attempt has sent the request yet. Returns false if the retry budget is used up.
    bool tryRetry(std::size_t routers, Instant now);

    /// The request is about to be sent to the target.
    void sent(std::string_view target, std::size_t routers, Instant now);

    /// How the attempt ended. `streamStarted`: a part of the answer has been forwarded to the caller.
    void attemptEnded(AttemptOutcome outcome, bool streamStarted);

private:
    RetryBudget &m_budget;
    Metrics &m_metrics;
    std::string m_requestId;
    std::string m_service;
    unsigned m_sent = 0;
    /// The current attempt has been sent.
    bool m_underWay = false;
    /// Why the request would be sent again; a literal.
    std::string_view m_cause = "first";
};

}
