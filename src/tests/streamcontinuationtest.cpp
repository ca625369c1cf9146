#include "gateway/streamcontinuation.h"
#include "tests/streamfleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <optional>

using namespace bamboohold;

namespace {

const std::vector<std::string> s_services{"drafting"};

KnownOrigin known(const std::string &version, const std::string &service = "drafting")
{
    return {.origin = {.service = service, .version = version}};
}

TargetBalancer::SeenVersions seen(std::vector<std::string> versions, std::optional<Duration> followedFor = std::chrono::minutes(5))
{
    return {.versions = std::move(versions), .followedFor = followedFor};
}

}

BOOST_AUTO_TEST_SUITE(StreamContinuationTest)

// Guards against a stream that goes on at a version that was guessed, and against refusing what is known.
BOOST_AUTO_TEST_CASE(onlyWhatIsKnownGoesOn)
{
    using Kind = Continuation::Kind;
    struct Case {
        std::string what;
        ContinuationFacts facts;
        Kind kind = Kind::Nowhere;
        std::string version;
    };
    const Duration needed = std::chrono::seconds(30);
    const KnownOrigin contradictory{.origin = {.service = "drafting", .version = "v1"}, .contradictory = true};
    for (Case item : {
             Case{"a keeper knows it", {.origins = {known("v1")}, .seen = seen({"v1", "v2"})}, Kind::AtOrigin, "v1"},
             Case{"keepers agree", {.origins = {known("v1"), known("v1")}, .seen = seen({"v1", "v2"})}, Kind::AtOrigin, "v1"},
             Case{"known, without the store", {.origins = {known("v1")}, .seen = seen({"v1"}, std::nullopt)}, Kind::AtOrigin, "v1"},
             Case{"known, at a version that the list lacks", {.origins = {known("v2")}, .seen = seen({"v1"})}, Kind::AtOrigin, "v2"},
             Case{"keepers disagree", {.origins = {known("v1"), known("v2")}, .seen = seen({"v1", "v2"})}, Kind::Nowhere, ""},
             Case{"a keeper was told two", {.origins = {contradictory}, .seen = seen({"v1"})}, Kind::Nowhere, ""},
             Case{"another service", {.origins = {known("v1", "filing")}, .seen = seen({"v1"})}, Kind::Nowhere, ""},
             Case{"nobody knows it, one version", {.seen = seen({"v1"})}, Kind::Anywhere, "v1"},
             Case{"nobody knows it, no version is stated", {.seen = seen({""})}, Kind::Anywhere, ""},
             Case{"nobody knows it, two versions", {.seen = seen({"v1", "v2"})}, Kind::Nowhere, ""},
             Case{"nobody knows it, one does not state it", {.seen = seen({"", "v1"})}, Kind::Nowhere, ""},
             Case{"nobody knows it, the router is young", {.seen = seen({"v1"}, needed - Duration(1))}, Kind::Nowhere, ""},
             Case{"nobody knows it, the router is old enough", {.seen = seen({"v1"}, needed)}, Kind::Anywhere, "v1"},
             Case{"nobody knows it, without the store", {.seen = seen({"v1"}, std::nullopt)}, Kind::Nowhere, ""},
             Case{"nobody answers", {.keepersSilent = true, .seen = seen({"v1"})}, Kind::Nowhere, ""},
             Case{"it began at a version that is not known, one version", {.origins = {known("")}, .seen = seen({""})}, Kind::Anywhere, ""},
             Case{"it began at one not known, beside others", {.origins = {known("")}, .seen = seen({"", "v1"})}, Kind::Nowhere, ""},
         }) {
        item.facts.services = s_services;
        item.facts.longestStream = needed;
        const Continuation decided = decideContinuation(item.facts);
        BOOST_TEST((decided.kind == item.kind), item.what);
        BOOST_TEST(decided.origin.version == item.version, item.what);
        BOOST_TEST(!decided.reason.empty());
    }
}

// Guards against a route whose answers take longer than the time for which versions are remembered.
BOOST_AUTO_TEST_CASE(thePeriodCoversTheRoutesAnswers)
{
    BOOST_TEST((longestStream(std::chrono::seconds(4)) == std::chrono::seconds(30)));
    BOOST_TEST((longestStream(std::chrono::minutes(2)) == std::chrono::minutes(4)));
}

// Guards against an order of deaths, cuts, restarts, and versions that come and go, in which a stream holds events of two versions.
BOOST_AUTO_TEST_CASE(noStreamHoldsEventsOfTwoVersions)
{
    BOOST_TEST(rc::check("streams keep their version whatever happens to routers, relays and the store", [] {
        StreamFleet fleet({.routers = 3, .lossPercent = *rc::gen::element(0, 10, 60), .seed = *rc::gen::arbitrary<std::uint32_t>()});
        const auto steps = *rc::gen::inRange(20, 120);
        for (int step = 0; step < steps; ++step) {
            fleet.advance(*rc::gen::inRange(10, 3000));
            fleet.apply(*rc::gen::elementOf(StreamFleet::allEvents()));
            RC_ASSERT(fleet.mixedStreams() == 0U);
        }
    }));
}

// Guards against streams that go on at another version because all routers have died at once around the end of the version that began them,
// and nothing but the store and the relays beside the targets that are left knows of it.
BOOST_AUTO_TEST_CASE(noStreamChangesItsVersionOverADeathOfAllRouters)
{
    constexpr int versionsWrittenWithinMs = 2500;
    std::size_t takenUp = 0;
    BOOST_TEST(rc::check("streams keep their version when all routers die", [&] {
        StreamFleet fleet({.routers = *rc::gen::element<std::size_t>(1, 3, 6),
                           .lossPercent = *rc::gen::element(0, 10, 60, 100),
                           .seed = *rc::gen::arbitrary<std::uint32_t>(),
                           .versionsWrittenWithinMs = *rc::gen::element(0, versionsWrittenWithinMs)});
        const auto steps = *rc::gen::inRange(20, 200);
        for (int step = 0; step < steps; ++step) {
            fleet.advance(*rc::gen::element(*rc::gen::inRange(1, 200), *rc::gen::inRange(10, 3000)));
            fleet.apply(*rc::gen::elementOf(StreamFleet::releaseEvents()));
            RC_ASSERT(fleet.mixedStreams() == 0U);
        }
        takenUp += fleet.takenUp();
    }));
    BOOST_TEST(takenUp > 100U);
}

// Guards against refusing wholesale: at least half of the streams that can go on must.
BOOST_AUTO_TEST_CASE(mostStreamsGoOnWhileTheirVersionServes)
{
    std::size_t takenUp = 0;
    std::size_t refused = 0;
    BOOST_TEST(rc::check("streams are taken up", [&] {
        StreamFleet fleet({.routers = 3, .lossPercent = *rc::gen::element(0, 1), .seed = *rc::gen::arbitrary<std::uint32_t>()});
        const auto steps = *rc::gen::inRange(20, 120);
        for (int step = 0; step < steps; ++step) {
            fleet.advance(*rc::gen::inRange(10, 3000));
            fleet.apply(*rc::gen::elementOf(StreamFleet::calmEvents()));
        }
        takenUp += fleet.takenUp();
        refused += fleet.refused();
    }));
    BOOST_TEST(takenUp > 100U);
    BOOST_TEST(2 * refused <= takenUp, refused << " of " << takenUp);
    BOOST_TEST_MESSAGE(refused << " of " << takenUp << " streams were refused");
}

BOOST_AUTO_TEST_SUITE_END()
