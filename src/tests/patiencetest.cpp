#include "net/adaptivetimeout.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

namespace {

Duration ms(std::int64_t value)
{
    return std::chrono::milliseconds(value);
}

AdaptiveTimeout patience()
{
    return AdaptiveTimeout({.minTimeout = ms(200), .maxTimeout = ms(1500)});
}

}

BOOST_AUTO_TEST_SUITE(PatienceTest)

// The store takes a write and the answer is lost while requests wait for it. With a fast peer the call is repeated after 200 ms, not after
// 1.5 s.
BOOST_AUTO_TEST_CASE(aFastPeerIsAskedAgainSoon)
{
    AdaptiveTimeout meter = patience();
    meter.recordAnswer(ms(5));
    BOOST_TEST((meter.current() == ms(200)));
}

// The store is slow. The timeout adapts to it; otherwise every call would be repeated and slow it further.
BOOST_AUTO_TEST_CASE(aSlowPeerIsWaitedFor)
{
    AdaptiveTimeout meter = patience();
    for (int answer = 0; answer < 20; ++answer) {
        meter.recordAnswer(ms(100));
    }
    BOOST_TEST((meter.current() > ms(700)));
    meter.recordAnswer(ms(4000));
    BOOST_TEST((meter.current() == ms(1500)));
}

BOOST_AUTO_TEST_CASE(eachTimeoutDoublesTheWait)
{
    AdaptiveTimeout meter = patience();
    meter.recordTimeout();
    BOOST_TEST((meter.current() == ms(400)));
    meter.recordTimeout();
    meter.recordTimeout();
    BOOST_TEST((meter.current() == ms(1500)));
    meter.recordAnswer(ms(5));
    BOOST_TEST((meter.current() == ms(200)));
}

BOOST_AUTO_TEST_SUITE_END()
