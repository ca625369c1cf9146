#include "tests/gatewayfixture.h"

#include "clock/steadytime.h"
#include "net/pause.h"
#include "ownaddress.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace bamboohold {

namespace {

constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);

}

CallerCodec testCodec()
{
    CallerCodec codec;
    codec.readRequest = [](const http::fields &fields) -> absl::StatusOr<RequestMetadata> {
        RequestMetadata metadata{
            .requestId = std::string(fields["X-Id"]), .callerTimeout = std::chrono::seconds(3), .apiKey = std::string(fields["X-Key"])};
        metadata.resumeAfter = std::string(fields["X-Last"]);
        metadata.resumes = std::string(fields["X-Resumes"]);
        metadata.promptTokens = fields.count("X-Tokens") > 0 ? 10 : 0;
        if (fields.count("X-Prompt") > 0) {
            metadata.prompt = {{.id = 1, .tokens = 2000}};
            metadata.maxOutputTokens = std::stoi(std::string(fields["X-Prompt"]));
        }
        if (fields.count("X-Shared-Part") > 0) {
            constexpr int hexadecimal = 16;
            metadata.prompt = {{.id = std::stoull(std::string(fields["X-Shared-Part"]), nullptr, hexadecimal)}, {.id = 1}};
        }
        return metadata;
    };
    codec.dispatchHeaders = [](const HttpRequest &request, const DispatchMetadata &metadata) {
        std::vector<HttpHeader> headers = endToEndHeaders(request);
        headers.push_back({.name = "X-Team", .value = metadata.team});
        headers.push_back({.name = "X-Resume", .value = metadata.resumeAfter});
        return headers;
    };
    codec.readResponse = [](unsigned, const http::fields &fields) {
        ResponseMetadata answer{
            .requestId = std::string(fields["X-Id"]), .sealed = fields.count("X-Seal") > 0, .notRun = fields.count("X-Not-Run") > 0};
        if (fields.count("X-Limit") > 0) {
            answer.requestRateLimit = std::stod(std::string(fields["X-Limit"]));
        }
        answer.leaving = fields.count("X-Leaving") > 0;
        if (fields.count("X-Rest") > 0) {
            answer.retryAfter = std::chrono::seconds(std::stoi(std::string(fields["X-Rest"])));
        }
        return answer;
    };
    codec.failureResponse = [](const Failure &failure) {
        FailureResponse refusal{.status = httpStatus(failure.kind)};
        if (failure.retryAfterMs) {
            refusal.headers.push_back({.name = "X-Retry-Ms", .value = absl::StrCat(*failure.retryAfterMs)});
        }
        return refusal;
    };
    return codec;
}

std::shared_ptr<const RoutingPlan> testPlan()
{
    const auto route = [](std::string prefix, Repeatability repeatability, unsigned attempts, bool resumable) {
        return Route{.name = prefix,
                     .host = "app.example",
                     .prefix = prefix,
                     .services = {{.service = "service"}},
                     .repeatability = repeatability,
                     .timeout = std::chrono::seconds(3),
                     .maxAttempts = attempts,
                     .resumable = resumable};
    };
    // The objective equals the timeout, so an attempt is not cut short to leave time for a retry.
    Route patient = route("/patient/", Repeatability::Idempotent, 2, false);
    patient.latencyObjective = patient.timeout;
    RoutingPlan::Content content{.version = 5,
                                 .routes = {route("/once/", Repeatability::AtMostOnce, 2, false),
                                            route("/again/", Repeatability::Idempotent, 2, false),
                                            route("/stream/", Repeatability::Stream, 1, false),
                                            route("/resume/", Repeatability::Stream, 2, true),
                                            patient},
                                 .services = {{.name = "service"}},
                                 .teams = {{.name = "team", .keys = {"key"}}}};
    return std::make_shared<const RoutingPlan>(std::move(content));
}

