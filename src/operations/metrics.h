#pragma once

#include "operations/bucketcounts.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

namespace bamboohold {

/// A label of a series, such as a team or a request class.
struct MetricLabel {
    std::string_view name;
    std::string_view value;
};

/// Counters, gauges and histograms of the process, exported in the Prometheus text format. Thread-safe. The single lock comes last in every
/// lock order: no other lock is taken while it is held.
class Metrics
{
public:
    /// Adds to a counter.
    void count(std::string_view series, MetricLabel label, std::int64_t amount = 1);

    /// Adds to a counter with several labels. When a series has a thousand label combinations, new ones are counted together under `other`,
    /// so that metrics stay bounded in a fleet with many thousands of teams.
    void count(std::string_view series, std::span<const MetricLabel> labels, std::int64_t amount = 1);

    /// Sets a gauge.
    void gauge(std::string_view series, MetricLabel label, std::int64_t value);

    /// Removes a gauge whose subject is gone.
    void removeGauge(std::string_view series, MetricLabel label);

    /// Adds a duration in seconds to a histogram.
    void observe(std::string_view series, MetricLabel label, double seconds);

    /// Returns all series in the Prometheus text format.
    std::string text() const;

private:
    using Histogram = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, tag::BucketCounts>>;

    static std::string labelText(std::span<const MetricLabel> labels);

    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::string, std::int64_t>, std::less<>> m_counters;
    std::map<std::string, std::map<std::string, std::int64_t>, std::less<>> m_gauges;
    std::map<std::string, std::map<std::string, Histogram>, std::less<>> m_histograms;
};

}
