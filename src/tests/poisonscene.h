#pragma once

#include "gateway/peerexchange.h"
#include "ownaddress.h"

#include "net/pause.h"
#include "tests/gatewayfixture.h"
#include "tests/scriptedpeer.h"
#include "tests/sharedrows.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Routers on loopback in front of targets that crash under some requests.
namespace bamboohold::poisonscene {

inline constexpr auto s_tuple = asio::as_tuple(asio::use_awaitable);
inline constexpr std::uint16_t s_firstCallerPort = 17640;
inline constexpr std::uint16_t s_firstLinkPort = 17660;
inline constexpr std::size_t s_routers = 3;
inline constexpr std::size_t s_targets = 6;
/// Number of targets that one request may crash before the whole fleet quarantines it.
inline constexpr std::size_t s_mostCrashed = 3;
/// Routers are told of a crash well within this time. It is a sixth of the time they are allowed.
inline constexpr Duration s_spreadTime = std::chrono::milliseconds(500);
inline constexpr std::string_view s_poison = "draft the block that never ends";

inline std::string linkAddress(std::size_t router)
{
    return absl::StrCat(ownAddress(), ":", s_firstLinkPort + router);
}

inline std::shared_ptr<const RoutingPlan> draftingPlan()
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

inline std::string draftRequest(std::string_view id, std::string_view body, std::string_view parts = "")
{
    return absl::StrCat("POST /drafts/9 HTTP/1.1\r\nHost: app.example\r\nX-Key: key\r\nConnection: close\r\nX-Id: ",
                        std::string(id),
                        parts.empty() ? "" : absl::StrCat("\r\nX-Parts: ", std::string(parts)),
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
        options.codec.readRequest = [read = options.codec.readRequest](const http::fields &fields) -> absl::StatusOr<RequestMetadata> {
            absl::StatusOr<RequestMetadata> metadata = read(fields);
            for (const std::string &part :
                 std::vector<std::string>(absl::StrSplit(std::string(fields["X-Parts"]), ',', absl::SkipEmpty()))) {
                metadata->prompt.push_back({.id = std::stoull(part, nullptr, 16), .tokens = 100});
            }
            return metadata;
        };
        options.fleetPosition = [](std::string_view, Instant) {
            return FleetPosition{.rank = 0, .routers = s_routers};
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
    explicit Scene(std::size_t targets = s_targets)
        : m_pool(1)
    {
        const std::string stream = streamResponseHead("X-Seal: s\r\n") + chunk("id: 1\ndata: piece\n\n") + chunk("");
        for (std::size_t number = 0; number < targets; ++number) {
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
