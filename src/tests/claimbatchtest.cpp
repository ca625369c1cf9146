#include "request/claimbatch.h"
#include "store/memorytable.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(ClaimBatchTest)

namespace {

Claim claim(const char *key, const char *request)
{
    return {.key = claimKey("team", key), .requestId = request, .router = "router~1"};
}

}

// Guards against a request that runs twice. The first attempt is claimed by one router, and the caller's retry reaches another router at
// the same time as other callers' requests. The retry must find the first claim, and must not delay the other requests.
BOOST_AUTO_TEST_CASE(oneTakenClaimDoesNotFailTheOthers)
{
    MemoryTable table;
    ClaimBatch first;
    first.add(claim("a", "r1"), std::nullopt, false);
    first.applyVerdict(*table.transact(first.transaction()));
    BOOST_TEST(first.result(0)->succeeded);
    ClaimBatch second;
    second.add(claim("b", "r2"), std::nullopt, false);
    second.add(claim("a", "r3"), std::nullopt, false);
    second.applyVerdict(*table.transact(second.transaction()));
    BOOST_TEST(!second.done());
    second.applyVerdict(*table.transact(second.transaction()));
    BOOST_TEST(second.done());
    BOOST_TEST(second.result(0)->succeeded);
    BOOST_TEST(!second.result(1)->succeeded);
    BOOST_TEST(second.result(1)->existingClaim.requestId == "r1");
}

// Guards against a caller that is told that its request is already running, when only the answer to its own claim was lost.
BOOST_AUTO_TEST_CASE(repeatedWriteIsRecognised)
{
    MemoryTable table;
    ClaimBatch batch;
    batch.add(claim("a", "r1"), std::nullopt, false);
    (void)table.transact(batch.transaction());
    batch.applyVerdict(*table.transact(batch.transaction()));
    BOOST_TEST(batch.result(0)->succeeded);
    ClaimBatch removal;
    removal.add(claim("a", "r1"), batch.result(0)->version, true);
    (void)table.transact(removal.transaction());
    removal.applyVerdict(*table.transact(removal.transaction()));
    BOOST_TEST(removal.result(0)->succeeded);
    BOOST_TEST((*table.read(claimKey("team", "a"))).version == 0);
}

BOOST_AUTO_TEST_CASE(aFinishedClaimKeepsItsResult)
{
    MemoryTable table;
    ClaimBatch batch;
    batch.add(claim("a", "r1"), std::nullopt, false);
    batch.applyVerdict(*table.transact(batch.transaction()));
    Claim done = claim("a", "r1");
    done.state = Claim::State::Done;
    done.outcome = "answered";
    done.status = 201;
    ClaimBatch finish;
    finish.add(done, batch.result(0)->version, false);
    finish.applyVerdict(*table.transact(finish.transaction()));
    BOOST_TEST(finish.result(0)->succeeded);
    const Claim read = claimFromRow(*table.read(done.key));
    BOOST_TEST((read.state == Claim::State::Done));
    BOOST_TEST(read.status == 201);
}

BOOST_AUTO_TEST_CASE(keysCannotReachAnotherTeam)
{
    BOOST_TEST(claimKey("a", "b/c") != claimKey("a/b", "c"));
    BOOST_TEST(claimKey("a", "x").starts_with("claim/a/"));
}

BOOST_AUTO_TEST_SUITE_END()
