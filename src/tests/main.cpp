#define BOOST_TEST_MODULE bamboohold
#include "operations/log.h"

#include <boost/test/unit_test.hpp>

namespace {

/// Tests of failures fail thousands of requests; only what nobody expects is worth a line.
struct QuietLog {
    QuietLog()
    {
        bamboohold::initLog({.role = "test"}, bamboohold::Severity::Error);
    }
};

}

BOOST_GLOBAL_FIXTURE(QuietLog);
