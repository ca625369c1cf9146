#include "fakefleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(FleetPropertyTest)

namespace {

/// One step of a random history. The numbers are taken modulo the number of routers, budgets or targets.
struct Step {
    int kind = 0;
    std::size_t first = 0;
    std::size_t second = 0;
    Tokens amount = 0;
    Tokens actualTokens = 0;
};

/// Prints a step of a counterexample.
std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << "{" << step.kind << ", " << step.first << ", " << step.second << ", " << step.amount << ", " << step.actualTokens
                  << "}";
}

constexpr int s_stepKinds = 15;

void applyStep(FakeFleet &fleet, const Step &step)
{
    const auto delivery = static_cast<Delivery>(step.second % 4);
    switch (step.kind) {
    case 0:
    case 1:
    case 2:
        fleet.submitRequest(step.first, step.second, step.amount, step.actualTokens, step.first + step.second);
        break;
    case 3:
        fleet.finishRun(step.first, step.second % 4 != 0);
        break;
    case 4:
        fleet.flush(step.first, Delivery::Answered);
        break;
    case 5:
        fleet.flush(step.first, delivery);
        break;
    case 6:
        fleet.deliverDelayed();
        break;
    case 7:
        fleet.topUp(step.second, step.actualTokens - 200);
        break;
    case 8:
        fleet.recall(step.first, step.second);
        break;
    case 9:
        step.second % 3 == 0 ? fleet.kill(step.first) : fleet.pause(step.first);
        break;
    case 10:
        fleet.resume(step.first);
        break;
    case 11:
        step.amount % 4 == 0 ? fleet.replaceSidecar(step.second) : fleet.setSidecarCut(step.second, step.first % 2 == 0);
        break;
    case 13:
        fleet.submitSponsoredRequest(step.first, step.first + 1, step.second, step.amount, step.actualTokens, step.second);
        break;
    case 12:
        fleet.reclaimStep(step.first, step.second % 3 == 0 ? delivery : Delivery::Answered);
        break;
    default:
        fleet.advanceTime(std::chrono::milliseconds(step.amount));
        break;
    }
}

rc::Gen<Step> arbitraryStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::kind, rc::gen::inRange(0, s_stepKinds)),
                                rc::gen::set(&Step::first, rc::gen::inRange<std::size_t>(0, 12)),
                                rc::gen::set(&Step::second, rc::gen::inRange<std::size_t>(0, 12)),
                                rc::gen::set(&Step::amount, rc::gen::inRange<Tokens>(1, 600)),
                                rc::gen::set(&Step::actualTokens, rc::gen::inRange<Tokens>(0, 600)));
}

}

// Guards against a budget that is spent beyond what was paid, and against a request that is billed twice or not at all. Routers die, pause
// and resume, sidecars are cut off or replaced, the table loses and delays answers, operators add and remove tokens, and reclaimers compete
// and stop half way, in any order. Such a fault needs an interleaving in which two parties both consider the same token theirs.
BOOST_AUTO_TEST_CASE(randomHistoriesNeverOverspendOrBillTwice)
{
    const bool holds = rc::check([] {
        const auto steps = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<Step>>(120, arbitraryStep()));
        FakeFleet fleet({});
        for (const Step &step : steps) {
            applyStep(fleet, step);
            RC_ASSERT(fleet.invariantViolation() == "");
        }
        RC_CLASSIFY(fleet.runs() >= 10, "ten runs or more");
        fleet.runToCompletion();
        RC_CLASSIFY(fleet.closedIncarnations() > 0, "a router was recovered");
        RC_ASSERT(fleet.invariantViolation() == "");
        RC_ASSERT(fleet.billingViolation() == "");
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
