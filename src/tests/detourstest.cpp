#include "membership/relayselector.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace bamboohold;

namespace {

constexpr Instant s_start{std::chrono::seconds(10)};

RelaySelector relaySelector(const std::string &self = "10.0.0.1:7340")
{
    return RelaySelector({.self = self, .failureDomain = "near"});
}

}

BOOST_AUTO_TEST_SUITE(DetoursTest)

BOOST_AUTO_TEST_CASE(relaysOfTheOwnFailureDomainComeFirst)
{
    RelaySelector known = relaySelector();
    BOOST_TEST(!known.choose(s_start).has_value());
    known.listed("a", "10.0.2.1:7340", "far");
    known.listed("b", "10.0.1.1:7340", "near");
    known.listed("plain", "", "near");
    BOOST_TEST(known.choose(s_start).value() == "10.0.1.1:7340");
    known.unlisted("b");
    BOOST_TEST(known.choose(s_start).value() == "10.0.2.1:7340");
    known.unlisted("a");
    BOOST_TEST(known.empty());
}

// A router asks the same dead relay again and again while the store is one hop away. Relays that failed rest, each time for longer, and the
// next one is tried; one that works again starts over.
BOOST_AUTO_TEST_CASE(relaysThatFailedRest)
{
    RelaySelector known = relaySelector();
    known.listed("a", "10.0.1.1:7340", "near");
    known.listed("b", "10.0.1.2:7340", "near");
    const std::string first = known.choose(s_start).value();
    known.failed(first, s_start);
    const std::string second = known.choose(s_start).value();
    BOOST_TEST(second != first);
    known.failed(second, s_start);
    BOOST_TEST(!known.choose(s_start).has_value());
    const Instant rested = s_start + std::chrono::milliseconds(1001);
    BOOST_REQUIRE(known.choose(rested).has_value());
    known.failed(first, rested);
    known.failed(second, rested);
    BOOST_TEST(!known.choose(rested + std::chrono::milliseconds(1001)).has_value());
    BOOST_TEST(known.choose(rested + std::chrono::milliseconds(2001)).has_value());
    known.worked(second);
    BOOST_TEST(known.choose(rested + std::chrono::milliseconds(2001)).value() == second);
}

// All routers of a failure domain are cut off at once. They do not all take the same relay.
BOOST_AUTO_TEST_CASE(routersSpreadOverRelays)
{
    std::set<std::string> chosen;
    for (int router = 1; router <= 20; ++router) {
        RelaySelector known = relaySelector("10.0.0." + std::to_string(router) + ":7340");
        for (int relay = 1; relay <= 5; ++relay) {
            const std::string number = std::to_string(relay);
            known.listed(number, "10.0.1." + number + ":7340", "near");
        }
        chosen.insert(known.choose(s_start).value());
    }
    BOOST_TEST(chosen.size() == 5);
}

BOOST_AUTO_TEST_SUITE_END()
