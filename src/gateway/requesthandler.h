#pragma once

#include "gateway/answerbounds.h"
#include "gateway/attemptoutcome.h"
#include "gateway/eventstreamparser.h"
#include "gateway/gateway.h"
#include "gateway/observedstream.h"
#include "gateway/requestretries.h"
#include "gateway/requestscreening.h"
#include "gateway/requestshare.h"
#include "gateway/stalledattempt.h"
#include "gateway/streambinding.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboohold {

/// Handles one request, from its headers to the end of its response, in as many attempts as its route allows.
///
/// What the caller is told depends on what is certain: "not run" only if every attempt was declined by its target or never reached one. A
/// response counts as complete only with the target's seal and its last byte.
class RequestHandler
{
public:
    /// `arrived` is when the head of the request had been read.
    RequestHandler(Gateway &gateway, HttpExchange &exchange, std::shared_ptr<const RoutingPlan> plan, Instant arrived);
    ~RequestHandler();

    RequestHandler(const RequestHandler &) = delete;
    RequestHandler &operator=(const RequestHandler &) = delete;

    /// Serves the request until its response has been sent.
    asio::awaitable<void> serve();

    /// Cancels an attempt that has received nothing for a while from a target that has restarted since, so that the request is retried
    /// elsewhere. A request that may not run twice keeps waiting until its deadline, as its response may still arrive. Call regularly.
    void abandonRestartedTarget(Instant now);

    /// Whether it is an admitted stream that had arrived before this time.
    bool isStreamFromBefore(Instant time) const
    {
        return m_countedStream && m_arrived < time;
    }

private:
    /// A complete response that is held in memory.
    struct BufferedResponse {
        unsigned status = 0;
        std::vector<HttpHeader> headers;
        std::string body;
    };

    /// The route and the priority of the request under a plan.
    struct Access {
        const Route *route = nullptr;
        const TeamPlan *team = nullptr;
        int priority = 0;
    };

    /// Finds the route and the team of the request.
    absl::Status findRoute();
    /// Refuses a request that this router has no time for, before its body is read.
    absl::Status admitToHost();
    absl::Status admit();
    /// Fails if the caller takes up a stream that cannot go on. Sets the service at which it goes on otherwise.
    asio::awaitable<absl::Status> continueStream();
    StreamBinding::Request streamRequest() const;
    /// Fails as the request would if it arrived under this plan.
    absl::StatusOr<Access> findAccess(const RoutingPlan &plan) const;
    /// The urgency under a newer plan, which also becomes the request's priority at its target.
    absl::StatusOr<Urgency> reconsider(const RoutingPlan &plan);
    /// Whether the request would end before the router stops, if it was sent now.
    bool endsBeforeShutdown(Instant now) const;
    /// The failure of a request that would not end before the router stops.
    Failure drainFailure(std::string detail, Instant now) const;
    /// Reports an interrupted attempt, which a crash of its target may have caused, to the quarantine.
    void reportInterruption(AttemptOutcome outcome);
    asio::awaitable<absl::Status> reserve();
    asio::awaitable<AttemptOutcome> runAttempts();
    ServiceShares::Request shareRequest() const;
    QueueDispatcher::Ticket queueTicket();
    /// Finds the first target, for which the request may have to wait. Sets `m_refusal` when it is not to be sent.
    asio::awaitable<std::optional<Placement>> placeFirst(PlacementRequest wish);
    Failure queueFailure(QueueRefusal refusal);
    /// Sends the request to a target and its answer to the caller. An exception ends the request, and is logged.
    asio::awaitable<AttemptOutcome> runAttempt(const Placement &placement);
    asio::awaitable<AttemptOutcome> callTarget(const Placement &placement);
    asio::awaitable<AttemptOutcome> receiveResponse(HttpStreamCall &call);
    asio::awaitable<AttemptOutcome> receiveBufferedResponse(HttpStreamCall &call);
    /// Makes room for the next piece of a response. Returns false if there is none until the deadline.
    asio::awaitable<bool> growResponse(std::string &body);
    asio::awaitable<AttemptOutcome> forwardStream(HttpStreamCall &call);
    /// Whether a stream that has ended is incomplete. The end of its connection looks the same as a crash of the target, so a stream that
    /// ends with it before its first event is incomplete, too, unless the caller has all events already.
    bool brokenOff() const;
    asio::awaitable<void> startCallerStream(HttpStreamCall &call);
    asio::awaitable<bool> forwardEvents(std::string_view events);
    asio::awaitable<void> finish(AttemptOutcome outcome);
    asio::awaitable<void> refuse(const Failure &failure);
    AttemptOutcome outcomeOf(const absl::Status &status) const;
    AttemptOutcome handleInterruptedResponse(const absl::Status &status);
    /// Ends an attempt whose answer is not going to end, and blames its target.
    AttemptOutcome endOverlongAnswer(std::string_view problem);
    bool shouldRetry(AttemptOutcome outcome, Instant now);
    HttpCallOptions callOptions(const Placement &placement, Instant now);
    Duration attemptFirstByteTimeout(Instant now) const;
    /// Decides what to do when the target has been silent for the time allowed. Returns how much longer to wait; zero gives the attempt up.
    /// What a move needs is then taken.
    Duration renewWait();
    StalledAttempt stalledAttempt(Instant now);
    /// Whether another target may go on with what the caller has got so far; true if that is nothing.
    bool streamMayGoOn();
    /// What other requests of this router show about the target.
    TargetLife targetLife(const std::string &incarnation, Instant since) const;
    /// Whether the target keeps a good part of this router's streams waiting.
    bool stalls(const std::string &incarnation, Instant now) const;
    /// Whether this target has begun to answer the current attempt.
    bool isAnsweredBy(const std::string &incarnation) const;
    void recordAttemptOutcome(AttemptOutcome outcome);
    void recordFirstByte();
    /// Measures the speed of the target by the first byte of a successful answer, and by the end of it.
    void measureFirstByte();
    void measureCompletion();
    void settle(AttemptOutcome outcome);
    /// Counts a refusal because of the host's own load.
    void countHostRefusal(std::string_view reason);
    void logRequestEnd(std::string_view outcomeName, std::string_view detail);

