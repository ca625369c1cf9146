#include "gateway/peerexchange.h"
#include "ownaddress.h"

#include "net/pause.h"
#include "tests/gatewayfixture.h"
#include "tests/scriptedpeer.h"
#include "tests/sharedrows.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <vector>

using namespace bamboohold;

namespace {

constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint16_t s_firstCallerPort = 17640;
constexpr std::uint16_t s_firstLinkPort = 17660;
constexpr std::size_t s_routers = 3;
constexpr std::size_t s_targets = 6;
/// Number of targets that one request may crash before the whole fleet quarantines it.
constexpr std::size_t s_mostCrashed = 3;
/// Routers are told of a crash well within this time. It is a sixth of the time they are allowed.
constexpr Duration s_spreadTime = std::chrono::milliseconds(500);
constexpr std::string_view s_poison = "draft the block that never ends";

std::string linkAddress(std::size_t router)
{
    return absl::StrCat(ownAddress(), ":", s_firstLinkPort + router);
}

std::shared_ptr<const RoutingPlan> draftingPlan()
{
    RoutingPlan::Content content{.version = 1,
                                 .routes = {{.name = "drafts",
                                             .host = "app.example",
                                             .prefix = "/drafts/",
                                             .services = {{.service = "drafting"}},
                                             .repeatability = Repeatability::Stream,
                                             .timeout = std::chrono::seconds(3)}},
                                 .services = {{.name = "drafting"}},
                                 .teams = {{.name = "surveyors", .keys = {"key"}}}};
    return std::make_shared<const RoutingPlan>(std::move(content));
}

std::string draftRequest(std::string_view id, std::string_view body)
{
    return absl::StrCat("POST /drafts/9 HTTP/1.1\r\nHost: app.example\r\nX-Key: key\r\nConnection: close\r\nX-Id: ",
                        std::string(id),
                        "\r\nContent-Length: ",
                        body.size(),
                        "\r\n\r\n",
                        std::string(body));
}

/// A router with links to its peers.
struct RouterUnderTest {
    RouterUnderTest(WorkerPool &pool, std::size_t number, SharedRows &rows)
        : link(pool.mainLoop().get_executor(), {.self = linkAddress(number)})
        , relayed(rows, link)
        , ledger(pool.mainLoop().get_executor(), {.holder = linkAddress(number), .incarnation = linkAddress(number) + "~1"})
        , gateway(pool.mainLoop().get_executor(), options(), ledger, metrics)
        , evacuations(gateway.board(), metrics, {})
        , help(link, relayed, ledger, gateway, evacuations, [](const std::string &) {})
        , server(pool,
                 {.address = ownAddress(), .port = static_cast<std::uint16_t>(s_firstCallerPort + number), .exclusive = true},
                 [this](HttpExchange &exchange) {
                     return gateway.handle(exchange);
                 })
    {
        BOOST_REQUIRE(link.open().ok());
        BOOST_REQUIRE(server.open().ok());
        gateway.setPlan(draftingPlan());
    }

    static Gateway::Options options()
    {
        Gateway::Options options;
        options.codec = testCodec();
        options.routers = [] {
            return s_routers;
        };
        return options;
    }

    Metrics metrics;
    PeerLink link;
    RelayedStore<SharedRows> relayed;
    TeamLedger ledger;
    Gateway gateway;
    EvacuationFollower evacuations;
    PeerExchange<SharedRows> help;
    HttpServer server;
};

/// Routers in front of targets that crash when a request contains a given text.
class Scene
{
public:
    Scene()
        : m_pool(1)
    {
        const std::string stream = streamResponseHead("X-Seal: s\r\n") + chunk("id: 1\ndata: piece\n\n") + chunk("");
        for (std::size_t number = 0; number < s_targets; ++number) {
            m_targets.push_back(std::make_unique<ScriptedPeer>(m_pool, std::vector<PeerAction>{{.bytes = stream}}));
            m_targets.back()->crashOn(std::string(s_poison));
        }
        for (std::size_t number = 0; number < s_routers; ++number) {
            m_routers.push_back(std::make_unique<RouterUnderTest>(m_pool, number, m_rows));
            m_routers.back()->gateway.board().replaceAll(listings(), Instant{});
        }
        linkRouters(s_routers);
    }

    /// Links the first `linked` routers with each other. The other routers have no peers.
    void linkRouters(std::size_t linked)
    {
        std::vector<std::string> peers;
        for (std::size_t number = 0; number < linked; ++number) {
            peers.push_back(linkAddress(number));
        }
        for (std::size_t number = 0; number < s_routers; ++number) {
            m_routers[number]->link.setPeers(number < linked ? peers : std::vector<std::string>());
        }
    }

    RouterUnderTest &router(std::size_t number)
    {
        return *m_routers[number];
    }

