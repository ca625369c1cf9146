#include "net/patience.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

Duration ms(std::int64_t value)
{
    return std::chrono::milliseconds(value);
}

Patience patience()
{
    return Patience({.least = ms(200), .most = ms(1500)});
}

}

BOOST_AUTO_TEST_SUITE(PatienceTest)

// The store takes a write and its answer gets lost. Requests wait for it: it is asked for again after a fifth of a second, not after one
// and a half.
BOOST_AUTO_TEST_CASE(aQuickPeerIsAskedAgainSoon)
{
    Patience meter = patience();
    meter.answered(ms(5));
    BOOST_TEST((meter.current() == ms(200)));
}

// The store is slow. Its answers are waited for, or every call would be sent again and slow it further.
BOOST_AUTO_TEST_CASE(aSlowPeerIsWaitedFor)
{
    Patience meter = patience();
    for (int answer = 0; answer < 20; ++answer) {
        meter.answered(ms(100));
    }
    BOOST_TEST((meter.current() > ms(700)));
    meter.answered(ms(4000));
    BOOST_TEST((meter.current() == ms(1500)));
}

BOOST_AUTO_TEST_CASE(eachMissDoublesTheWait)
{
    Patience meter = patience();
    meter.missed();
    BOOST_TEST((meter.current() == ms(400)));
    meter.missed();
    meter.missed();
    BOOST_TEST((meter.current() == ms(1500)));
    meter.answered(ms(5));
    BOOST_TEST((meter.current() == ms(200)));
}

BOOST_AUTO_TEST_SUITE_END()
