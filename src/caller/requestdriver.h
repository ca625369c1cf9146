#pragma once

#include "budget/budgetservice.h"
#include "budget/sponsorship.h"
#include "configuration/configuration.h"
#include "link/linkhub.h"
#include "net/httpserver.h"
#include "operations/metrics.h"
#include "request/answermailbox.h"
#include "request/claimservice.h"
#include "request/requestcourse.h"
#include "routing/targettable.h"

#include <oneapi/tbb/concurrent_hash_map.h>

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace bamboohold {

/// A checked request on its way through the router.
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
    /// The caller's name for the request, empty when it gave none.
    std::string idempotencyKey;
    Tokens bound = 0;
    Tokens outputLimit = 0;
    Instant deadline;

    /// True for a call of a plain service, which costs no tokens.
    bool plainService() const
    {
        return !service.empty();
    }
};

/// Carries one request from reservation to settlement: asks TargetTable where to go, lets RequestCourse decide what each frame means, and
/// writes to the caller.
///
/// Locks: the mailboxes are a concurrent map; m_routingMutex guards the target table, m_beginsMutex the begins. None is held while the
/// other, or the budget's lock, is taken.
class RequestDriver
{
public:
    struct Options {
        /// Time a request may wait for a target with room.
        Duration queueTimeout = std::chrono::seconds(10);
        /// Silence of a target after which a request it has is lost.
        Duration targetTimeout = std::chrono::seconds(5);
        /// Time that a target has to confirm a cancellation before its run counts as lost.
        Duration cancelTimeout = std::chrono::seconds(10);
        unsigned maxAttempts = 8;
        /// This router's incarnation, named in claims.
        std::string incarnation;
    };

    RequestDriver(BudgetService &budgets,
                  Sponsorship &sponsors,
                  ClaimService &claims,
                  TargetTable &targets,
                  std::mutex &routingMutex,
                  Metrics &metrics,
                  Options options);

    /// The link to send on; set before the first request.
    void setLink(LinkHub *link);

    /// Serves a request to its end, the answer or the typed failure included.
    asio::awaitable<void> serve(HttpExchange &exchange, RoutedRequest request);

    /// A frame arrived from a sidecar. Called on the link's thread.
    void onFrame(wire::Frame &message);

    /// Requests in flight.
    std::size_t inFlight() const
    {
        return m_mailboxes.size();
    }

    /// When the oldest request in flight began; empty when there is none.
    std::optional<Instant> oldestStartTime() const;

    /// Frames that were late, doubled or nobody's.
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
    asio::awaitable<CourseStep> processFrames(ActiveRequest &active);
    asio::awaitable<void> deliver(ActiveRequest &active, const AnswerFrame &frame);
    asio::awaitable<void> sendResponse(ActiveRequest &active);
    asio::awaitable<void> sendFailure(ActiveRequest &active, Failure failure);
    asio::awaitable<void> cancelIfDue(ActiveRequest &active);
    CourseStep onFrameTimeout(ActiveRequest &active);
    void releaseTarget(ActiveRequest &active, CourseStep step, const AnswerFrame &frame);
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
    /// When each request that is not settled yet began.
    std::multiset<Instant> m_startTimes;
    std::atomic<std::uint64_t> m_strayFrames = 0;
};

}
