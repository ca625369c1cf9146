#include "operations/metrics.h"

#include <boost/test/unit_test.hpp>

using namespace bamboohold;

BOOST_AUTO_TEST_SUITE(MetricsTest)

BOOST_AUTO_TEST_CASE(histogramsAreCumulativeAndLabelled)
{
    Metrics metrics;
    metrics.observe("wait_seconds", {.name = "team", .value = "a\"b"}, 0.05);
    metrics.observe("wait_seconds", {.name = "team", .value = "a\"b"}, 0.5);
    metrics.count("requests_total", {.name = "outcome", .value = "answered"}, 2);
    const std::string text = metrics.text();
    BOOST_TEST(text.find("wait_seconds_bucket{team=\"a\\\"b\",le=\"0.061\"} 1") != std::string::npos);
    BOOST_TEST(text.find("wait_seconds_bucket{team=\"a\\\"b\",le=\"0.64\"} 2") != std::string::npos);
    BOOST_TEST(text.find("wait_seconds_count{team=\"a\\\"b\"} 2") != std::string::npos);
    BOOST_TEST(text.find("requests_total{outcome=\"answered\"} 2") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
