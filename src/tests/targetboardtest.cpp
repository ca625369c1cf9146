#include "gateway/targetbalancer.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace bamboohold;

namespace {

Duration ms(std::int64_t value)
{
    return std::chrono::milliseconds(value);
}

TargetListing listing(std::string incarnation, std::string failureDomain = "here")
{
    return {.incarnation = incarnation, .service = "llm", .address = "10.0.0.1:" + incarnation, .failureDomain = std::move(failureDomain)};
}

/// A board with some targets of one service, and a clock.
struct Fixture {
    explicit Fixture(int targets)
        : balancer({.failureDomain = "here"})
    {
        std::vector<TargetListing> listings;
        for (int index = 0; index < targets; ++index) {
            listings.push_back(listing(std::to_string(index)));
        }
        balancer.replaceAll(std::move(listings), now);
    }

    std::optional<Placement> choose(std::span<const PromptPart> prompt = {}, std::span<const std::string> excluded = {}) const
    {
        return balancer.choose({.service = "llm", .prompt = prompt, .excluded = excluded}, now);
    }

    /// Sends a request to whichever target is chosen; returns which.
    std::string send(std::span<const PromptPart> prompt = {})
    {
        const auto placement = choose(prompt);
        BOOST_REQUIRE(placement.has_value());
        balancer.requestSent(placement->incarnation, prompt, placement->uncachedTokens, now);
        return placement->incarnation;
    }

    TargetBalancer balancer;
    Instant now = Instant(std::chrono::seconds(100));
};

}

BOOST_AUTO_TEST_SUITE(TargetBoardTest)

BOOST_AUTO_TEST_CASE(spreadsOverTargets)
{
    Fixture fixture(4);
    std::set<std::string> used;
    for (int count = 0; count < 4; ++count) {
        used.insert(fixture.send());
    }
    BOOST_TEST(used.size() == 4U);
}

// Guards against a target that has said that it leaves and is used again after a gap in the list.
BOOST_AUTO_TEST_CASE(whatATargetSaidOutlastsAGapInTheList)
{
    Fixture fixture(1);
    const TargetListing listing{.incarnation = fixture.choose()->incarnation, .service = "llm", .address = "10.0.0.1:80"};
    fixture.balancer.markLeaving(listing.incarnation);
    BOOST_TEST(!fixture.choose());
    fixture.balancer.removeListing(listing.incarnation, fixture.now);
    BOOST_TEST(!fixture.balancer.isKnown(listing.incarnation));
    fixture.balancer.updateListing(listing, fixture.now);
    BOOST_TEST(!fixture.choose());
    TargetListing restarted = listing;
    restarted.incarnation = "next life";
    fixture.balancer.updateListing(restarted, fixture.now);
    BOOST_TEST(fixture.choose().has_value());
}

BOOST_AUTO_TEST_CASE(prefersTargetWithCachedPrompt)
{
    Fixture fixture(4);
    const std::vector<PromptPart> prompt{{.id = 1, .tokens = 6000}, {.id = 2, .tokens = 100}};
    const std::string first = fixture.send(prompt);
    fixture.balancer.firstByteReceived(first, fixture.choose(prompt)->uncachedTokens, fixture.now);
    const std::vector<PromptPart> next{{.id = 1, .tokens = 6000}, {.id = 3, .tokens = 100}};
    BOOST_TEST(fixture.choose(next)->incarnation == first);
}

// Routers that have exchanged nothing send the first request for a shared part to the same target, or each of them would have it read anew.
BOOST_AUTO_TEST_CASE(routersPreferTheSameTargetForAPart)
{
    const Fixture one(6);
    const Fixture other(6);
    for (std::uint64_t id = 10; id < 30; ++id) {
        const std::vector<PromptPart> prompt{{.id = id, .tokens = 5000}, {.id = 1000 + id, .tokens = 100}};
        BOOST_TEST(one.choose(prompt)->incarnation == other.choose(prompt)->incarnation);
    }
}

// A prompt that everybody asks for must not queue at one target while others are idle.
BOOST_AUTO_TEST_CASE(hotPartSpreadsOverTargets)
{
    Fixture fixture(4);
    std::set<std::string> used;
    for (std::uint64_t id = 100; id < 112; ++id) {
        const std::vector<PromptPart> prompt{{.id = 1, .tokens = 3000}, {.id = id, .tokens = 3000}};
        used.insert(fixture.send(prompt));
    }
    BOOST_TEST(used.size() >= 3U);
}

