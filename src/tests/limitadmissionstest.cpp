#include "routing/limitadmissions.h"

#include "routing/admissionshares.h"

#include "tests/busiestspan.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace bamboohold;

namespace {

// Four seconds. A span includes both of its ends.
constexpr Millis s_span = 4000;

/// The most requests that a target with a limit accepts in any four seconds, by the specification: 1.5 times its rate plus 5.
double maxPerSpan(double requestsPerSecond)
{
    return requestsPerSecond * 1.5 * 4 + 5;
}

}

BOOST_AUTO_TEST_SUITE(LimitAdmissionsTest)

// Guards against a target that gets more requests than its limit from all routers together. Answers are lost or late, routers are suspended
// while they hold an admission, and the admitting process restarts, all at random times.
BOOST_AUTO_TEST_CASE(everySpanIsBounded)
{
    const bool passed = rc::check("no four seconds have more than the target takes", [] {
        const double rate = *rc::gen::element(0.0, 0.3, 1.0, 1.9, 4.5, 20.0);
        const int routers = *rc::gen::inRange(1, 40);
        const int restartInterval = *rc::gen::element(0, 700, 2500, 6000);
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        auto admissions = std::make_unique<LimitAdmissions>();
        std::vector<Millis> arrivals;
        for (Millis now = 0; now < 12'000; now += 2) {
            if (restartInterval > 0 && now % restartInterval == 0) {
                admissions = std::make_unique<LimitAdmissions>();
            }
            for (int router = 0; router < routers; ++router) {
                if (random() % 20 != 0) {
                    continue;
                }
                const bool granted = admissions->admit(1, rate, {}, at(now)).admitted;
                const Millis usedAt = now + static_cast<Millis>(random() % 10 == 0 ? random() % 3000 : random() % 20);
                if (granted && at(usedAt) < at(now) + s_admissionLifetime && random() % 10 != 0) {
                    arrivals.push_back(usedAt);
                }
            }
        }
        RC_ASSERT(static_cast<double>(busiestSpan(arrivals, s_span + 1)) <= maxPerSpan(rate));
    });
    BOOST_TEST(passed);
}

// Guards against the same when some routers get no answer and go by their shares: shares and admissions together must stay within the
// limit.
BOOST_AUTO_TEST_CASE(sharesAndAdmissionsTogetherAreBounded)
{
    const bool passed = rc::check("no four seconds have more than the target takes", [] {
        const double rate = *rc::gen::element(0.3, 1.0, 1.9, 4.5, 20.0);
        const int count = *rc::gen::inRange(1, 60);
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        std::vector<std::string> names;
        for (int router = 0; router < count; ++router) {
            names.push_back(absl::StrCat("router-", router));
        }
        std::vector<AdmissionShares> shares;
        for (const std::string &name : names) {
            shares.emplace_back(name).setRouters(names);
        }
        LimitAdmissions admissions;
        std::vector<Millis> arrivals;
        for (Millis now = 0; now < 12'000; now += 1 + static_cast<Millis>(random() % 4)) {
            const bool answered = random() % 2 == 0;
            const bool sends = answered ? admissions.admit(1, rate, {}, at(now)).admitted
                                        : shares[random() % shares.size()].admit("target", rate / 2, at(now));
            if (sends) {
                arrivals.push_back(now + static_cast<Millis>(random() % 300));
            }
        }
        RC_ASSERT(static_cast<double>(busiestSpan(arrivals, s_span + 1)) <= maxPerSpan(rate));
    });
    BOOST_TEST(passed);
}

// Guards against a target that is idle below its limit: the full rate is admitted, and a request is admitted after the returned wait.
BOOST_AUTO_TEST_CASE(admitsTheFullRate)
{
    LimitAdmissions admissions;
    int admitted = 0;
    Millis next = 0;
    for (Millis now = 0; now < 22'000; now += 10) {
        if (now < next) {
            continue;
        }
        const AdmissionDecision decision = admissions.admit(1, 2.5, {}, at(now));
        admitted += decision.admitted ? 1 : 0;
        next = now + std::chrono::ceil<std::chrono::milliseconds>(decision.wait).count();
    }
    BOOST_TEST(admitted >= 50);
    BOOST_TEST(admitted <= 53);
}

// Guards against a target that gets its full rate on top of the requests that were in flight when it first set a limit.
BOOST_AUTO_TEST_CASE(requestsInFlightDelayTheFirstAdmission)
{
    LimitAdmissions admissions;
    const AdmissionDecision busy = admissions.admit(1, 2, {.outstanding = 6}, at(0));
    BOOST_TEST(!busy.admitted);
    BOOST_TEST((busy.wait == std::chrono::seconds(3)));
    BOOST_TEST(!admissions.admit(2, 2, {}, at(0)).admitted);
    BOOST_TEST(admissions.admit(2, 2, {}, at(1300)).admitted);
}

BOOST_AUTO_TEST_SUITE_END()
