#pragma once

#include "gateway/gateway.h"
#include "tests/scriptedpeer.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboohold {

/// A caller's interface with headers of this test's own.
CallerCodec testCodec();

/// Routes under `app.example` that differ in what may be repeated, one service, and a team with the key `key`.
std::shared_ptr<const RoutingPlan> testPlan();

/// One router with scripted targets, and a caller that sends bytes and reads all that comes back until the router closes.
class GatewayFixture
{
public:
    explicit GatewayFixture(std::vector<std::vector<PeerAction>> scripts,
                            bool withPlan = true,
                            Duration startupWait = std::chrono::milliseconds(20));

    /// Sends the bytes and returns what came back.
    std::string exchange(std::string request, std::optional<Duration> leaveAfter = std::nullopt);

    /// The configuration comes once a request waits for it.
    void setPlanAfterDelay();

    /// A record of the first target as it was at the beginning, read once more.
    void listFirstTargetAgain();

    /// The list shows the second target no longer.
    void removeSecondTarget();

    /// The first target starts again under its name, at another address: that of the second script, which no list shows.
    void restartFirstTarget();

    /// The first target's address goes over to another process.
    void replaceFirstTarget();

    const ScriptedPeer &target(std::size_t index) const;

    std::size_t receivedRequests() const;

private:
    static constexpr std::uint16_t s_port = 17611;

    Gateway::Options options();

    asio::awaitable<void> call(std::string request, std::string &answer, std::optional<Duration> leaveAfter);

    Duration m_startupWait;
    WorkerPool m_pool;
    Metrics m_metrics;
    TeamLedger m_ledger;
    Gateway m_gateway;
    std::vector<std::unique_ptr<ScriptedPeer>> m_targets;
    HttpServer m_server;
};

/// A request of the test's interface, to a path under the given prefix.
std::string request(const std::string &path, const std::string &headers = "X-Key: key\r\n");

/// A whole answer that its target vouches for.
PeerAction sealedResponse();

bool contains(const std::string &text, const std::string &part);

}