// Work is sent to a target that is about to go: it is not, from the moment at which it said so, whatever an older entry says.
BOOST_AUTO_TEST_CASE(leavingTargetGetsNoRequests)
{
    Fixture fixture(1);
    TargetListing leaving = listing("0");
    leaving.leaving = true;
    fixture.balancer.updateListing(leaving, fixture.now);
    BOOST_TEST(!fixture.choose().has_value());
    fixture.balancer.updateListing(listing("0"), fixture.now);
    BOOST_TEST(!fixture.choose().has_value());
}

// The store was away, and entries lapsed although their targets live. Taking the list at its word would leave nobody to serve; a target
// that is still missing a while after the store's return is gone.
BOOST_AUTO_TEST_CASE(missingEntriesStayForTheGracePeriod)
{
    Fixture fixture(2);
    fixture.balancer.setStoreReachable(false, fixture.now);
    fixture.now += ms(4000);
    fixture.balancer.setStoreReachable(true, fixture.now);
    fixture.balancer.replaceAll({}, fixture.now);
    fixture.now += ms(1500);
    fixture.balancer.removeExpired(fixture.now);
    BOOST_TEST(fixture.choose().has_value());
    fixture.balancer.updateListing(listing("1"), fixture.now);
    fixture.now += ms(1500);
    fixture.balancer.removeExpired(fixture.now);
    BOOST_REQUIRE(fixture.choose().has_value());
    BOOST_TEST(fixture.choose()->incarnation == "1");
}

// While the store answers, a vanished entry is a target that is gone, at once.
BOOST_AUTO_TEST_CASE(removedEntryIsDroppedAtOnce)
{
    Fixture fixture(1);
    fixture.balancer.removeListing("0", fixture.now);
    BOOST_TEST(!fixture.choose().has_value());
}

// A target does not answer any more. It is left alone, tried again by a single request after a while, and left alone for longer when that
// fails.
BOOST_AUTO_TEST_CASE(failedTargetIsProbedBySingleRequests)
{
    Fixture fixture(2);
    fixture.balancer.requestSent("0", {}, 0, fixture.now);
    fixture.balancer.firstByteReceived("0", 0, fixture.now);
    fixture.balancer.attemptEnded("0", HealthSignal::ConnectionFailure, fixture.now);
    for (int count = 0; count < 5; ++count) {
        BOOST_TEST(fixture.send() == "1");
    }
    fixture.now += ms(500);
    BOOST_TEST(fixture.send() == "0");
    BOOST_TEST(fixture.send() == "1");
    fixture.balancer.firstByteReceived("0", 0, fixture.now);
    fixture.balancer.attemptEnded("0", HealthSignal::Success, fixture.now);
    BOOST_TEST(fixture.send() == "0");
}

// Every target has failed a moment ago. One that may be back serves the caller better than a refusal.
BOOST_AUTO_TEST_CASE(allInBackoffStillOffersOne)
{
    Fixture fixture(2);
    for (const char *incarnation : {"0", "1"}) {
        fixture.balancer.requestSent(incarnation, {}, 0, fixture.now);
        fixture.balancer.attemptEnded(incarnation, HealthSignal::ConnectionFailure, fixture.now);
    }
    BOOST_TEST(fixture.choose().has_value());
    const std::vector<std::string> tried{"0", "1"};
    BOOST_TEST(!fixture.choose({}, tried).has_value());
}

// A target goes silent without closing anything. Requests that wait for it speak against it, long before their time is up.
BOOST_AUTO_TEST_CASE(targetWithOverdueFirstByteIsAvoided)
{
    Fixture fixture(2);
    fixture.balancer.requestSent("0", {}, 0, fixture.now);
    fixture.now += ms(900);
    for (int count = 0; count < 20; ++count) {
        BOOST_TEST(fixture.send() == "1");
        fixture.balancer.firstByteReceived("1", 0, fixture.now);
    }
}

// Single failures are the requests' own; a row of them is the target's.
BOOST_AUTO_TEST_CASE(consecutiveErrorsStartABackoff)
{
    Fixture fixture(2);
    for (int count = 0; count < 2; ++count) {
        fixture.balancer.requestSent("0", {}, 0, fixture.now);
        fixture.balancer.attemptEnded("0", HealthSignal::ErrorResponse, fixture.now);
    }
    BOOST_TEST(fixture.choose()->incarnation == "0");
    fixture.balancer.requestSent("0", {}, 0, fixture.now);
    fixture.balancer.attemptEnded("0", HealthSignal::ErrorResponse, fixture.now);
    BOOST_TEST(fixture.choose()->incarnation == "1");
}

BOOST_AUTO_TEST_SUITE_END()