    Gateway &m_gateway;
    HttpExchange &m_exchange;
    std::shared_ptr<const RoutingPlan> m_plan;
    Instant m_arrived;
    StreamBinding m_binding;
    RequestScreening m_screening;
    RequestShare m_share;
    RequestRetries m_retries;
    RequestMetadata m_metadata;
    const Route *m_route = nullptr;
    const ServicePlan *m_service = nullptr;
    std::string m_serviceName;
    std::string m_team;
    int m_priority = 0;
    Urgency m_urgency;
    Instant m_deadline{};
    std::optional<Reservation> m_reservation;
    /// The tokens that the team was charged for the request.
    Tokens m_charged = 0;

    /// While the request seeks its first target.
    std::optional<QueueDispatcher::Ticket> m_ticket;
    /// Why the request is refused although it was admitted.
    std::optional<Failure> m_refusal;
    /// How long the request waited in the queue.
    Duration m_queued{};
    std::vector<std::string> m_triedTargets;
    /// Attempts in which a target may have run the request.
    unsigned m_possibleExecutions = 0;
    /// An attempt other than the last one was interrupted, so the tokens that it delivered were not counted.
    bool m_hasUncountedAttempt = false;
    /// Attempts whose stream the target closed in order before it was complete.
    unsigned m_closedInOrder = 0;
    bool m_callerDisconnected = false;
    /// The request is refused because of the load of this host, which is to cost it little.
    bool m_refusedByHost = false;
    /// An exception ended an attempt.
    bool m_failedInside = false;
    HttpStreamCall *m_activeCall = nullptr;

    EventStreamParser m_eventParser;
    AnswerBounds m_bounds;
    /// From the first attempt of a stream on.
    ObservedStream m_observed;
    bool m_streamStarted = false;
    /// Whether the request is counted in the gateway's number of streams.
    bool m_countedStream = false;
    std::optional<BufferedResponse> m_failureResponse;
    std::string m_lastError;
    /// The current attempt: its target, when it was sent, and whether its first byte has arrived.
    std::optional<Placement> m_placement;
    Instant m_attemptSentAt{};
    bool m_firstByteReceived = false;
    Instant m_attemptFirstByteAt{};
    /// Events before the current attempt, and the time that its events took to be written to the caller.
    std::size_t m_eventsBeforeAttempt = 0;
    Duration m_writingTime{};
    /// When the current attempt was sent, or when its latest bytes arrived.
    Instant m_lastReceivedAt{};
    /// The response of the current attempt has a success status.
    bool m_hasSuccessStatus = false;
    /// What tells where the response of the current attempt ends; none before its head has arrived.
    std::optional<AnswerFraming> m_framing;
    /// The current attempt lost its connection before its response was complete.
    bool m_connectionLost = false;
    /// The connection of the current attempt timed out, and whether this host's own network was the cause.
    bool m_connectTimedOut = false;
    bool m_hostCongested = false;
    /// What the last attempt shows about the health of its target.
    HealthSignal m_targetSign = HealthSignal::Neutral;
    /// Why the silence of the target has been borne so far; a literal.
    std::string_view m_stallReason;
    std::optional<Instant> m_firstByteAt;
    /// What a refused caller was told.
    std::optional<std::int64_t> m_retryAfterMs;
};

}
