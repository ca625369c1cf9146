#include "tests/quarantinefleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <memory>
#include <vector>

using namespace bamboohold;
using namespace bamboohold::quarantinefleet;

namespace {

/// Returns the row of the request, or nullopt if the store has none.
std::optional<QuarantineRow> rowOf(const SharedRows &store, const std::string &body)
{
    const RowsSnapshot read = store.rows.read("quarantine", "", store.now);
    const auto found = std::ranges::find(read.rows, request(body).text(), [](const StoredRow &row) {
        return row.address.key;
    });
    return found == read.rows.end() ? std::nullopt : std::optional(quarantineRowFrom(found->value).value());
}

bool holds(const Router &router, const std::string &body)
{
    return router.guard.timeToNextTrial(pair(body)).has_value();
}

/// Moves the version counter past all versions that routers have read.
void advanceVersions(SharedRows &store)
{
    for (int write = 0; write < 20; ++write) {
        store.put({.table = "other", .part = "", .key = "row"}, "value");
    }
}

/// Lets the router and the store agree.
void settle(Router &router)
{
    router.synchronise();
    router.synchronise();
}

/// A trial of the request whose target crashes; only this router hears of it.
void failTrial(Router &router, const std::string &body)
{
    const auto entry = router.guard.quarantine().entries().find(request(body));
    if (entry != router.guard.quarantine().entries().end()) {
        const unsigned level = entry->second.quarantineLevel + 1;
        router.guard.applyChange({.fingerprint = request(body), .remaining = std::chrono::minutes(10) * level, .quarantineLevel = level},
                                 "the test");
    }
}

template<RowStore Store>
void beginTrial(BasicRouter<Store> &router, const std::string &body)
{
    router.guard.quarantine().beginTrial(request(body), steadyNow());
    router.guard.unsavedTrials().insert(request(body));
}

/// Returns true if no trial of the request has failed here. The next one is then due soon, while beginTrial() would move a later one ahead.
bool mayTry(Router &router, const std::string &body)
{
    const auto &entries = router.guard.quarantine().entries();
    const auto entry = entries.find(request(body));
    return entry != entries.end() && entry->second.quarantineLevel == 1;
}

/// A store that returns from its copy after a read, before it executes the transaction built from that read.
struct ReturningRows : SharedRows {
    boost::asio::awaitable<absl::StatusOr<RowTransactionResult>> transact(const RowTransaction &transaction)
    {
        if (std::exchange(returnBeforeWrite, false)) {
            rows.returnToCopy();
        }
        co_return rows.transact(transaction, now);
    }

    bool returnBeforeWrite = false;
};

}

BOOST_AUTO_TEST_SUITE(QuarantineStoreReturnTest)

// Guards against reads that are refused until the counter of the returned store has caught up, so that lost rows stay lost.
BOOST_AUTO_TEST_CASE(lostRowsAreWrittenAgainAtOnce)
{
    SharedRows store;
    Router router(store);
    router.crashThreeTargets(request("poison"));
    settle(router);
    store.rows.returnToCopy();
    settle(router);
    BOOST_TEST(holds(router, "poison"));
    BOOST_TEST(rowOf(store, "poison").has_value());
}

// Guards against a release of requests that crash targets because the copy is older than their rows.
BOOST_AUTO_TEST_CASE(aRowThatTheCopyLacksReleasesNothing)
{
    SharedRows store;
    Router router(store);
    router.crashThreeTargets(request("poison"));
    settle(router);
    store.rows.returnToCopy();
    advanceVersions(store);
    settle(router);
    BOOST_TEST(holds(router, "poison"));
    BOOST_TEST(rowOf(store, "poison").has_value());
}

// Guards against a late read of the earlier generation, whose version is larger.
BOOST_AUTO_TEST_CASE(aReadOfAnEarlierGenerationIsOutdated)
{
    SharedRows store;
    Router router(store);
    advanceVersions(store);
    const RowsSnapshot earlier = store.rows.read("quarantine", "", store.now);
    store.rows.returnToCopy();
    router.crashThreeTargets(request("poison"));
    settle(router);
    store.older = earlier;
    router.synchronise();
    BOOST_TEST(holds(router, "poison"));
}

// Guards against a request that the operator cannot release any more once the store has returned.
BOOST_AUTO_TEST_CASE(aDeletionInTheNewGenerationReleases)
{
    SharedRows store;
    Router router(store);
    router.crashThreeTargets(request("poison"));
    settle(router);
    store.rows.returnToCopy();
    advanceVersions(store);
    settle(router);
    store.put(addressOf(request("poison").text()), std::nullopt);
    router.synchronise();
    BOOST_TEST(!holds(router, "poison"));
}

// Guards against a harmless request that is quarantined again because the copy is older than its acquittal.
BOOST_AUTO_TEST_CASE(aLostAcquittalIsWrittenAgain)
{
    SharedRows store;
    Router acquitting(store);
    Router reading(store);
    acquitting.crashThreeTargets(request("unlucky"));
    settle(acquitting);
    settle(reading);
    store.rows.makeCopy();
    acquitting.guard.requestAnswered(pair("unlucky"));
    settle(acquitting);
    settle(reading);
    BOOST_TEST(!holds(reading, "unlucky"));
    for (Router *survivor : {&acquitting, &reading}) {
        store.rows.returnToCopy();
        advanceVersions(store);
        Router starting(store);
        starting.synchronise();
        BOOST_TEST(holds(starting, "unlucky"));
        settle(*survivor);
        starting.synchronise();
        BOOST_TEST(!holds(*survivor, "unlucky"));
        BOOST_TEST(!holds(starting, "unlucky"));
        BOOST_TEST(rowOf(store, "unlucky")->quarantineLevel == 0U);
    }
}

