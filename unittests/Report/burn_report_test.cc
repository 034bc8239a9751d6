#include "cuminswitch/Report/burn_report.h"

#include <gtest/gtest.h>

#include <string>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Metrics/latency_histogram.h"
#include "cuminswitch/Metrics/metric_page.h"

namespace cuminswitch {
namespace {

std::string MakePage(const std::string& workspace, int fast, int slow) {
  latency_histogram first_token;
  for (int i = 0; i < fast; ++i) {
    first_token.Add(0.1);
  }
  for (int i = 0; i < slow; ++i) {
    first_token.Add(5);
  }
  const std::string label = "workspace=\"" + workspace + "\"";
  metric_page page;
  page.Begin("cuminswitch_requests_total", "counter", "x");
  page.Add(fast, label + ",outcome=\"answered\"");
  page.Add(slow, label + ",outcome=\"not_run\"");
  page.Begin("cuminswitch_first_token_seconds", "histogram", "x");
  page.Add(first_token, label);
  return page.Take();
}

TEST(BurnReportTest, ParsesAMetricPage) {
  metric_sample sample;
  AddMetricsPage(MakePage("w", 95, 5), sample);
  const workspace_sample& w = sample.at("w");
  EXPECT_EQ(w.answered, 95U);
  EXPECT_EQ(w.not_run, 5U);
  EXPECT_EQ(w.first_token.count, 100U);
  EXPECT_EQ(w.first_token.CountWithin(1.6), 95U);
}

TEST(BurnReportTest, AddsHistogramsWithDifferentBounds) {
  metric_sample sample;
  AddMetricsPage(MakePage("w", 10, 0), sample);
  AddMetricsPage(MakePage("w", 0, 4), sample);
  EXPECT_EQ(sample.at("w").first_token.CountWithin(1.6), 10U);
  EXPECT_EQ(sample.at("w").first_token.CountWithin(100), 14U);
}

TEST(BurnReportTest, ReportsABurnOfOneWhenTheObjectiveIsJustMet) {
  metric_sample end;
  AddMetricsPage(MakePage("w", 95, 5), end);
  const platform_spec objectives{.first_token_target_ms = 1600,
                                 .answered_target_ppm = 950'000};
  const auto rows = ComputeBurn(objectives, {}, end);
  ASSERT_EQ(rows.size(), 2U);
  EXPECT_NEAR(rows[0].long_window.first_token.burn, 1, 1e-9);
  EXPECT_NEAR(rows[1].long_window.answered.burn, 1, 1e-9);
}

TEST(BurnReportTest, CountsEventsSinceTheFirstSampleInTheShortWindow) {
  metric_sample begin;
  metric_sample end;
  AddMetricsPage(MakePage("w", 100, 0), begin);
  AddMetricsPage(MakePage("w", 100, 10), end);
  const auto rows = ComputeBurn({}, begin, end);
  EXPECT_EQ(rows[1].short_window.first_token.total, 10U);
  EXPECT_NEAR(rows[1].short_window.first_token.burn, 20, 1e-9);
  EXPECT_LT(rows[1].long_window.first_token.burn, 2);
}

// Symptom: the report shows a burn rate of millions.
// Cause: a daemon restarted between the samples and counts from zero again.
TEST(BurnReportTest, ReportsNoBurnAcrossARestart) {
  metric_sample begin;
  metric_sample end;
  AddMetricsPage(MakePage("w", 100, 10), begin);
  AddMetricsPage(MakePage("w", 5, 0), end);
  EXPECT_EQ(ComputeBurn({}, begin, end)[1].short_window.first_token.burn, 0);
}

}  // namespace
}  // namespace cuminswitch
