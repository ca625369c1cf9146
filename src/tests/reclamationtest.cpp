#include "fakefleet.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(ReclamationTest)

namespace {

void reclaim(FakeFleet &fleet, int steps = 12)
{
    for (int step = 0; step < steps; ++step) {
        fleet.reclaimStep(1, Delivery::Answered);
    }
}

/// A fleet in which router 0 holds tokens and has one run that used 120 of its bound of 300.
FakeFleet withOneRun(bool finished)
{
    FakeFleet fleet({.prepaid = {50'000, 800}});
    fleet.submitRequest(0, 0, 300, 120, 0);
    fleet.flush(0, Delivery::Answered);
    if (finished) {
        fleet.finishRun(0, true);
    }
    return fleet;
}

}

// Guards against returning tokens that a dead router's request has used. The run ends, the router dies before it settles, and a peer asks
// the sidecars: the only record of the charge is at the sidecar.
BOOST_AUTO_TEST_CASE(chargesRunsOfTheDeadRouterAndReturnsTheRest)
{
    FakeFleet fleet = withOneRun(true);
    fleet.kill(0);
    fleet.flush(0, Delivery::Answered);
    reclaim(fleet);
    BOOST_TEST(fleet.consumed(0) == 120);
    BOOST_TEST(fleet.closedIncarnations() == 1);
    BOOST_TEST(fleet.invariantViolation() == "");
}

// Guards against billing a run twice. The router settled the run and died before its sidecar was told.
BOOST_AUTO_TEST_CASE(billedRunsAreNotBilledAgain)
{
    FakeFleet fleet = withOneRun(true);
    fleet.flush(0, Delivery::AnswerLost);
    fleet.kill(0);
    reclaim(fleet);
    BOOST_TEST(fleet.consumed(0) == 120);
    BOOST_TEST(fleet.closedIncarnations() == 1);
    BOOST_TEST(fleet.invariantViolation() == "");
}

BOOST_AUTO_TEST_CASE(waitsForRunsInProgress)
{
    FakeFleet fleet = withOneRun(false);
    fleet.kill(0);
    reclaim(fleet);
    BOOST_TEST(fleet.closedIncarnations() == 0);
    fleet.finishRun(0, true);
    reclaim(fleet);
    BOOST_TEST(fleet.closedIncarnations() == 1);
    BOOST_TEST(fleet.consumed(0) == 120);
}

// A sidecar that cannot be reached may have run anything that the grant allowed. Nothing is returned until it answers.
BOOST_AUTO_TEST_CASE(anUnreachableSidecarKeepsTheGrantHeld)
{
    FakeFleet fleet = withOneRun(true);
    const Tokens free = fleet.free(0);
    fleet.kill(0);
    fleet.setSidecarCut(1, true);
    reclaim(fleet);
    BOOST_TEST(fleet.free(0) == free);
    BOOST_TEST(fleet.closedIncarnations() == 0);
    fleet.setSidecarCut(1, false);
    reclaim(fleet);
    BOOST_TEST(fleet.closedIncarnations() == 1);
    BOOST_TEST(fleet.free(0) > free);
}

// The router and the sidecar are lost before the charge reaches the table. What was run is unknown, so the grant stays counted as spent.
BOOST_AUTO_TEST_CASE(grantStaysHeldIfRouterAndSidecarAreLost)
{
    FakeFleet fleet = withOneRun(true);
    const Tokens free = fleet.free(0);
    fleet.kill(0);
    fleet.replaceSidecar(0);
    reclaim(fleet, 30);
    BOOST_TEST(fleet.free(0) == free);
    BOOST_TEST(fleet.invariantViolation() == "");
}

// Guards against spending by a router that was paused, declared dead, and resumes with a grant that it believes to hold. Its next request
// must not run.
BOOST_AUTO_TEST_CASE(aResumedRouterCannotSpend)
{
    FakeFleet fleet = withOneRun(true);
    fleet.pause(0);
    reclaim(fleet);
    BOOST_TEST(fleet.closedIncarnations() == 1);
    fleet.resume(0);
    for (int request = 0; request < 20; ++request) {
        fleet.submitRequest(0, 0, 50, 50, 0);
        fleet.finishRun(0, true);
        fleet.flush(0, Delivery::Answered);
    }
    BOOST_TEST(fleet.invariantViolation() == "");
}

BOOST_AUTO_TEST_CASE(lostAnswersToTheReclaimerAreResolved)
{
    for (const Delivery delivery : {Delivery::RequestLost, Delivery::AnswerLost, Delivery::Delayed}) {
        FakeFleet fleet = withOneRun(true);
        fleet.kill(0);
        for (int step = 0; step < 12; ++step) {
            fleet.reclaimStep(1, step % 2 == 0 ? delivery : Delivery::Answered);
            fleet.deliverDelayed();
            BOOST_TEST(fleet.invariantViolation() == "");
        }
        reclaim(fleet, 24);
        BOOST_TEST(fleet.closedIncarnations() == 1);
        BOOST_TEST(fleet.consumed(0) == 120);
    }
}

// Guards against losing the ledger entry of a plain service's call. It costs no tokens, so its router may hold no grant of the team's
// budget.
BOOST_AUTO_TEST_CASE(zeroTokenCallsAreRecordedInTheLedger)
{
    Reclamation reclamation({.incarnation = "router~1", .reclaimer = "router~2", .targets = {"a"}},
                            {.key = "node/router~1", .version = 3, .fields = {{"state", "live"}}});
    reclamation.onSidecarAnswer({.target = "a"});
    reclamation.probeEnded();
    reclamation.onDeclared({.applied = true, .versions = {4}});
    SidecarAnswer answer{.target = "a", .epoch = reclamation.epoch()};
    answer.verdict.runs.push_back(
        {.requestId = "call", .budget = "team", .running = false, .end = RunEnd::Complete, .usage = TokenUsage{}});
    reclamation.onSidecarAnswer(answer);
    BOOST_REQUIRE((reclamation.phase() == Reclamation::Phase::Closing));
    const ClosingStep step = reclamation.nextClosingStep();
    BOOST_TEST(step.object.find("\"call\"") != std::string::npos);
    reclamation.onClosed(step, {.applied = true, .versions = {5}});
    BOOST_TEST((reclamation.phase() == Reclamation::Phase::Closed));
}

BOOST_AUTO_TEST_CASE(noRouterIsDeclaredDeadWithoutASidecarAnswer)
{
    Reclamation reclamation({.incarnation = "router~1", .reclaimer = "router~2", .targets = {"target"}},
                            {.key = "node/router~1", .version = 3, .fields = {{"state", "live"}}});
    reclamation.probeEnded();
    BOOST_TEST((reclamation.phase() == Reclamation::Phase::Abandoned));
}

BOOST_AUTO_TEST_CASE(aSidecarThatHeardTheRouterStopsTheDeclaration)
{
    Reclamation reclamation({.incarnation = "router~1", .reclaimer = "router~2", .targets = {"a", "b"}},
                            {.key = "node/router~1", .version = 3, .fields = {{"state", "live"}}});
    reclamation.onSidecarAnswer({.target = "a", .verdict = {.alive = false}});
    reclamation.onSidecarAnswer({.target = "b", .verdict = {.alive = true}});
    reclamation.probeEnded();
    BOOST_TEST((reclamation.phase() == Reclamation::Phase::Abandoned));
}

BOOST_AUTO_TEST_SUITE_END()