GatewayFixture::GatewayFixture(std::vector<std::vector<PeerAction>> scripts, bool withPlan, Duration startupWait, bool plannedRetries)
    : m_startupWait(startupWait)
    , m_plannedRetries(plannedRetries)
    , m_pool(1)
    , m_ledger(m_pool.mainLoop().get_executor(), {.holder = "router", .incarnation = "router~1"})
    , m_gateway(m_pool.mainLoop().get_executor(), options(), m_ledger, m_metrics)
    , m_server(m_pool, serverOptions(), [this](HttpExchange &exchange) {
        return m_gateway.handle(exchange);
    })
{
    std::vector<TargetListing> listings;
    for (std::vector<PeerAction> &script : scripts) {
        m_targets.push_back(std::make_unique<ScriptedPeer>(m_pool, std::move(script)));
        listings.push_back({.incarnation = absl::StrCat("target-", m_targets.size()),
                            .service = "service",
                            .address = m_targets.back()->address(),
                            .failureDomain = "here"});
    }
    m_gateway.board().replaceAll(std::move(listings), Instant{});
    if (withPlan) {
        m_gateway.setPlan(testPlan());
    }
    BOOST_REQUIRE(m_server.open().ok());
}

std::string GatewayFixture::exchange(std::string request, std::optional<Duration> leaveAfter)
{
    std::string answer;
    asio::co_spawn(
        m_pool.mainLoop(), call({.request = std::move(request), .leaveAfter = leaveAfter}, answer), [this](const std::exception_ptr &) {
            m_pool.stop();
        });
    m_pool.run();
    m_pool.mainLoop().restart();
    return answer;
}

std::vector<std::string> GatewayFixture::exchangeAll(const std::vector<Call> &calls)
{
    std::vector<std::string> answers(calls.size());
    std::size_t left = calls.size();
    for (std::size_t index = 0; index < calls.size(); ++index) {
        schedule(calls[index].at, [&, index] {
            asio::co_spawn(m_pool.mainLoop(), call(calls[index], answers[index]), [&](const std::exception_ptr &) {
                if (--left == 0) {
                    m_pool.stop();
                }
            });
        });
    }
    m_pool.run();
    if (m_killed) {
        m_pool.discardPendingWork();
        return answers;
    }
    m_pool.mainLoop().restart();
    return answers;
}

void GatewayFixture::schedule(Duration at, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(m_pool.mainLoop(), at);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &) {
        action();
    });
}

void GatewayFixture::kill()
{
    m_pool.stop();
    m_killed = true;
}

void GatewayFixture::setScript(std::vector<PeerAction> script)
{
    m_targets.front()->setScript(std::move(script));
}

void GatewayFixture::setPlanAfterDelay()
{
    asio::co_spawn(
        m_pool.mainLoop(),
        [this]() -> asio::awaitable<void> {
            asio::steady_timer timer(m_pool.mainLoop(), std::chrono::milliseconds(50));
            co_await timer.async_wait(s_tuple);
            m_gateway.setPlan(testPlan());
        },
        asio::detached);
}

void GatewayFixture::listFirstTargetAgain()
{
    m_gateway.board().updateListing(
        {.incarnation = "target-1", .service = "service", .address = m_targets.front()->address(), .failureDomain = "here"}, steadyNow());
}

void GatewayFixture::removeSecondTarget()
{
    m_gateway.board().removeListing("target-2", Instant{});
}

void GatewayFixture::restartFirstTarget()
{
    asio::co_spawn(
        m_pool.mainLoop(),
        [this]() -> asio::awaitable<void> {
            // Waits until the request has reached the former process.
            while (m_targets.front()->requests().empty()) {
                co_await pause(std::chrono::milliseconds(5));
            }
            m_gateway.board().updateListing({.incarnation = "target-1@2",
                                             .service = "service",
                                             .address = m_targets.back()->address(),
                                             .failureDomain = "here",
                                             .identity = "target-1"},
                                            steadyNow());
            while (true) {
                co_await pause(std::chrono::milliseconds(20));
                m_gateway.dropStaleTargets();
            }
        },
        asio::detached);
}

void GatewayFixture::replaceFirstTarget()
{
    const TargetListing next{.incarnation = "next", .service = "service", .address = m_targets.front()->address(), .failureDomain = "here"};
    m_gateway.board().removeListing("target-1", Instant{});
    m_gateway.board().updateListing(next, Instant{});
}

void GatewayFixture::beginDrain(Duration untilShutdown)
{
    m_gateway.beginDrain(steadyNow(), steadyNow() + untilShutdown);
}

