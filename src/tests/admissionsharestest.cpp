#include "routing/admissionshares.h"

#include "tests/busiestspan.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <random>
#include <string>
#include <vector>

using namespace bamboohold;

namespace {

constexpr Millis s_second = 1000;

constexpr std::string_view s_target = "target@1";

/// The most requests that a cold target accepts in any second, by the specification: 1.5 times its rate plus 5.
std::size_t maxPerSecond(double requestsPerSecond)
{
    return static_cast<std::size_t>(requestsPerSecond * 1.5 + 5);
}

}

BOOST_AUTO_TEST_SUITE(AdmissionSharesTest)

// Guards against a burst that crashes a cold target without a relay: any number of routers that agree on which routers are alive stay
// within the target's rate.
BOOST_AUTO_TEST_CASE(sharesBoundEverySecond)
{
    const bool passed = rc::check("no second has more than the target takes", [] {
        const double rate = *rc::gen::element(1.0, 4.5, 10.0, 50.0);
        const int count = *rc::gen::inRange(1, 120);
        std::vector<std::string> names;
        for (int router = 0; router < count; ++router) {
            names.push_back(absl::StrCat("router-", router));
        }
        std::vector<AdmissionShares> routers;
        for (const std::string &name : names) {
            routers.emplace_back(name).setRouters(names);
        }
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        std::vector<Millis> arrivals;
        std::size_t admitted = 0;
        for (Millis now = 0; now < 4000; now += 1 + static_cast<Millis>(random() % 4)) {
            if (routers[random() % routers.size()].admit(s_target, rate, at(now))) {
                ++admitted;
                arrivals.push_back(now + static_cast<Millis>(random() % 300));
            }
        }
        RC_ASSERT(busiestSpan(arrivals, s_second) <= maxPerSecond(rate));
        RC_ASSERT(admitted > 0U);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()
