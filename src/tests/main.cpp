#define BOOST_TEST_MODULE bamboohold
#include <boost/test/unit_test.hpp>
