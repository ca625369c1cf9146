#include "operations/metrics.h"

#include <boost/test/unit_test.hpp>

#include <array>

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

// Memory must stay bounded when a caller makes up team names or a fleet has many thousands of teams.
BOOST_AUTO_TEST_CASE(labelCombinationsAreBounded)
{
    Metrics metrics;
    constexpr int s_teams = 3000;
    for (int team = 0; team < s_teams; ++team) {
        const std::string name = std::to_string(team);
        const std::array<MetricLabel, 2> labels{{{.name = "team", .value = name}, {.name = "outcome", .value = "answered"}}};
        metrics.count("team_requests_total", labels);
    }
    const std::string text = metrics.text();
    BOOST_TEST(text.find("team_requests_total{team=\"7\",outcome=\"answered\"} 1") != std::string::npos);
    BOOST_TEST(text.find("team_requests_total{team=\"other\"} 2000") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
