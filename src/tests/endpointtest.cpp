#include "net/endpoint.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(EndpointTest)

BOOST_AUTO_TEST_CASE(readsAddressAndPort)
{
    const auto endpoint = endpointFrom("10.1.0.41:8228");
    BOOST_REQUIRE(endpoint.has_value());
    BOOST_TEST(endpoint->address().to_string() == "10.1.0.41");
    BOOST_TEST(endpoint->port() == 8228);
}

BOOST_AUTO_TEST_CASE(malformedEndpointsAreRejected)
{
    for (const char *text : {"", "10.1.0.41", "10.1.0.41:", "10.1.0.41:0", "10.1.0.41:65536", "10.1.0.41:80x", "name:80", ":80"}) {
        BOOST_TEST(!endpointFrom(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
