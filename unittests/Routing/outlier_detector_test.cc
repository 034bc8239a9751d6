// Tests of the detection of upstreams that fail more often than their peers.
#include "cuminswitch/Routing/outlier_detector.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};

outlier_detector After(int failures, int successes) {
  outlier_detector detector;
  for (int i = 0; i < successes; ++i) {
    detector.OnResponse(kStart, false);
  }
  for (int i = 0; i < failures; ++i) {
    detector.OnResponse(kStart, true);
  }
  return detector;
}

// Guards against an upstream with a grey failure: it fails 40% of its requests
// for seconds while it passes its health check.
TEST(outlier_detector_test,
     DetectsAnUpstreamThatFailsMuchMoreOftenThanItsPeers) {
  EXPECT_TRUE(After(4, 6).IsOutlier(0.14));
  EXPECT_TRUE(After(3, 0).IsOutlier(0.14));
}

// Guards against healthy upstreams that are ejected one after the other,
// because failures caused by the requests were counted against them.
TEST(outlier_detector_test, FailuresCausedByRequestsMakeNoOutlier) {
  EXPECT_FALSE(After(2, 0).IsOutlier(0.14));
  EXPECT_FALSE(After(3, 15).IsOutlier(0.14));
  EXPECT_FALSE(After(5, 5).IsOutlier(0.5));
}

TEST(outlier_detector_test, OldFailuresLoseWeight) {
  outlier_detector detector = After(4, 0);
  detector.OnResponse(kStart + std::chrono::seconds(12), false);
  EXPECT_FALSE(detector.IsOutlier(0));
}

}  // namespace
}  // namespace cuminswitch