    /// Runs a coroutine that acts as the callers, until it ends.
    template<typename Steps>
    void play(Steps steps)
    {
        asio::co_spawn(m_pool.mainLoop(), steps(), [this](const std::exception_ptr &) {
            m_pool.stop();
        });
        m_pool.run();
    }

    /// Sends a request to a router and returns the response.
    asio::awaitable<std::string> send(std::size_t router, std::string request)
    {
        asio::ip::tcp::socket socket(m_pool.mainLoop());
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(ownAddress()),
                                               static_cast<std::uint16_t>(s_firstCallerPort + router));
        co_await socket.async_connect(endpoint, s_tuple);
        co_await asio::async_write(socket, asio::buffer(request), s_tuple);
        std::string answer;
        co_await asio::async_read(socket, asio::dynamic_buffer(answer), s_tuple);
        co_return answer;
    }

    /// Makes all targets respond with these bytes from now on.
    void respondFromAllTargets(const std::string &bytes)
    {
        for (const auto &target : m_targets) {
            target->setScript({{.bytes = bytes}});
        }
    }

    /// Makes crashed targets refuse connections only after this time.
    void lingerAfterCrashes(Duration lingering)
    {
        for (const auto &target : m_targets) {
            target->lingerAfterCrash(lingering);
        }
    }

    /// Makes the next target that receives a request with this text crash.
    void crashNextOn(const std::string &text)
    {
        for (const auto &target : m_targets) {
            target->crashOn(text);
        }
    }

    /// Makes targets crash on the poisonous request only.
    void crashOnPoisonOnly()
    {
        for (const auto &target : m_targets) {
            target->crashOn(std::string(s_poison));
        }
    }

    /// Sends three copies through one router each. Each copy crashes a target.
    asio::awaitable<void> crashThreeTargets(Duration between)
    {
        for (std::size_t copy = 0; copy < s_mostCrashed; ++copy) {
            co_await send(copy % s_routers, draftRequest(absl::StrCat("early-", copy), s_poison));
            co_await pause(between);
        }
    }

    std::size_t crashed() const
    {
        return std::ranges::count_if(m_targets, [](const auto &target) {
            return target->crashed();
        });
    }

private:
    std::vector<TargetListing> listings() const
    {
        std::vector<TargetListing> listings;
        for (const auto &target : m_targets) {
            listings.push_back(
                {.incarnation = absl::StrCat("target-", listings.size()), .service = "drafting", .address = target->address()});
        }
        return listings;
    }

    WorkerPool m_pool;
    SharedRows m_rows;
    std::vector<std::unique_ptr<ScriptedPeer>> m_targets;
    std::vector<std::unique_ptr<RouterUnderTest>> m_routers;
};

}

BOOST_AUTO_TEST_SUITE(PoisonRequestTest)

// Guards against a request that crashes every engine that starts processing it, and is sent again and again to any router, each time with
// another request id. Nothing connected one arrival with the next, so every copy was sent on: fourteen crashes of nine engines in ten
// seconds, each with all its streams, and again after the engines had restarted. At all fourteen crashes a request of the same team, route
// and worst-case cost was in flight, sent by four routers, and no other request was in flight at more than two.
BOOST_AUTO_TEST_CASE(theFleetQuarantinesARequestThatHasCrashedThreeTargets)
{
    Scene scene;
    scene.play([&]() -> asio::awaitable<void> {
        // Links between routers are established in the background.
        co_await pause(s_spreadTime);
        co_await scene.crashThreeTargets(Duration::zero());
        BOOST_TEST(scene.crashed() == s_mostCrashed);
        co_await pause(s_spreadTime);
        for (std::size_t router = 0; router < s_routers; ++router) {
            const std::string answer = co_await scene.send(router, draftRequest(absl::StrCat("late-", router), s_poison));
            BOOST_TEST(answer.starts_with("HTTP/1.1 503 "), answer);
            BOOST_TEST(answer.find("X-Retry-Ms: ") != std::string::npos);
        }
    });
    BOOST_TEST(scene.crashed() == s_mostCrashed);
}

// As above, but each copy has a different query, as sent by a script that bypasses caches.
BOOST_AUTO_TEST_CASE(copiesMayDifferInTheirQuery)
{
    Scene scene;
    scene.play([&]() -> asio::awaitable<void> {
        co_await pause(s_spreadTime);
        for (std::size_t copy = 0; copy < s_mostCrashed + s_routers; ++copy) {
            std::string request = draftRequest(absl::StrCat("copy-", copy), s_poison);
            request.replace(request.find("/drafts/9"), std::string("/drafts/9").size(), absl::StrCat("/drafts/9?now=", copy));
            co_await scene.send(copy % s_routers, std::move(request));
            co_await pause(s_spreadTime / 5);
        }
    });
    BOOST_TEST(scene.crashed() == s_mostCrashed);
}

