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

BOOST_AUTO_TEST_CASE(prefersRelaysOfTheOwnFailureDomain)
{
    RelaySelector selector = relaySelector();
    BOOST_TEST(!selector.choose(s_start).has_value());
    selector.addTargetRelay("a", "10.0.2.1:7340", "far");
    selector.addTargetRelay("b", "10.0.1.1:7340", "near");
    selector.addTargetRelay("plain", "", "near");
    BOOST_TEST(selector.choose(s_start).value() == "10.0.1.1:7340");
    selector.removeTargetRelay("b");
    BOOST_TEST(selector.choose(s_start).value() == "10.0.2.1:7340");
    selector.removeTargetRelay("a");
    BOOST_TEST(selector.empty());
}

// Guards against a router that keeps calling a dead relay while another one could reach the store. Failed relays back off for increasing
// times and the next one is tried; a success resets the backoff.
BOOST_AUTO_TEST_CASE(failedRelaysBackOff)
{
    RelaySelector selector = relaySelector();
    selector.addTargetRelay("a", "10.0.1.1:7340", "near");
    selector.addTargetRelay("b", "10.0.1.2:7340", "near");
    const std::string first = selector.choose(s_start).value();
    selector.recordRelayFailure(first, s_start);
    const std::string second = selector.choose(s_start).value();
    BOOST_TEST(second != first);
    selector.recordRelayFailure(second, s_start);
    BOOST_TEST(!selector.choose(s_start).has_value());
    const Instant afterBackoff = s_start + std::chrono::milliseconds(1001);
    BOOST_REQUIRE(selector.choose(afterBackoff).has_value());
    selector.recordRelayFailure(first, afterBackoff);
    selector.recordRelayFailure(second, afterBackoff);
    BOOST_TEST(!selector.choose(afterBackoff + std::chrono::milliseconds(1001)).has_value());
    BOOST_TEST(selector.choose(afterBackoff + std::chrono::milliseconds(2001)).has_value());
    selector.recordRelaySuccess(second);
    BOOST_TEST(selector.choose(afterBackoff + std::chrono::milliseconds(2001)).value() == second);
}

// Guards against all routers of a failure domain choosing the same relay when they are cut off together.
BOOST_AUTO_TEST_CASE(routersSpreadOverRelays)
{
    std::set<std::string> chosen;
    for (int router = 1; router <= 20; ++router) {
        RelaySelector selector = relaySelector("10.0.0." + std::to_string(router) + ":7340");
        for (int relay = 1; relay <= 5; ++relay) {
            const std::string number = std::to_string(relay);
            selector.addTargetRelay(number, "10.0.1." + number + ":7340", "near");
        }
        chosen.insert(selector.choose(s_start).value());
    }
    BOOST_TEST(chosen.size() == 5);
}

BOOST_AUTO_TEST_SUITE_END()
