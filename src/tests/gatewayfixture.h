#pragma once

#include "gateway/gateway.h"
#include "tests/scriptedpeer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboohold {

/// A codec for a caller interface with header names of its own (X-Id, X-Key and others).
CallerCodec testCodec();

/// A plan with routes under `app.example` that differ in their repeatability, one service, and a team with the API key `key`.
std::shared_ptr<const RoutingPlan> testPlan();

/// One router with scripted targets, and a caller that sends bytes and reads the response until the router closes the connection.
class GatewayFixture
{
public:
    explicit GatewayFixture(std::vector<std::vector<PeerAction>> scripts,
                            bool withPlan = true,
                            Duration startupWait = std::chrono::milliseconds(20),
                            bool plannedRetries = true);

    /// Sends the bytes and returns the response. With `leaveAfter`, the caller disconnects after that time and the result is empty.
    std::string exchange(std::string request, std::optional<Duration> leaveAfter = std::nullopt);

    /// A request that is sent at a time after the event loop starts.
    struct Call {
        std::string request;
        Duration at{};
        std::optional<Duration> leaveAfter;
        /// The rest of the request, which is sent after this time.
        std::string rest;
        Duration restAfter{};
    };
    /// Sends the requests on connections of their own and returns the responses in the order of the calls.
    std::vector<std::string> exchangeAll(const std::vector<Call> &calls);

    /// Does something at a time after the event loop starts.
    void schedule(Duration at, std::function<void()> action);

    asio::any_io_executor executor()
    {
        return m_pool.mainLoop().get_executor();
    }

    Gateway &gateway()
    {
        return m_gateway;
    }

    const Metrics &metrics() const
    {
        return m_metrics;
    }

    /// Stops the event loop; exchangeAll() then destroys the requests in progress, as the end of the process does.
    void kill();

    /// Replaces the script of the first target.
    void setScript(std::vector<PeerAction> script);

    /// Sets the plan 50 ms after the event loop starts, when a request already waits for it.
    void setPlanAfterDelay();

    /// Lists the first target again, with its original record.
    void listFirstTargetAgain();

    /// Removes the second target from the list.
    void removeSecondTarget();

    /// Once the first target has received a request, lists a new incarnation of it, at the address of the last scripted peer. From then on
    /// calls `dropStaleTargets` regularly.
    void restartFirstTarget();

    /// Replaces the first target by another process at the same address.
    void replaceFirstTarget();

    /// Tells the gateway that the process has just begun to shut down, and must have ended its requests after this time.
    void beginDrain(Duration untilShutdown);

    /// Replaces the plan by a newer one.
    void setPlan(std::shared_ptr<const RoutingPlan> plan);

    /// Lists the first target again, with this number of requests that it processes concurrently.
    void setFirstTargetSlots(std::uint32_t slots);

    /// Lists a target again, with this version of its software and the address of the relay beside it.
    void setVersion(std::size_t index, const std::string &version, const std::string &relay = "");

    /// Adds a target of the service whose address is not served by a scripted peer.
    void addTarget(const std::string &incarnation, const std::string &address);

    /// Takes what there is in the retry budget of the service, except for what requests bring from now on.
    void useUpRetries();

    /// Lists the first target as one of the router's own failure domain and the second as another, or both as of its own.
    void setFirstTargetPreferred(bool preferred);

    /// What the router has measured about the first target.
    std::optional<SpeedReport> firstTargetSpeed();

    const ScriptedPeer &target(std::size_t index) const;

    std::size_t receivedRequests() const;

private:
    static constexpr std::uint16_t s_port = 17611;

    Gateway::Options options();
    HttpServer::Options serverOptions() const;

    asio::awaitable<void> call(Call sent, std::string &answer);

    Duration m_startupWait;
    bool m_plannedRetries;
    bool m_killed = false;
    WorkerPool m_pool;
    Metrics m_metrics;
    TeamLedger m_ledger;
    Gateway m_gateway;
    std::vector<std::unique_ptr<ScriptedPeer>> m_targets;
    HttpServer m_server;
};

/// A POST request of the test's caller interface, to a path under the given prefix.
std::string request(const std::string &path, const std::string &headers = "X-Key: key\r\n");

/// A complete response with the target's seal.
PeerAction sealedResponse();

bool contains(const std::string &text, const std::string &part);

}
