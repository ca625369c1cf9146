#include "gateway/peerexchange.h"
#include "ownaddress.h"

#include "store/memoryrows.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

using namespace bamboohold;

namespace {

constexpr std::uint16_t s_firstPort = 17710;
constexpr int s_peers = 4;
/// The time that a document of half a megabyte takes over a slow link.
constexpr Duration s_transferTime = std::chrono::milliseconds(200);
/// Long enough to ask every peer in turn. Only a failing run takes this long.
constexpr Duration s_longestRun = std::chrono::seconds(6);

std::string linkAddress(int number)
{
    return absl::StrCat(ownAddress(), ":", s_firstPort + number);
}

/// A store that never answers.
struct UnreachableStore {
    asio::awaitable<absl::StatusOr<RowTransactionResult>> transact(const RowTransaction &)
    {
        co_return failed(FailureKind::TableUnreachable, "away");
    }

    asio::awaitable<absl::StatusOr<RowsSnapshot>> read(const std::string &, const std::string &)
    {
        co_return failed(FailureKind::TableUnreachable, "away");
    }

    asio::awaitable<absl::StatusOr<RowsFeed>> follow(const std::string &, std::uint64_t, Duration)
    {
        co_return failed(FailureKind::TableUnreachable, "away");
    }
};

/// A peer with version 2 of the configuration and a slow link.
struct SlowPeer {
    SlowPeer(asio::io_context &loop, int number)
        : link(loop.get_executor(), {.self = linkAddress(number)})
    {
        link.setCallHandler(
            [this](wire::PeerCall call) {
                return answer(std::move(call));
            },
            [](const std::string &, std::uint64_t) {});
        BOOST_REQUIRE(link.open().ok());
        link.setPeers({linkAddress(0)});
    }

    asio::awaitable<wire::PeerAnswer> answer(wire::PeerCall call)
    {
        wire::PeerAnswer answer;
        if (call.has_plan()) {
            ++documentRequests;
            co_await pause(s_transferTime);
            answer.set_done(true);
            answer.mutable_plan()->set_version(2);
            answer.mutable_plan()->set_document("document");
            answer.mutable_plan()->mutable_evacuations()->set_version(5);
            answer.mutable_plan()->mutable_evacuations()->add_domains("there");
        }
        co_return answer;
    }

    PeerLink link;
    int documentRequests = 0;
};

/// A router that cannot reach the store, and peers that all have a newer configuration.
struct Fixture {
    Fixture()
        : link(loop.get_executor(), {.self = linkAddress(0)})
        , relayed(store, link)
        , ledger(loop.get_executor(), {.holder = "router", .incarnation = "router~1"})
        , gateway(loop.get_executor(), {}, ledger, metrics)
        , evacuations(gateway.board(), metrics, {})
        , exchange(link, relayed, ledger, gateway, evacuations, [this](const std::string &document) {
            accepted.push_back(document);
            gateway.setPlan(std::make_shared<const RoutingPlan>(RoutingPlan::Content{.version = 2}));
            loop.stop();
        })
    {
        BOOST_REQUIRE(link.open().ok());
        std::vector<std::string> addresses;
        for (int number = 1; number <= s_peers; ++number) {
            addresses.push_back(linkAddress(number));
            peers.push_back(std::make_unique<SlowPeer>(loop, number));
        }
        link.setPeers(addresses);
    }

    int documentRequests() const
    {
        int requests = 0;
        for (const auto &peer : peers) {
            requests += peer->documentRequests;
        }
        return requests;
    }

    /// Lets all peers announce their configuration until the router has accepted it.
    void announceUntilAccepted()
    {
        asio::co_spawn(
            loop,
            [this]() -> asio::awaitable<void> {
                // Connections are established in the background, and a notice to a peer that is not connected yet is lost.
                while (true) {
                    for (const auto &peer : peers) {
                        peer->link.announcePlan(2);
                    }
                    co_await pause(s_transferTime / 3);
                }
            },
            asio::detached);
        loop.run_for(s_longestRun);
    }

    asio::io_context loop;
    Metrics metrics;
    UnreachableStore store;
    PeerLink link;
    RelayedStore<UnreachableStore> relayed;
    TeamLedger ledger;
    Gateway gateway;
    EvacuationFollower evacuations;
    PeerExchange<UnreachableStore> exchange;
    std::vector<std::string> accepted;
    std::vector<std::unique_ptr<SlowPeer>> peers;
};

}

BOOST_AUTO_TEST_SUITE(PeerHelpTest)

// Guards against a slow link that is saturated by copies of the configuration. A router that requested the whole document, 0.7 MB, from
// every peer that announced it, and gave up on each after 120 ms, still received all the copies: ten seconds of traffic for two changes.
// All its other calls timed out for eight seconds, while the routers on fast links sent 12 to 14 MB/s together instead of 0.3 MB/s.
BOOST_AUTO_TEST_CASE(oneOfManyPeersSendsTheDocument)
{
    Fixture fixture;
    fixture.announceUntilAccepted();
    BOOST_TEST(fixture.accepted.size() == 1U);
    BOOST_TEST(fixture.documentRequests() == 1);
}

// Guards against requests to an evacuated domain from a router that started while the store was unreachable and got its configuration from
// a peer.
BOOST_AUTO_TEST_CASE(evacuationsComeWithTheConfiguration)
{
    Fixture fixture;
    fixture.announceUntilAccepted();
    BOOST_REQUIRE(fixture.evacuations.inForce().has_value());
    BOOST_TEST(fixture.evacuations.inForce()->version == 5U);
    BOOST_TEST(fixture.evacuations.inForce()->domains.contains("there"));
}

BOOST_AUTO_TEST_SUITE_END()
