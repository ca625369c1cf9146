#pragma once

#include "gateway/attemptoutcome.h"
#include "gateway/eventstreamparser.h"
#include "gateway/gateway.h"
#include "quarantine/requestfingerprint.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboohold {

/// One request on its way: from its headers to its answer, over as many attempts as its route allows.
///
/// What it may say to the caller follows from what is known: "not run" only while every attempt was declined by its target or never reached
/// one. An answer is taken as whole only with the target's seal and its last byte.
class RequestHandler
{
public:
    /// `arrived`: when the whole request had been read.
    RequestHandler(Gateway &gateway, HttpExchange &exchange, std::shared_ptr<const RoutingPlan> plan, Instant arrived);
    ~RequestHandler();

    RequestHandler(const RequestHandler &) = delete;
    RequestHandler &operator=(const RequestHandler &) = delete;

    /// Serves the request to its end.
    asio::awaitable<void> serve();

    /// Ends an attempt that waits in silence for a target which has started again since; a request that may not run twice is left to its
    /// time, as its answer may be on the way. Call now and then.
    void abandonRestartedTarget(Instant now);

private:
    /// A whole answer that waits to be passed on.
    struct BufferedResponse {
        unsigned status = 0;
        std::vector<HttpHeader> headers;
        std::string body;
    };

    absl::Status admit();
    FingerprintSource fingerprintSource() const;
    /// How long until the request may be tried, if targets have crashed under it.
    std::optional<Duration> quarantineRemaining();
    /// The refusal of a request that is held back; OK for any other one, and for a copy on trial.
    absl::Status checkQuarantine();
    /// Tells what may have been under way when a target crashed.
    void reportInterruption(AttemptOutcome outcome);
    void reportSuccess();
    asio::awaitable<absl::Status> reserve();
    asio::awaitable<AttemptOutcome> runAttempts();
    asio::awaitable<AttemptOutcome> runAttempt(const Placement &placement);
    asio::awaitable<AttemptOutcome> receiveResponse(HttpStreamCall &call);
    asio::awaitable<AttemptOutcome> receiveBufferedResponse(HttpStreamCall &call);
    asio::awaitable<AttemptOutcome> forwardStream(HttpStreamCall &call);
    asio::awaitable<void> startCallerStream(HttpStreamCall &call);
    asio::awaitable<bool> forwardEvents(std::string_view events);
    asio::awaitable<void> finish(AttemptOutcome outcome);
    asio::awaitable<void> refuse(const Failure &failure);
    AttemptOutcome outcomeOf(const absl::Status &status) const;
    AttemptOutcome handleInterruptedResponse(const absl::Status &status);
    bool shouldRetry(AttemptOutcome outcome, Instant now);
    HttpCallOptions callOptions(const Placement &placement, Instant now);
    Duration attemptFirstByteTimeout(Instant now) const;
    void recordAttemptOutcome(AttemptOutcome outcome);
    void recordFirstByte();
    void settle(AttemptOutcome outcome);
    void logRequestEnd(std::string_view outcomeName, std::string_view detail);
    /// What tells this request from others that come again. Made when it is first needed: a digest of a long body takes a small host
    /// milliseconds.
    const FingerprintPair &fingerprints();

    Gateway &m_gateway;
    HttpExchange &m_exchange;
    std::shared_ptr<const RoutingPlan> m_plan;
    Instant m_arrived;
    RequestMetadata m_metadata;
    const Route *m_route = nullptr;
    const ServicePlan *m_service = nullptr;
    std::string m_serviceName;
    std::string m_team;
    int m_priority = 0;
    Instant m_deadline{};
    std::optional<Reservation> m_reservation;
    std::optional<FingerprintPair> m_fingerprints;

    std::vector<std::string> m_triedTargets;
    /// Attempts whose target may have run the request.
    unsigned m_possibleExecutions = 0;
    unsigned m_attemptsSent = 0;
    /// An attempt other than the last broke off, so that nobody counted what it delivered.
    bool m_hasUncountedAttempt = false;
    bool m_callerDisconnected = false;
    HttpStreamCall *m_activeCall = nullptr;

    EventStreamParser m_eventParser;
    bool m_streamStarted = false;
    /// Counted among the gateway's streams.
    bool m_countedStream = false;
    std::optional<BufferedResponse> m_failureResponse;
    std::string m_lastError;
    /// The running attempt: its target, when it was sent, and whether its first byte has come.
    std::optional<Placement> m_placement;
    Instant m_attemptSentAt{};
    bool m_firstByteReceived = false;
    /// When the running attempt was sent, or the last bytes of it came.
    Instant m_lastReceivedAt{};
    /// Held back, and let through to see whether it still crashes targets.
    bool m_onTrial = false;
    /// The running attempt's answer says that the request was served.
    bool m_hasSuccessStatus = false;
    /// The running attempt lost its connection before its answer was whole.
    bool m_connectionLost = false;
    /// What the last attempt tells of its target.
    TargetSign m_targetSign = TargetSign::Neutral;
    std::optional<Instant> m_firstByteAt;
};

}
