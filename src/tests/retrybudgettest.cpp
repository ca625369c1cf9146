#include "gateway/retrybudget.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

constexpr FleetPosition s_alone{.rank = 0, .routers = 1};

}

BOOST_AUTO_TEST_SUITE(RetryBudgetTest)

// Every target of a service fails. The retries must stay within the ratio and slack that all routers share, and be allowed again once the
// window has passed.
BOOST_AUTO_TEST_CASE(staysWithinTheSharedBound)
{
    constexpr std::size_t s_routers = 5;
    constexpr FleetPosition s_position{.rank = 4, .routers = s_routers};
    constexpr int s_requests = 400;
    RetryBudget budget({.ratio = 0.2, .slack = 50, .window = std::chrono::seconds(10), .usedShare = 1, .carriedShare = 1});
    Instant now = Instant(std::chrono::seconds(5));
    int granted = 0;
    for (int count = 0; count < s_requests; ++count) {
        now += std::chrono::milliseconds(10);
        budget.recordRequest("service", now);
        granted += budget.tryAcquireRetry("service", s_position, now) ? 1 : 0;
    }
    BOOST_TEST(granted == static_cast<int>(0.2 * s_requests + 50 / s_routers));
    now += std::chrono::seconds(11);
    BOOST_TEST(budget.tryAcquireRetry("service", s_position, now));
}

BOOST_AUTO_TEST_CASE(servicesHaveSeparateBudgets)
{
    RetryBudget budget({.ratio = 0, .slack = 1, .window = std::chrono::seconds(10), .usedShare = 1, .carriedShare = 1});
    const Instant now = Instant(std::chrono::seconds(5));
    BOOST_TEST(budget.tryAcquireRetry("one", s_alone, now));
    BOOST_TEST(!budget.tryAcquireRetry("one", s_alone, now));
    BOOST_TEST(budget.tryAcquireRetry("two", s_alone, now));
}

// Guards against requests that count from the end of a long wait, and so pay for retries in a window after theirs.
BOOST_AUTO_TEST_CASE(requestsCountFromTheTimeAtWhichTheyWereRead)
{
    constexpr int s_requests = 100;
    RetryBudget budget({.slack = 0});
    const Instant readAt = Instant(std::chrono::seconds(5));
    const Instant now = readAt + std::chrono::seconds(9);
    budget.recordRequest("service", now - std::chrono::seconds(1));
    for (int count = 0; count < s_requests; ++count) {
        budget.recordRequest("service", readAt);
    }
    BOOST_TEST(!budget.tryAcquireRetry("service", std::nullopt, now));
    for (int count = 0; count < s_requests; ++count) {
        budget.recordRequest("service", now);
    }
    BOOST_TEST(budget.tryAcquireRetry("service", std::nullopt, now));
}

BOOST_AUTO_TEST_SUITE_END()
