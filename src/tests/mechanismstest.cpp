#include "gateway/mechanisms.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(MechanismsTest)

BOOST_AUTO_TEST_CASE(namedMechanismsAreDisabled)
{
    const Mechanisms all = mechanismsWithout("").value();
    BOOST_TEST((all.relays && all.carriedCalls && all.keepers && all.loans && all.ampleBudgets));
    BOOST_TEST((all.startPatience && all.favourites && all.silence && all.ejection));
    const Mechanisms some = mechanismsWithout("relays,loans").value();
    BOOST_TEST(!some.relays);
    BOOST_TEST(!some.loans);
    BOOST_TEST(some.keepers);
}

BOOST_AUTO_TEST_CASE(unknownNamesAreRefused)
{
    BOOST_TEST(!mechanismsWithout("relays,luck").ok());
}

BOOST_AUTO_TEST_SUITE_END()
