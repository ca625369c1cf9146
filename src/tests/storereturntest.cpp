#include "failure/failure.h"
#include "gateway/evacuationfollower.h"
#include "gateway/targetfollower.h"
#include "membership/evacuationnotice.h"
#include "store/memoryrows.h"
#include "store/tablewatcher.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace bamboohold;

namespace {

constexpr Instant s_now{std::chrono::seconds(100)};

/// Store calls after the last step, within which a watcher must have caught up.
constexpr int s_lastCalls = 6;

RowAddress address(std::string key)
{
    return {.table = "t", .part = "", .key = std::move(key)};
}

StoredRow record(std::string key, std::string value, std::uint64_t version)
{
    return {.address = address(std::move(key)), .value = std::move(value), .version = version};
}

/// Decodes a record of this test: an address, followed by " leaving" when the target is leaving.
absl::StatusOr<TargetListing> readRecord(const StoredRow &row)
{
    return TargetListing{.incarnation = row.address.key,
                         .service = "llm",
                         .address = row.value.substr(0, row.value.find(' ')),
                         .leaving = row.value.ends_with(" leaving")};
}

/// A router's list of targets.
struct Targets {
    void returned(std::uint64_t version, std::vector<StoredRow> rows, StoreGeneration generation = 1)
    {
        follower.beginGeneration({.generation = generation, .version = version}, s_now);
        follower.applyTable(rows, s_now);
    }

    void changed(std::string name, std::string value, std::uint64_t version)
    {
        follower.applyChange(record(std::move(name), std::move(value), version), s_now);
    }

    /// The address to which a request for just this target is sent; empty when it gets none.
    std::string chosen(const std::string &name) const
    {
        const std::array<std::string, 1> shortlist{name};
        const auto placement = balancer.choose({.service = "llm", .shortlist = shortlist}, s_now);
        return placement ? placement->address : std::string();
    }

    TargetBalancer balancer{{.failureDomain = "here"}};
    RelaySelector relaySelector{{.self = "me"}};
    Metrics metrics;
    TargetFollower follower{balancer, relaySelector, metrics, {.decodeListing = readRecord, .host = "me"}};
};

/// A store that takes the next step of a test before each answer to follow(). The test ends some calls after the last step.
struct SteppedRows {
    boost::asio::awaitable<absl::StatusOr<RowsSnapshot>> read(const std::string &table, const std::string &part)
    {
        co_await count();
        if (lateRead) {
            co_return *lateRead;
        }
        co_return rows.read(table, part, 0);
    }

    boost::asio::awaitable<absl::StatusOr<RowsFeed>> follow(const std::string &table, std::uint64_t version, Duration)
    {
        co_await count();
        if (steps.empty()) {
            co_return rows.changesSince(table, version);
        }
        const std::function<bool()> step = std::move(steps.front());
        steps.pop_front();
        const bool answered = step();
        if (!answered) {
            co_return failed(FailureKind::TableUnreachable, "lost");
        }
        co_return rows.changesSince(table, version);
    }

    boost::asio::awaitable<absl::StatusOr<RowTransactionResult>> transact(const RowTransaction &transaction)
    {
        co_return rows.transact(transaction, 0);
    }

    boost::asio::awaitable<void> count()
    {
        if (steps.empty() && --callsLeft <= 0) {
            loop.stop();
        }
        // A watcher that refuses what it reads takes no further steps.
        if (++calls > s_mostCalls) {
            loop.stop();
        }
        co_await pause(Duration::zero());
    }

    void put(const std::string &key, std::optional<std::string> value)
    {
        (void)rows.transact({.changes = {{.address = address(key), .value = std::move(value)}}}, 0);
    }

    static constexpr int s_mostCalls = 400;

