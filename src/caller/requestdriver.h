#pragma once

#include "budget/budgetservice.h"
#include "budget/sponsorship.h"
#include "configuration/configuration.h"
#include "link/linkhub.h"
#include "net/httpserver.h"
#include "operations/metrics.h"
#include "request/answermailbox.h"
#include "request/claimservice.h"
#include "request/requeststatemachine.h"
#include "routing/targettable.h"

#include <oneapi/tbb/concurrent_hash_map.h>

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace bamboohold {

/// A validated request, as the router processes it.
struct RoutedRequest {
    std::string requestId;
    std::string team;
    std::string budget;
    std::string model;
    std::string service;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    bool streamed = false;
    bool nonIdempotent = false;
    /// The caller's Idempotency-Key header; empty if there is none.
    std::string idempotencyKey;
    /// Upper bound on the tokens used by the request; this many are reserved.
    Tokens bound = 0;
    Tokens outputLimit = 0;
    Instant deadline;

    /// True if the request calls a plain service, which costs no tokens.
    bool plainService() const
    {
        return !service.empty();
    }
};

/// Processes requests from the budget reservation to the settlement. TargetTable chooses the target, RequestStateMachine decides how to
/// react to each frame, and the driver writes the response to the caller.
///
/// Locks: m_mailboxes is a concurrent map; m_routingMutex guards the target table and m_startTimesMutex guards m_startTimes. Neither mutex
/// is held while the other, or the lock of the budgets, is acquired.
class RequestDriver
{
public:
    struct Options {
        /// Maximum time for which a request waits for a target with free capacity.
        Duration queueTimeout = std::chrono::seconds(10);
        /// A request in flight at a target is lost if nothing has been received from the target for this long.
        Duration targetTimeout = std::chrono::seconds(5);
        /// Maximum time for which a target may take to confirm a cancellation; after that the run counts as lost.
        Duration cancelTimeout = std::chrono::seconds(10);
        unsigned maxAttempts = 8;
        /// This router's incarnation, which is recorded in claims.
        std::string incarnation;
    };

    RequestDriver(BudgetService &budgets,
                  Sponsorship &sponsors,
                  ClaimService &claims,
                  TargetTable &targets,
                  std::mutex &routingMutex,
                  Metrics &metrics,
                  Options options);

    /// Sets the link on which messages are sent. Must be called before the first request.
    void setLink(LinkHub *link);

    /// Processes a request to its end and writes the response, or an error body with the type of the failure, to the caller.
    asio::awaitable<void> serve(HttpExchange &exchange, RoutedRequest request);

    /// Passes a frame from a sidecar to its request. Called on the link's thread.
    void onFrame(wire::Frame &message);

    /// Number of requests in flight.
    std::size_t inFlight() const
    {
        return m_mailboxes.size();
    }

    /// Start time of the oldest request that is not yet settled; empty if there is none.
    std::optional<Instant> oldestStartTime() const;

    /// Number of frames received for requests that are not in flight at this router.
    std::uint64_t strayFrames() const
    {
        return m_strayFrames;
    }

private:
    struct ActiveRequest;
    using Mailboxes = oneapi::tbb::concurrent_hash_map<std::string, std::shared_ptr<AnswerMailbox>>;

    asio::awaitable<absl::Status> reserve(ActiveRequest &active);
    asio::awaitable<bool> claim(ActiveRequest &active);
    asio::awaitable<void> respondFromClaim(ActiveRequest &active, Claim existing);
    asio::awaitable<void> finishClaim(ActiveRequest &active);
    asio::awaitable<void> attemptUntilFinished(ActiveRequest &active);
    asio::awaitable<bool> dispatchAttempt(ActiveRequest &active);
    asio::awaitable<RequestAction> processFrames(ActiveRequest &active);
    asio::awaitable<void> deliver(ActiveRequest &active, const AnswerFrame &frame);
    asio::awaitable<void> sendResponse(ActiveRequest &active);
    asio::awaitable<void> sendFailure(ActiveRequest &active, Failure failure);
    asio::awaitable<void> cancelIfDue(ActiveRequest &active);
    RequestAction onFrameTimeout(ActiveRequest &active);
    void releaseTarget(ActiveRequest &active, RequestAction step, const AnswerFrame &frame);
    void sendDispatch(const ActiveRequest &active, const TargetChoice &choice, std::uint32_t attempt);
    void sendCancel(const ActiveRequest &active);
    void grantCredit(ActiveRequest &active, std::size_t bytes);
    void settle(const ActiveRequest &active);
    void recordMetrics(const ActiveRequest &active);

    BudgetService &m_budgets;
    Sponsorship &m_sponsors;
    ClaimService &m_claims;
    TargetTable &m_targets;
    std::mutex &m_routingMutex;
    Metrics &m_metrics;
    Options m_options;
    LinkHub *m_link = nullptr;
    Mailboxes m_mailboxes;
    mutable std::mutex m_startTimesMutex;
    /// Start times of all requests that are not yet settled.
    std::multiset<Instant> m_startTimes;
    std::atomic<std::uint64_t> m_strayFrames = 0;
};

}
