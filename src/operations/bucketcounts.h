#pragma once

#include <boost/accumulators/framework/accumulator_base.hpp>
#include <boost/accumulators/framework/depends_on.hpp>
#include <boost/accumulators/framework/extractor.hpp>
#include <boost/accumulators/framework/parameters/sample.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace bamboohold {

/// Upper bounds of the latency buckets, in seconds. The users' latency targets (61 ms and 0.64 s) are bounds themselves, so that the share
/// of requests within a target can be read directly.
inline constexpr std::array s_bucketBounds{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.061, 0.1, 0.2, 0.4, 0.64, 1.0, 2.0, 5.0, 10.0, 30.0, 120.0};

/// Counts samples in cumulative buckets with fixed bounds. Boost's own density accumulator derives its bounds from the first samples, so
/// the histograms of two processes could not be added.
class BucketCountsImpl : public boost::accumulators::accumulator_base
{
public:
    using Counts = std::array<std::uint64_t, s_bucketBounds.size()>;
    using result_type = Counts;

    explicit BucketCountsImpl(boost::accumulators::dont_care)
    {
    }

    template<typename Args>
    void operator()(const Args &args)
    {
        const double sample = args[boost::accumulators::sample];
        for (std::size_t index = 0; index < s_bucketBounds.size(); ++index) {
            m_counts[index] += sample <= s_bucketBounds[index] ? 1 : 0;
        }
    }

    result_type result(boost::accumulators::dont_care) const
    {
        return m_counts;
    }

private:
    Counts m_counts{};
};

namespace tag {

/// Feature tag of BucketCountsImpl for Boost.Accumulators.
struct BucketCounts : boost::accumulators::depends_on<> {
    using impl = boost::mpl::always<BucketCountsImpl>;
};

}

/// Extracts the bucket counts from an accumulator set.
inline const boost::accumulators::extractor<tag::BucketCounts> s_bucketCounts{};

}
