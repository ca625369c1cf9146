#include "clock/steadytime.h"
#include "net/pause.h"
#include "ownaddress.h"
#include "routing/limitadmissions.h"
#include "routing/loadserver.h"
#include "tests/gatewayfixture.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace bamboohold;

namespace {

constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint16_t s_firstCallerPort = 17690;
constexpr std::uint16_t s_firstLoadPort = 17700;
constexpr std::size_t s_routers = 3;
constexpr double s_perSecond = 2;

std::string loadAddress(std::size_t router)
{
    return absl::StrCat(ownAddress(), ":", s_firstLoadPort + router);
}

/// A router that answers the other routers' load queries for targets without relays.
struct RouterUnderTest {
    RouterUnderTest(WorkerPool &pool, std::size_t number)
        : ledger(pool.mainLoop().get_executor(), {.holder = loadAddress(number), .incarnation = loadAddress(number) + "~1"})
        , gateway(pool.mainLoop().get_executor(), options(number), ledger, metrics)
        , loadServer(pool.mainLoop().get_executor(),
                     {asio::ip::make_address(ownAddress()), static_cast<std::uint16_t>(s_firstLoadPort + number)})
        , loads(pool.mainLoop().get_executor(), {.incarnation = loadAddress(number) + "~1", .address = ownAddress()})
        , server(pool,
                 {.address = ownAddress(), .port = static_cast<std::uint16_t>(s_firstCallerPort + number), .exclusive = true},
                 [this](HttpExchange &exchange) {
                     return gateway.handle(exchange);
                 })
    {
        BOOST_REQUIRE(loadServer.open().ok());
        BOOST_REQUIRE(loads.open().ok());
        BOOST_REQUIRE(server.open().ok());
        gateway.chooser().setLoadClient(loads);
        gateway.chooser().setRouters(std::vector{loadAddress(0), loadAddress(1), loadAddress(2)});
        gateway.setPlan(testPlan());
    }

    static Gateway::Options options(std::size_t number)
    {
        Gateway::Options options;
        options.codec = testCodec();
        options.chooser.self = loadAddress(number);
        options.fleetPosition = [](std::string_view, Instant) {
            return FleetPosition{.rank = 0, .routers = s_routers};
        };
        return options;
    }

    Metrics metrics;
    TeamLedger ledger;
    Gateway gateway;
    LoadServer loadServer;
    LoadClient loads;
    HttpServer server;
};

PeerAction limited()
{
    return {.bytes = completeResponse(200, absl::StrCat("X-Id: r1\r\nX-Seal: s\r\nX-Limit: ", s_perSecond, "\r\n"), "answer")};
}

/// Several routers and one target without a relay that states a rate limit.
class Fleet
{
public:
    Fleet()
        : m_pool(1)
        , m_target(m_pool, {limited()})
    {
        for (std::size_t number = 0; number < s_routers; ++number) {
            m_routers.push_back(std::make_unique<RouterUnderTest>(m_pool, number));
            m_routers.back()->gateway.board().replaceAll({{.incarnation = "target", .service = "service", .address = m_target.address()}},
                                                         Instant{});
        }
    }

    template<typename Steps>
    void play(Steps steps)
    {
        asio::co_spawn(m_pool.mainLoop(), steps(), [this](const std::exception_ptr &) {
            m_pool.stop();
        });
        m_pool.run();
    }

    /// Sends a request to a router and returns whether it was served.
    asio::awaitable<bool> serves(std::size_t router)
    {
        asio::ip::tcp::socket socket(m_pool.mainLoop());
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(ownAddress()),
                                               static_cast<std::uint16_t>(s_firstCallerPort + router));
        co_await socket.async_connect(endpoint, s_tuple);
        const std::string bytes = request("/once/");
        co_await asio::async_write(socket, asio::buffer(bytes), s_tuple);
        std::string answer;
        co_await asio::async_read(socket, asio::dynamic_buffer(answer), s_tuple);
        co_return answer.starts_with("HTTP/1.1 200 ");
    }

    ScriptedPeer &target()
    {
        return m_target;
    }

private:
    WorkerPool m_pool;
    ScriptedPeer m_target;
    std::vector<std::unique_ptr<RouterUnderTest>> m_routers;
};

}

BOOST_AUTO_TEST_SUITE(AdmissionFleetTest)

// Guards against routers that each use the whole rate limit of a target without a relay, so that together they send a multiple of it.
BOOST_AUTO_TEST_CASE(routersTogetherKeepToALimit)
{
    constexpr int rounds = 150;
    Fleet fleet;
    const Instant begun = steadyNow();
    int served = 0;
    fleet.play([&]() -> asio::awaitable<void> {
        for (int round = 0; round < rounds; ++round) {
            for (std::size_t router = 0; router < s_routers; ++router) {
                served += co_await fleet.serves(router) ? 1 : 0;
            }
            co_await pause(std::chrono::milliseconds(20));
        }
    });
    // Each router learns the limit from the answer to its first request.
    const double admitted = s_perSecond * seconds(steadyNow() - begun + LimitAdmissions::s_burstTolerance) + 1;
    BOOST_TEST(served <= admitted + s_routers);
    BOOST_TEST(served > static_cast<int>(s_routers));
    BOOST_TEST(fleet.target().requests().size() == static_cast<std::size_t>(served));
}

// Guards against a rate limit that stays in force at routers that did not get the answer that ended it.
BOOST_AUTO_TEST_CASE(endOfALimitReachesAllRouters)
{
    constexpr int maxRounds = 3000;
    Fleet fleet;
    std::size_t unlimitedRouters = 0;
    fleet.play([&]() -> asio::awaitable<void> {
        for (std::size_t router = 0; router < s_routers; ++router) {
            co_await fleet.serves(router);
        }
        fleet.target().setScript({sealedResponse()});
        // Only a failing run uses all rounds.
        for (int round = 0; round < maxRounds && unlimitedRouters < s_routers; ++round) {
            unlimitedRouters = 0;
            for (std::size_t router = 0; router < s_routers; ++router) {
                const bool first = co_await fleet.serves(router);
                const bool second = co_await fleet.serves(router);
                unlimitedRouters += first && second ? 1 : 0;
            }
            co_await pause(std::chrono::milliseconds(10));
        }
    });
    BOOST_TEST(unlimitedRouters == s_routers);
}

BOOST_AUTO_TEST_SUITE_END()
