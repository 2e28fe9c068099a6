// Latency histograms and their form on the metrics page.
#include "state/LatencyHistogram.h"
#include "transport/MetricFamilies.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

TEST_CASE("a duration counts in the first bucket whose bound it does not exceed, or else in the last")
{
    LatencyHistogram histogram;
    histogram.add(1ms); // upper bounds are inclusive
    histogram.add(2ms);
    histogram.add(1min);
    CHECK(histogram.counts().front() == 1);
    CHECK(histogram.counts().at(1) == 1);
    CHECK(histogram.counts().back() == 1);
    CHECK(histogram.count() == 3);
    CHECK(histogram.sum() == 1min + 3ms);
}

TEST_CASE("the metrics page has cumulative buckets in seconds")
{
    LatencyHistogram histogram;
    histogram.add(2ms);
    histogram.add(1min);
    const auto family = makeHistograms("ebony_x_seconds", "help", "route", { { "read", histogram } });
    REQUIRE(family.metric.size() == 1);
    const auto& buckets = family.metric.front().histogram.bucket;
    CHECK(buckets.front().cumulative_count == 0);
    CHECK(buckets.at(1).cumulative_count == 1);
    CHECK(buckets.at(1).upper_bound == doctest::Approx(0.003));
    CHECK(buckets.back().cumulative_count == 2);
    CHECK(family.metric.front().histogram.sample_sum == doctest::Approx(60.002));
}
