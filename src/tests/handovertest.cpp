#include "membership/settlementtracker.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(HandoverTest)

// Guards against returning tokens although runs of a replaced sidecar are not billed yet. The sidecar is replaced while a request sent to
// its predecessor is in flight, the request ends, and a flush bills it. Only after that flush may the router report the earlier requests as
// settled.
BOOST_AUTO_TEST_CASE(waitsForEarlierRequestsAndALaterFlush)
{
    const auto at = [](int seconds) {
        return Instant(std::chrono::seconds(seconds));
    };
    SettlementTracker tracker;
    tracker.recordIncarnation("t", "t~2", at(10));
    tracker.updateProgress(at(5), 7, 6);
    BOOST_TEST(tracker.settledBefore("t").empty());
    tracker.updateProgress(at(11), 8, 7);
    BOOST_TEST(tracker.settledBefore("t").empty());
    tracker.updateProgress(at(11), 9, 8);
    BOOST_TEST(tracker.settledBefore("t") == "t~2");
    tracker.recordIncarnation("t", "t~3", at(20));
    BOOST_TEST(tracker.settledBefore("t").empty());
    BOOST_TEST(tracker.settledBefore("unknown").empty());
}

BOOST_AUTO_TEST_SUITE_END()
