#include "cuminswitch/Metrics/latency_histogram.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "cuminswitch/Metrics/metric_page.h"

namespace cuminswitch {
namespace {

TEST(LatencyHistogramTest, ReportsQuantilesWithinOneBinOfTheExactOnes) {
  std::mt19937_64 random(6);
  std::lognormal_distribution<double> times(-3, 1);
  latency_histogram histogram;
  std::vector<double> all;
  for (int i = 0; i < 20'000; ++i) {
    all.push_back(times(random));
    histogram.Add(all.back());
  }
  std::sort(all.begin(), all.end());
  for (const double share : {0.5, 0.95, 0.99}) {
    const double exact = all[static_cast<size_t>(share * 20'000)];
    EXPECT_GE(histogram.Quantile(share), exact * 0.99);
    EXPECT_LE(histogram.Quantile(share), exact * 1.17);
  }
}

TEST(LatencyHistogramTest, AddsCountsOnMerge) {
  latency_histogram a;
  latency_histogram b;
  a.Add(0.1);
  b.Add(0.2);
  b.Add(1000);
  a.Merge(b);
  EXPECT_EQ(a.Count(), 3U);
  EXPECT_EQ(a.CumulativeBins().back().count, 3U);
}

TEST(MetricPageTest, WritesTheExpositionFormat) {
  metric_page page;
  page.Begin("x_total", "counter", "Things.");
  page.Add(3, "a=\"b\"");
  EXPECT_EQ(page.Take(),
            "# HELP x_total Things.\n# TYPE x_total counter\n"
            "x_total{a=\"b\"} 3\n");
}

}  // namespace
}  // namespace cuminswitch
