#include "quarantine/answermemory.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

RequestFingerprint request(int number)
{
    const std::string body = absl::StrCat(number);
    return RequestFingerprint::of({.team = "team", .body = body});
}

constexpr Instant s_now = Instant{} + std::chrono::hours(1);

}

BOOST_AUTO_TEST_SUITE(AnswerMemoryTest)

BOOST_AUTO_TEST_CASE(countsAnswersWithinItsMemory)
{
    AnswerMemory memory;
    BOOST_TEST(!memory.lastAnswer(request(0)).has_value());
    BOOST_TEST(memory.recentAnswerCount(request(0), s_now) == 0U);
    memory.addLocalAnswer(request(0), s_now);
    // An older response that a peer announced.
    memory.addLocalAnswer(request(0), s_now - std::chrono::seconds(1));
    BOOST_TEST((memory.lastAnswer(request(0)) == s_now));
    BOOST_TEST(memory.recentAnswerCount(request(0), s_now) == 2U);
    BOOST_TEST(memory.recentAnswerCount(request(0), s_now + std::chrono::minutes(2)) == 0U);
    memory.addLocalAnswer(request(0), s_now + std::chrono::minutes(2));
    BOOST_TEST(memory.recentAnswerCount(request(0), s_now + std::chrono::minutes(2)) == 1U);
    memory.expire(s_now + std::chrono::minutes(4));
    BOOST_TEST(!memory.lastAnswer(request(0)).has_value());
}

// Guards against each router announcing its responses to all others again for every report of the same crash.
BOOST_AUTO_TEST_CASE(anAnswerIsAnnouncedOnceForACrash)
{
    const Instant crash = s_now - std::chrono::seconds(2);
    AnswerMemory memory;
    BOOST_TEST(!memory.takeUnannounced(request(0), crash).has_value());
    memory.addLocalAnswer(request(0), s_now - std::chrono::seconds(1));
    BOOST_TEST((memory.takeUnannounced(request(0), crash) == s_now - std::chrono::seconds(1)));
    BOOST_TEST(!memory.takeUnannounced(request(0), crash).has_value());
    memory.addLocalAnswer(request(0), s_now);
    BOOST_TEST(!memory.takeUnannounced(request(0), crash).has_value());
    // A later crash.
    BOOST_TEST((memory.takeUnannounced(request(0), s_now - std::chrono::milliseconds(1)) == s_now));
    memory.addPeerAnswer(request(1), s_now);
    BOOST_TEST(!memory.takeUnannounced(request(1), crash).has_value());
    BOOST_TEST(memory.recentAnswerCount(request(1), s_now) == 1U);
}

// A router serves new requests all the time. The memory must not grow with them.
BOOST_AUTO_TEST_CASE(memoryIsBounded)
{
    AnswerMemory memory({.retention = std::chrono::minutes(1), .maxRequests = 100});
    int known = 0;
    for (int number = 0; number < 1000; ++number) {
        memory.addLocalAnswer(request(number), s_now + std::chrono::milliseconds(number));
        BOOST_TEST(memory.lastAnswer(request(number)).has_value());
    }
    for (int number = 0; number < 1000; ++number) {
        known += memory.lastAnswer(request(number)) ? 1 : 0;
    }
    BOOST_TEST(known <= 100);
    BOOST_TEST(known >= 50);
}

BOOST_AUTO_TEST_SUITE_END()