    boost::asio::io_context loop;
    MemoryRows rows;
    /// Each returns whether the answer to follow() arrives.
    std::deque<std::function<bool()>> steps;
    std::optional<RowsSnapshot> lateRead;
    int callsLeft = s_lastCalls;
    int calls = 0;
};

using Contents = std::map<std::string, std::string>;

/// A router that follows the table of targets, and the state of the table that its watcher has reported.
struct Router {
    explicit Router(SteppedRows &steppedRows)
        : store(steppedRows)
    {
    }

    void run()
    {
        TableWatcher<SteppedRows> watcher(store, watcherOptions());
        boost::asio::co_spawn(store.loop, watcher.run(), boost::asio::detached);
        store.loop.run();
    }

    TableWatcher<SteppedRows>::Options watcherOptions()
    {
        return {.table = "t",
                .onSnapshot =
                    [this](const std::vector<StoredRow> &rows) {
                        reported.clear();
                        for (const StoredRow &row : rows) {
                            reported[row.address.key] = row.value;
                        }
                        targets.follower.applyTable(rows, s_now);
                        std::ranges::for_each(rows, onRow);
                    },
                .onChange =
                    [this](const StoredRow &row) {
                        row.version == 0 ? (void)reported.erase(row.address.key) : (void)(reported[row.address.key] = row.value);
                        targets.follower.applyChange(row, s_now);
                        onRow(row);
                    },
                .onReachable = [](bool) {},
                .onGeneration =
                    [this](StorePosition first) {
                        targets.follower.beginGeneration(first, s_now);
                    },
                .retryPause = Duration::zero()};
    }

    Contents stored() const
    {
        Contents contents;
        for (const StoredRow &row : store.rows.read("t", "", 0).rows) {
            contents[row.address.key] = row.value;
        }
        return contents;
    }

    SteppedRows &store;
    Targets targets;
    Contents reported;
    /// Called with each row that was reported, after it was applied.
    std::function<void(const StoredRow &)> onRow = [](const StoredRow &) {};
};

}

BOOST_AUTO_TEST_SUITE(StoreReturnTest)

// Guards against a router that refuses every state of a returned store, because its counter went back.
BOOST_AUTO_TEST_CASE(copyWithSmallerVersionIsRead)
{
    SteppedRows store;
    Router router(store);
    store.put("a", "1");
    store.rows.makeCopy();
    store.put("a", "2");
    store.steps.emplace_back([&store] {
        store.rows.returnToCopy();
        return true;
    });
    router.run();
    BOOST_TEST((router.reported == router.stored()));
}

// Guards against changes that are skipped because their versions were given out before.
BOOST_AUTO_TEST_CASE(feedFromReusedVersionIsNotApplied)
{
    SteppedRows store;
    Router router(store);
    store.rows.makeCopy();
    store.put("lost", "1");
    store.steps.emplace_back([&store] {
        store.rows.returnToCopy();
        store.put("a", "1");
        store.put("b", "1");
        return true;
    });
    router.run();
    BOOST_TEST((router.reported == router.stored()));
}

// Guards against a late answer from before the return that replaces the state after it.
BOOST_AUTO_TEST_CASE(snapshotOfEarlierGenerationIsRefused)
{
    SteppedRows store;
    Router router(store);
    store.rows.makeCopy();
    store.put("lost", "1");
    const RowsSnapshot before = store.rows.read("t", "", 0);
    store.rows.returnToCopy();
    store.steps.emplace_back([&store, &before] {
        store.lateRead = before;
        return false;
    });
    router.run();
    BOOST_TEST((router.reported == router.stored()));
}

// Guards against requests to a leaving target that the copy shows as ready, also when its entry was removed meanwhile.
BOOST_AUTO_TEST_CASE(leavingTargetStaysLeaving)
{
    for (const bool removed : {false, true}) {
        Targets targets;
        targets.changed("a", "x leaving", 5);
        if (removed) {
            targets.changed("a", "", 0);
        }
        targets.returned(4, {record("a", "x", 3)});
        BOOST_TEST(targets.chosen("a").empty());
        targets.changed("a", "x", 5);
        BOOST_TEST(targets.chosen("a").empty());
    }
}

