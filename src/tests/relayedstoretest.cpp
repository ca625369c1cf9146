#include "membership/relayedstore.h"

#include "store/memoryrows.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace bamboohold;
namespace asio = boost::asio;

namespace {

constexpr StoreTimeMs s_storeTime = 1000;

/// The store in memory, over ways that the test opens and closes.
struct Way {
    asio::awaitable<absl::StatusOr<RowTransactionResult>> transact(const RowTransaction &transaction)
    {
        ++*calls;
        if (!*open) {
            co_return failed(FailureKind::TableUnreachable, "cut off", Executed::Unknown);
        }
        co_return rows->transact(transaction, s_storeTime);
    }

    asio::awaitable<absl::StatusOr<RowsSnapshot>> read(const std::string &table, const std::string &part)
    {
        ++*calls;
        if (!*open) {
            co_return failed(FailureKind::TableUnreachable, "cut off");
        }
        co_return rows->read(table, part, s_storeTime);
    }

    asio::awaitable<absl::StatusOr<RowsFeed>> follow(const std::string &table, std::uint64_t version, Duration)
    {
        ++*calls;
        if (!*open) {
            co_return failed(FailureKind::TableUnreachable, "cut off");
        }
        co_return rows->changesSince(table, version);
    }

    MemoryRows *rows = nullptr;
    bool *open = nullptr;
    int *calls = nullptr;
};

struct Scene {
    Scene()
        : direct{.rows = &rows, .open = &directOpen, .calls = &directCalls}
        , link(loop.get_executor(), {.self = "127.0.0.1:1"})
        , detours({.self = "127.0.0.1:1", .failureDomain = "near"})
        , store(direct, link)
    {
        detours.listed("a", "relay-a", "near");
        detours.listed("b", "relay-b", "far");
        store.setDetours(detours, [this](const std::string &relay) {
            opened.push_back(relay);
            bool *open = relay == "relay-a" ? &nearOpen : &farOpen;
            return std::make_unique<Way>(Way{.rows = &rows, .open = open, .calls = &detourCalls});
        });
    }

    /// The outcome of one write.
    absl::StatusOr<RowTransactionResult> write(const std::string &value)
    {
        const RowTransaction transaction{.changes = {{.address = {.table = "t", .part = "p", .key = "k"}, .value = value}}};
        std::optional<absl::StatusOr<RowTransactionResult>> verdict;
        asio::co_spawn(loop, writeInto(transaction, verdict), asio::detached);
        runUntil([&verdict] {
            return verdict.has_value();
        });
        return *verdict;
    }

    void runUntil(const std::function<bool()> &done)
    {
        loop.restart();
        while (!done()) {
            loop.run_one();
        }
    }

    asio::awaitable<void> writeInto(const RowTransaction &transaction, std::optional<absl::StatusOr<RowTransactionResult>> &verdict)
    {
        verdict = co_await store.transact(transaction);
    }

    asio::io_context loop;
    MemoryRows rows;
    bool directOpen = true;
    bool nearOpen = true;
    bool farOpen = true;
    int directCalls = 0;
    int detourCalls = 0;
    std::vector<std::string> opened;
    Way direct;
    PeerLink link;
    Detours detours;
    RelayedStore<Way> store;
};

}

BOOST_AUTO_TEST_SUITE(RelayedStoreTest)

// A router's way to the store is cut and callers are refused for want of tokens that the store has. The write that found out goes through a
// relay beside a target in the same call, the next ones at once; when the way is open again the router finds out by itself.
BOOST_AUTO_TEST_CASE(aCutRouterReachesTheStoreThroughARelay)
{
    Scene scene;
    BOOST_TEST(scene.write("1").ok());
    BOOST_TEST(scene.opened.empty());
    scene.directOpen = false;
    BOOST_TEST(scene.write("2").ok());
    BOOST_TEST((scene.opened == std::vector<std::string>{"relay-a"}));
    const int before = scene.directCalls;
    BOOST_TEST(scene.write("3").ok());
    BOOST_TEST(scene.directCalls == before);
    BOOST_TEST(!scene.store.directReachable());
    scene.directOpen = true;
    scene.runUntil([&scene] {
        return scene.store.directReachable();
    });
    const int detoured = scene.detourCalls;
    BOOST_TEST(scene.write("4").ok());
    BOOST_TEST(scene.detourCalls == detoured);
}

// The relay in use goes away with its host in the middle of the cut. The call goes through another one.
BOOST_AUTO_TEST_CASE(anotherRelayStandsInForOneThatIsGone)
{
    Scene scene;
    scene.directOpen = false;
    scene.nearOpen = false;
    BOOST_TEST(scene.write("1").ok());
    BOOST_TEST((scene.opened == std::vector<std::string>{"relay-a", "relay-b"}));
}

// The store itself is away. A write that was sent may have taken effect, and whoever sent it must not take it for not run: a budget drawn
// twice would be the end of it.
BOOST_AUTO_TEST_CASE(withoutAnyWayTheOutcomeIsUnknown)
{
    Scene scene;
    scene.directOpen = false;
    scene.nearOpen = false;
    scene.farOpen = false;
    const absl::StatusOr<RowTransactionResult> verdict = scene.write("1");
    BOOST_REQUIRE(!verdict.ok());
    BOOST_TEST((toFailure(verdict.status()).executed == Executed::Unknown));
    const int before = scene.detourCalls;
    BOOST_TEST(!scene.write("2").ok());
    BOOST_TEST(scene.detourCalls == before);
}

BOOST_AUTO_TEST_SUITE_END()