void GatewayFixture::setPlan(std::shared_ptr<const RoutingPlan> plan)
{
    BOOST_REQUIRE(m_gateway.setPlan(std::move(plan)));
}

void GatewayFixture::setFirstTargetSlots(std::uint32_t slots)
{
    m_gateway.board().updateListing(
        {.incarnation = "target-1", .service = "service", .address = m_targets.front()->address(), .failureDomain = "here", .slots = slots},
        steadyNow());
}

void GatewayFixture::setVersion(std::size_t index, const std::string &version, const std::string &relay)
{
    m_gateway.board().updateListing({.incarnation = absl::StrCat("target-", index + 1),
                                     .service = "service",
                                     .address = m_targets.at(index)->address(),
                                     .failureDomain = "here",
                                     .relay = relay,
                                     .version = version},
                                    steadyNow());
}

void GatewayFixture::addTarget(const std::string &incarnation, const std::string &address)
{
    m_gateway.board().updateListing({.incarnation = incarnation, .service = "service", .address = address, .failureDomain = "here"},
                                    steadyNow());
}

void GatewayFixture::useUpRetries()
{
    RetryBudget &budget = m_gateway.retryBudget();
    while (budget.tryAcquireRetry("service", FleetPosition{.rank = 0, .routers = 1}, steadyNow())) { }
}

void GatewayFixture::setFirstTargetPreferred(bool preferred)
{
    m_gateway.board().updateListing({.incarnation = "target-2",
                                     .service = "service",
                                     .address = m_targets.at(1)->address(),
                                     .failureDomain = preferred ? "elsewhere" : "here"},
                                    steadyNow());
}

std::optional<SpeedReport> GatewayFixture::firstTargetSpeed()
{
    return m_gateway.board().speedReport("target-1", steadyNow());
}

const ScriptedPeer &GatewayFixture::target(std::size_t index) const
{
    return *m_targets.at(index);
}

std::size_t GatewayFixture::receivedRequests() const
{
    std::size_t sum = 0;
    for (const auto &target : m_targets) {
        sum += target->requests().size();
    }
    return sum;
}

HttpServer::Options GatewayFixture::serverOptions() const
{
    HttpServer::Options options{.address = ownAddress(), .port = s_port, .exclusive = true};
    options.traffic = m_gateway.traffic();
    options.handlerReadsBodies = true;
    return options;
}

Gateway::Options GatewayFixture::options()
{
    Gateway::Options options;
    options.codec = testCodec();
    options.board.failureDomain = "here";
    options.startupWait = m_startupWait;
    options.plannedRetries = m_plannedRetries;
    options.fleetPosition = [](std::string_view, Instant) {
        return FleetPosition{.rank = 0, .routers = 1};
    };
    return options;
}

asio::awaitable<void> GatewayFixture::call(Call sent, std::string &answer)
{
    asio::ip::tcp::socket socket(m_pool.mainLoop());
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(ownAddress()), s_port);
    co_await socket.async_connect(endpoint, s_tuple);
    co_await asio::async_write(socket, asio::buffer(sent.request), s_tuple);
    if (!sent.rest.empty()) {
        co_await pause(sent.restAfter);
        co_await asio::async_write(socket, asio::buffer(sent.rest), s_tuple);
    }
    if (sent.leaveAfter) {
        asio::steady_timer timer(m_pool.mainLoop(), *sent.leaveAfter);
        if (*sent.leaveAfter > Duration::zero()) {
            co_await timer.async_wait(s_tuple);
        }
        socket.close();
        timer.expires_after(std::chrono::milliseconds(100));
        co_await timer.async_wait(s_tuple);
        co_return;
    }
    co_await asio::async_read(socket, asio::dynamic_buffer(answer), s_tuple);
}

std::string request(const std::string &path, const std::string &headers)
{
    return absl::StrCat(
        "POST ", path, "1 HTTP/1.1\r\nHost: app.example\r\nX-Id: r1\r\nConnection: close\r\n", headers, "Content-Length: 4\r\n\r\nbody");
}

PeerAction sealedResponse()
{
    return {.bytes = completeResponse(200, "X-Id: r1\r\nX-Seal: s\r\n", "answer")};
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

}
