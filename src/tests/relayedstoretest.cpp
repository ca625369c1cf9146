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
struct SwitchableStore {
    asio::awaitable<absl::StatusOr<RowVerdict>> transact(const RowTransaction &transaction)
    {
        ++*calls;
        if (!*open) {
            co_return failed(FailureKind::TableUnreachable, "cut off", Executed::Unknown);
        }
        co_return rows->transact(transaction, s_storeTime);
    }

    asio::awaitable<absl::StatusOr<RowsRead>> read(const std::string &table, const std::string &part)
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

struct RelayedStoreFixture {
    RelayedStoreFixture()
        : direct{.rows = &rows, .open = &directOpen, .calls = &directCalls}
        , link(loop.get_executor(), {.self = "127.0.0.1:1"})
        , relaySelector({.self = "127.0.0.1:1", .failureDomain = "near"})
        , store(direct, link)
    {
        relaySelector.addTargetRelay("a", "relay-a", "near");
        relaySelector.addTargetRelay("b", "relay-b", "far");
        store.setRelays(relaySelector, [this](const std::string &relay) {
            openedRelays.push_back(relay);
            bool *open = relay == "relay-a" ? &nearOpen : &farOpen;
            return std::make_unique<SwitchableStore>(SwitchableStore{.rows = &rows, .open = open, .calls = &relayCalls});
        });
    }

    /// The outcome of one write.
    absl::StatusOr<RowVerdict> write(const std::string &value)
    {
        const RowTransaction transaction{.changes = {{.address = {.table = "t", .part = "p", .key = "k"}, .value = value}}};
        std::optional<absl::StatusOr<RowVerdict>> verdict;
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

    asio::awaitable<void> writeInto(const RowTransaction &transaction, std::optional<absl::StatusOr<RowVerdict>> &verdict)
    {
        verdict = co_await store.transact(transaction);
    }

    asio::io_context loop;
    MemoryRows rows;
    bool directOpen = true;
    bool nearOpen = true;
    bool farOpen = true;
    int directCalls = 0;
    int relayCalls = 0;
    std::vector<std::string> openedRelays;
    SwitchableStore direct;
    PeerLink link;
    RelaySelector relaySelector;
    RelayedStore<SwitchableStore> store;
};

}

BOOST_AUTO_TEST_SUITE(RelayedStoreTest)

// A router's way to the store is cut and callers are refused for want of tokens that the store has. The write that found out goes through a
// relay beside a target in the same call, the next ones at once; when the way is open again the router finds out by itself.
BOOST_AUTO_TEST_CASE(usesARelayWhileTheDirectPathIsDown)
{
    RelayedStoreFixture fixture;
    BOOST_TEST(fixture.write("1").ok());
    BOOST_TEST(fixture.openedRelays.empty());
    fixture.directOpen = false;
    BOOST_TEST(fixture.write("2").ok());
    BOOST_TEST((fixture.openedRelays == std::vector<std::string>{"relay-a"}));
    const int directCallsBefore = fixture.directCalls;
    BOOST_TEST(fixture.write("3").ok());
    BOOST_TEST(fixture.directCalls == directCallsBefore);
    BOOST_TEST(!fixture.store.directReachable());
    fixture.directOpen = true;
    fixture.runUntil([&fixture] {
        return fixture.store.directReachable();
    });
    const int relayCallsBefore = fixture.relayCalls;
    BOOST_TEST(fixture.write("4").ok());
    BOOST_TEST(fixture.relayCalls == relayCallsBefore);
}

// The relay in use goes away with its host in the middle of the cut. The call goes through another one.
BOOST_AUTO_TEST_CASE(failsOverToAnotherRelay)
{
    RelayedStoreFixture fixture;
    fixture.directOpen = false;
    fixture.nearOpen = false;
    BOOST_TEST(fixture.write("1").ok());
    BOOST_TEST((fixture.openedRelays == std::vector<std::string>{"relay-a", "relay-b"}));
}

// The store itself is away. A write that was sent may have taken effect, and whoever sent it must not take it for not run: a budget drawn
// twice would be the end of it.
BOOST_AUTO_TEST_CASE(outcomeIsUnknownIfNothingReachesTheStore)
{
    RelayedStoreFixture fixture;
    fixture.directOpen = false;
    fixture.nearOpen = false;
    fixture.farOpen = false;
    const absl::StatusOr<RowVerdict> verdict = fixture.write("1");
    BOOST_REQUIRE(!verdict.ok());
    BOOST_TEST((toFailure(verdict.status()).executed == Executed::Unknown));
    const int directCallsBefore = fixture.relayCalls;
    BOOST_TEST(!fixture.write("2").ok());
    BOOST_TEST(fixture.relayCalls == directCallsBefore);
}

BOOST_AUTO_TEST_SUITE_END()