// Guards against requests to a removed target that the copy lists again, and against holding it back once it is written again.
BOOST_AUTO_TEST_CASE(removedTargetWaitsForItsEntry)
{
    for (const bool feed : {false, true}) {
        Targets targets;
        targets.changed("a", "x", 3);
        targets.changed("a", "", 0);
        targets.follower.applyTable({}, s_now);
        targets.returned(4, {record("a", "x", 3)});
        BOOST_TEST(targets.chosen("a").empty());
        targets.follower.applyTable(std::vector{record("a", "x", 3)}, s_now);
        BOOST_TEST(targets.chosen("a").empty());
        feed ? targets.changed("a", "y", 5) : targets.follower.applyTable(std::vector{record("a", "y", 5)}, s_now);
        BOOST_TEST(targets.chosen("a") == "y");
    }
}

// Guards against losing all targets that registered after the copy, and against keeping one that does not write its entry again.
BOOST_AUTO_TEST_CASE(targetMissingFromCopyStaysForGracePeriod)
{
    Targets targets;
    targets.changed("a", "x", 5);
    targets.changed("b", "y", 6);
    targets.returned(4, {});
    targets.balancer.removeExpired(s_now + std::chrono::seconds(2));
    BOOST_TEST(targets.chosen("a") == "x");
    targets.changed("a", "x", 5);
    targets.balancer.removeExpired(s_now + std::chrono::seconds(3));
    BOOST_TEST(targets.chosen("a") == "x");
    BOOST_TEST(targets.chosen("b").empty());
}

// Guards against an outdated address from the copy, and against one that stays after the entry was written again.
BOOST_AUTO_TEST_CASE(newestRecordOfEitherGenerationCounts)
{
    Targets targets;
    targets.changed("ahead", "new", 9);
    targets.changed("behind", "old", 2);
    targets.returned(4, {record("ahead", "old", 3), record("behind", "new", 4)});
    BOOST_TEST(targets.chosen("ahead") == "new");
    BOOST_TEST(targets.chosen("behind") == "new");
    targets.changed("ahead", "newest", 5);
    BOOST_TEST(targets.chosen("ahead") == "newest");
    Targets fresh;
    fresh.returned(4, {record("ahead", "old", 3)});
    BOOST_TEST(fresh.chosen("ahead") == "old");
}

// Guards against requests to a domain whose evacuation the copy does not have, and against one that stays evacuated for ever.
BOOST_AUTO_TEST_CASE(evacuationOutlivesCopyForSettlingTime)
{
    Evacuations evacuations;
    evacuations.applyStoreChange("d", true);
    evacuations.commitStoreVersion(9, s_now);
    evacuations.beginGeneration(1);
    evacuations.replaceStoreDomains({});
    evacuations.commitStoreVersion(4, s_now);
    BOOST_TEST(evacuations.domains().contains("d"));
    BOOST_TEST(!evacuations.settle(s_now + std::chrono::milliseconds(4999)));
    BOOST_TEST(evacuations.domains().contains("d"));
    BOOST_TEST(evacuations.settle(s_now + std::chrono::seconds(5)));
    BOOST_TEST(evacuations.domains().empty());
}

// Guards against an evacuation that ends with the settling time though its order was written again, or outlives its removal.
BOOST_AUTO_TEST_CASE(evacuationFollowsOrdersOfNewGeneration)
{
    Evacuations evacuations;
    evacuations.replaceStoreDomains({"kept", "revoked"});
    evacuations.commitStoreVersion(9, s_now);
    evacuations.beginGeneration(1);
    evacuations.replaceStoreDomains({});
    evacuations.commitStoreVersion(4, s_now);
    evacuations.applyStoreChange("kept", true);
    evacuations.applyStoreChange("revoked", false);
    BOOST_TEST(evacuations.commitStoreVersion(5, s_now));
    BOOST_TEST((evacuations.domains() == std::set<std::string>{"kept"}));
    evacuations.settle(s_now + std::chrono::seconds(6));
    BOOST_TEST((evacuations.domains() == std::set<std::string>{"kept"}));
}