// Guards against a router that starts without knowledge of the crashes that its peers have seen.
BOOST_AUTO_TEST_CASE(aRouterThatStartsAsksItsPeers)
{
    Scene scene;
    scene.linkRouters(2);
    scene.play([&]() -> asio::awaitable<void> {
        co_await pause(s_spreadTime);
        for (std::size_t copy = 0; copy < 2; ++copy) {
            co_await scene.send(copy, draftRequest(absl::StrCat("early-", copy), s_poison));
        }
        co_await pause(s_spreadTime);
        BOOST_TEST(scene.crashed() == 2U);
        Quarantine &started = scene.router(2).gateway.guard().quarantine();
        BOOST_TEST(started.suspects() == 0U);
        scene.linkRouters(s_routers);
        co_await pause(s_spreadTime);
        co_await scene.router(2).help.fetchKnownCrashes();
        BOOST_TEST(started.suspects() > 0U);
        co_await scene.send(2, draftRequest("third", s_poison));
        co_await pause(s_spreadTime);
        BOOST_TEST(!started.entries().empty());
    });
}

// Guards against targets whose connections close some time before their port does, for example because the system accepts connections until
// a crashed process is cleaned up. A router that probed only once, at once, took the target for alive and did not count the crash against
// the request.
BOOST_AUTO_TEST_CASE(aTargetMayRefuseConnectionsOnlyAfterAWhile)
{
    Scene scene;
    scene.lingerAfterCrashes(s_spreadTime / 10);
    scene.play([&]() -> asio::awaitable<void> {
        co_await pause(s_spreadTime);
        co_await scene.crashThreeTargets(s_spreadTime);
        for (std::size_t router = 0; router < s_routers; ++router) {
            const std::string answer = co_await scene.send(router, draftRequest(absl::StrCat("late-", router), s_poison));
            BOOST_TEST(answer.starts_with("HTTP/1.1 503 "), answer);
        }
    });
    BOOST_TEST(scene.crashed() == s_mostCrashed);
}

// A target that lacks some resource responds to a copy with an error of its own before it starts processing it. This must not acquit the
// request, or each copy that passes afterwards crashes a target.
BOOST_AUTO_TEST_CASE(aFailureDoesNotAcquit)
{
    Scene scene;
    scene.play([&]() -> asio::awaitable<void> {
        co_await pause(s_spreadTime);
        for (std::size_t copy = 0; copy < s_mostCrashed; ++copy) {
            co_await scene.send(copy, draftRequest(absl::StrCat("early-", copy), s_poison));
            scene.respondFromAllTargets(completeResponse(409, "X-Seal: s\r\n", "not now"));
            scene.crashNextOn("nothing");
            co_await pause(s_spreadTime / 5);
            const std::string answer = co_await scene.send(copy, draftRequest(absl::StrCat("declined-", copy), s_poison));
            BOOST_TEST(answer.starts_with(copy + 1 < s_mostCrashed ? "HTTP/1.1 409 " : "HTTP/1.1 503 "), answer);
            scene.crashOnPoisonOnly();
        }
    });
    BOOST_TEST(scene.crashed() == s_mostCrashed);
}

// Other requests of the caller and of its team are harmless. They are served as before on the remaining targets.
BOOST_AUTO_TEST_CASE(otherRequestsOfTheSameCallerAreServed)
{
    Scene scene;
    scene.play([&]() -> asio::awaitable<void> {
        co_await pause(s_spreadTime);
        co_await scene.crashThreeTargets(Duration::zero());
        co_await pause(s_spreadTime);
        for (std::size_t router = 0; router < s_routers; ++router) {
            const std::string answer = co_await scene.send(router, draftRequest(absl::StrCat("sound-", router), "draft block 9"));
            BOOST_TEST(answer.starts_with("HTTP/1.1 200 "), answer);
            BOOST_TEST(answer.ends_with("0\r\n\r\n"));
        }
    });
}

// Targets crash for another reason while one request is in flight on each of them, and its caller retries. The request receives responses
// between the crashes and must not be refused.
BOOST_AUTO_TEST_CASE(aRequestAnsweredBetweenCrashesIsServed)
{
    Scene scene;
    scene.play([&]() -> asio::awaitable<void> {
        co_await pause(s_spreadTime);
        for (std::size_t round = 0; round < s_targets - 1; ++round) {
            scene.crashNextOn("held up by chance");
            const std::string cut = co_await scene.send(round % s_routers, draftRequest(absl::StrCat("cut-", round), "held up by chance"));
            BOOST_TEST(cut.starts_with("HTTP/1.1 502 "), cut);
            scene.crashOnPoisonOnly();
            co_await pause(s_spreadTime / 5);
            const std::string answer =
                co_await scene.send((round + 1) % s_routers, draftRequest(absl::StrCat("again-", round), "held up by chance"));
            BOOST_TEST(answer.starts_with("HTTP/1.1 200 "), answer);
            co_await pause(s_spreadTime / 5);
        }
    });
    BOOST_TEST(scene.crashed() == s_targets - 1);
}

BOOST_AUTO_TEST_SUITE_END()