// Guards against another trial too soon, by a router that starts after the store has lost the last one.
BOOST_AUTO_TEST_CASE(lostTrialsAreWrittenAgain)
{
    SharedRows store;
    Router trying(store);
    Router reading(store);
    trying.crashThreeTargets(request("poison"));
    settle(trying);
    store.rows.makeCopy();
    beginTrial(trying, "poison");
    beginTrial(trying, "poison");
    settle(trying);
    settle(reading);
    const StoreTimeMs nextTrial = rowOf(store, "poison")->nextTrial;
    for (Router *survivor : {&trying, &reading}) {
        store.rows.returnToCopy();
        advanceVersions(store);
        settle(*survivor);
        BOOST_TEST(rowOf(store, "poison")->nextTrial > nextTrial - 1000);
    }
}

// Guards against a crash in a trial that is forgotten with the copy's older row.
BOOST_AUTO_TEST_CASE(anOlderRowDoesNotLowerTheLevel)
{
    SharedRows store;
    Router router(store);
    router.crashThreeTargets(request("poison"));
    settle(router);
    store.rows.makeCopy();
    failTrial(router, "poison");
    settle(router);
    store.rows.returnToCopy();
    advanceVersions(store);
    settle(router);
    BOOST_TEST(rowOf(store, "poison")->quarantineLevel == 2U);
    BOOST_TEST((router.guard.timeToNextTrial(pair("poison")) > std::chrono::minutes(10)));
}

// Guards against decisions taken as saved though the store has lost the rows whose versions they were conditional on.
BOOST_AUTO_TEST_CASE(aTransactionAcrossTheReturnIsNotSaved)
{
    ReturningRows store;
    BasicRouter<ReturningRows> router(store);
    router.crashThreeTargets(request("unlucky"));
    router.crashThreeTargets(request("poison"));
    router.synchronise();
    router.synchronise();
    store.rows.makeCopy();
    router.guard.requestAnswered(pair("unlucky"));
    beginTrial(router, "poison");
    beginTrial(router, "poison");
    store.returnBeforeWrite = true;
    router.synchronise();
    BOOST_TEST(!router.guard.unsavedAcquittals().empty());
    BOOST_TEST(!router.guard.unsavedTrials().empty());
    router.synchronise();
    router.synchronise();
    BOOST_TEST(router.guard.unsavedAcquittals().empty());
    BOOST_TEST(router.guard.unsavedTrials().empty());
    BOOST_TEST(rowOf(store, "poison")->nextTrial > store.now + 500'000);
    BOOST_TEST(rowOf(store, "unlucky")->quarantineLevel == 0U);
}

// Guards against quarantines, trials and acquittals that get lost in some order of copies, returns and reads on several routers.
BOOST_AUTO_TEST_CASE(whatOneRouterKnowsSurvivesAnyReturns)
{
    const bool held = rc::check("after any copies and returns all routers know what one of them knew", [] {
        constexpr std::array<const char *, 2> bodies{"first", "second"};
        SharedRows store;
        std::vector<std::unique_ptr<Router>> routers;
        for (int number = 0; number < 3; ++number) {
            routers.push_back(std::make_unique<Router>(store));
        }
        struct Request {
            bool quarantined = false;
            bool acquitted = false;
            unsigned level = 1;
            Instant nextTrial{};
        };
        std::array<Request, bodies.size()> requests;
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, std::size_t, std::size_t>>>(rc::gen::tuple(
            rc::gen::inRange(0, 12), rc::gen::inRange<std::size_t>(0, routers.size()), rc::gen::inRange<std::size_t>(0, bodies.size())));
        for (const auto &[kind, number, which] : steps) {
            Router &router = *routers[number];
            Request &request = requests[which];
            const bool isHeld = holds(router, bodies[which]);
            if (kind == 0) {
                store.rows.makeCopy();
            } else if (kind == 1) {
                store.rows.returnToCopy();
            } else if (kind == 2 && !request.quarantined) {
                request.quarantined = true;
                for (const auto &each : routers) {
                    each->crashThreeTargets(quarantinefleet::request(bodies[which]));
                }
            } else if (kind == 3 && mayTry(router, bodies[which]) && !request.acquitted) {
                beginTrial(router, bodies[which]);
            } else if (kind == 4 && isHeld && !request.acquitted) {
                failTrial(router, bodies[which]);
            } else if (kind == 5 && isHeld) {
                request.acquitted = true;
                router.guard.requestAnswered(pair(bodies[which]));
            } else if (kind == 6) {
                advanceVersions(store);
            } else {
                router.synchronise();
            }
            const auto &entries = router.guard.quarantine().entries();
            if (const auto entry = entries.find(quarantinefleet::request(bodies[which])); entry != entries.end()) {
                request.level = std::max(request.level, entry->second.quarantineLevel);
                request.nextTrial = std::max(request.nextTrial, entry->second.nextTrial);
            }
        }
        for (int round = 0; round < 4; ++round) {
            for (const auto &router : routers) {
                settle(*router);
            }
        }
        for (std::size_t which = 0; which < bodies.size(); ++which) {
            const Request &request = requests[which];
            for (const auto &router : routers) {
                RC_ASSERT(holds(*router, bodies[which]) == (request.quarantined && !request.acquitted));
                if (holds(*router, bodies[which])) {
                    const Quarantine::Entry &entry = router->guard.quarantine().entries().at(quarantinefleet::request(bodies[which]));
                    RC_ASSERT(entry.quarantineLevel == request.level);
                    RC_ASSERT(entry.nextTrial > request.nextTrial - std::chrono::seconds(1));
                }
            }
        }
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()