// Guards against a notice from before the return that overrides the state after it because its version is larger.
BOOST_AUTO_TEST_CASE(peersAreOrderedByGeneration)
{
    Evacuations evacuations;
    const Evacuations::State after{.generation = 1, .version = 4, .domains = {"d"}};
    evacuations.applyPeerState({.version = 9}, s_now);
    evacuations.applyPeerState(fromWire(toWire(after)), s_now);
    BOOST_TEST((evacuations.domains() == std::set<std::string>{"d"}));
    evacuations.applyPeerState({.version = 10}, s_now);
    BOOST_TEST((evacuations.domains() == std::set<std::string>{"d"}));
}

// Guards against requests to leaving and removed targets, and against skipped changes, whenever copies are made and come back.
BOOST_AUTO_TEST_CASE(anyCourseOfReturns)
{
    const bool held = rc::check("what is known outlives the copy, and what is written again arrives", [] {
        SteppedRows store;
        Router router(store);
        // What was written last, as if nothing were ever lost, and the targets that have announced their shutdown.
        Contents written;
        std::set<std::string> announced;
        std::set<std::string> unwanted;
        std::set<std::string> wronglyChosen;
        int serial = 0;
        const auto write = [&](const std::string &name, std::optional<std::string> value) {
            if (value && !announced.contains(name)) {
                unwanted.erase(name);
            }
            value ? (void)(written[name] = *value) : (void)written.erase(name);
            store.put(name, std::move(value));
        };
        router.onRow = [&](const StoredRow &row) {
            const bool removed = row.version == 0 && !written.contains(row.address.key);
            if (removed || row.value.ends_with(" leaving")) {
                unwanted.insert(row.address.key);
            }
        };
        const auto apply = [&](int kind, const std::string &name) {
            switch (kind) {
            case 0:
                return store.rows.makeCopy();
            case 1:
                return store.rows.returnToCopy();
            case 2:
                return store.rows.compact();
            case 3:
                return write(name, std::nullopt);
            case 4:
                announced.insert(name);
                return write(name, absl::StrCat(++serial, " leaving"));
            default:
                return announced.contains(name) ? void() : write(name, absl::StrCat(++serial));
            }
        };
        const auto event = rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 3));
        // The events between two calls, and whether the answer to the second one arrives.
        const auto step = rc::gen::pair(rc::gen::container<std::vector<std::pair<int, int>>>(event), rc::gen::inRange(0, 4));
        for (const auto &[events, answered] : *rc::gen::container<std::vector<std::pair<std::vector<std::pair<int, int>>, int>>>(step)) {
            store.steps.emplace_back([&, events, answered] {
                std::ranges::copy_if(unwanted, std::inserter(wronglyChosen, wronglyChosen.end()), [&router](const std::string &name) {
                    return !router.targets.chosen(name).empty();
                });
                for (const auto &[kind, target] : events) {
                    apply(kind, std::to_string(target));
                }
                return answered > 0;
            });
        }
        store.steps.emplace_back([&] {
            for (const char *name : {"0", "1", "2"}) {
                const auto found = written.find(name);
                store.put(name, found == written.end() ? std::nullopt : std::optional(found->second));
            }
            return true;
        });
        router.run();
        RC_ASSERT(wronglyChosen.empty());
        RC_ASSERT(router.reported == written);
        RC_ASSERT(router.stored() == written);
        for (const char *name : {"0", "1", "2"}) {
            const bool ready = written.contains(name) && !announced.contains(name);
            RC_ASSERT(router.targets.chosen(name) == (ready ? written[name] : ""));
        }
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()
