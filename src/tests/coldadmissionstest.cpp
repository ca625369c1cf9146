#include "routing/coldadmissions.h"

#include "routing/admission.h"

#include "tests/busiestspan.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <memory>
#include <random>
#include <vector>

using namespace bamboohold;

namespace {

constexpr Millis s_second = 1000;

/// The most requests that a cold target accepts in any second, by the specification: 1.5 times its rate plus 5.
std::size_t maxPerSecond(double requestsPerSecond)
{
    return static_cast<std::size_t>(requestsPerSecond * 1.5 + 5);
}

}

BOOST_AUTO_TEST_SUITE(ColdAdmissionsTest)

// Guards against a burst that crashes a cold target. Routers query as often as they can, answers are lost or late, routers are suspended
// while they hold an admission, and the relay restarts, all at random times.
BOOST_AUTO_TEST_CASE(relayBoundsEverySecond)
{
    const bool passed = rc::check("no second has more than the target takes", [] {
        const double rate = *rc::gen::element(1.0, 4.5, 10.0, 50.0);
        const int routers = *rc::gen::inRange(1, 40);
        const int restartInterval = *rc::gen::element(0, 700, 2500);
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        auto relay = std::make_unique<ColdAdmissions>(at(-10'000));
        std::vector<Millis> arrivals;
        for (Millis now = 0; now < 5000; ++now) {
            if (restartInterval > 0 && now % restartInterval == restartInterval - 1) {
                relay = std::make_unique<ColdAdmissions>(at(now));
            }
            for (int router = 0; router < routers; ++router) {
                if (random() % 20 != 0) {
                    continue;
                }
                // The query was sent earlier, the answer takes a while, and the router may be suspended before it uses the admission.
                const Millis askedAt = now - static_cast<Millis>(random() % 10);
                const bool granted = relay->admit(1, rate, at(now));
                const Millis usedAt = now + static_cast<Millis>(random() % 10 == 0 ? random() % 3000 : random() % 20);
                const bool inTime = at(usedAt) < at(askedAt) + s_admissionLifetime;
                if (granted && inTime && random() % 10 != 0) {
                    arrivals.push_back(usedAt);
                }
            }
        }
        RC_ASSERT(busiestSpan(arrivals, s_second) <= maxPerSecond(rate));
    });
    BOOST_TEST(passed);
}

// Guards against a target that warms up more slowly than it could: the relay must admit the full rate.
BOOST_AUTO_TEST_CASE(relayAdmitsTheRate)
{
    ColdAdmissions relay(at(-10'000));
    int admitted = 0;
    for (Millis now = 0; now < 13'000; now += 10) {
        admitted += relay.admit(1, 10, at(now)) ? 1 : 0;
    }
    BOOST_TEST(admitted == 100);
}

// Guards against admissions to an earlier incarnation that count against the present one.
BOOST_AUTO_TEST_CASE(restartedTargetHasItsOwnAdmissions)
{
    ColdAdmissions relay(at(-10'000));
    BOOST_TEST(relay.admit(1, 1, at(0)));
    BOOST_TEST(!relay.admit(1, 1, at(1)));
    BOOST_TEST(relay.admit(2, 1, at(2)));
}

BOOST_AUTO_TEST_SUITE_END()
