// Tests the counts of upstreams by weights version, updated incrementally.
#include "cuminswitch/Edge/weights_version_counter.h"

#include <gtest/gtest.h>

#include <vector>

namespace cuminswitch {
namespace {

std::vector<weights_version> Version(uint64_t version) {
  return {{.model = "m", .version = version}};
}

TEST(weights_version_counter_test, FindsVersionOfMostUpstreams) {
  weights_version_counter counter;
  EXPECT_EQ(counter.MostCommon("s", "m"), 0U);
  counter.Add("s", Version(2));
  counter.Add("s", Version(1));
  EXPECT_EQ(counter.MostCommon("s", "m"), 1U);
  counter.Add("s", Version(2));
  EXPECT_EQ(counter.MostCommon("s", "m"), 2U);
  EXPECT_EQ(counter.MostCommon("s", "other"), 0U);
}

// Guards against one upstream whose version no other has: all others counted as
// superseded.
TEST(weights_version_counter_test, OneUpstreamDecidesNothing) {
  weights_version_counter counter;
  counter.Add("s", Version(1));
  counter.Add("s", Version(UINT64_MAX));
  counter.Add("plain", Version(7));
  EXPECT_EQ(counter.MostCommon("s", "m"), 1U);
}

// Guards against a version that a faulty writer invented and that stays the
// wanted one after its entry was removed.
TEST(weights_version_counter_test, ForgetsVersionWithoutUpstream) {
  weights_version_counter counter;
  counter.Add("s", Version(900));
  counter.Add("s", Version(1));
  counter.Add("s", Version(900));
  counter.Remove("s", Version(900));
  counter.Remove("s", Version(900));
  EXPECT_EQ(counter.MostCommon("s", "m"), 1U);
  counter.Remove("s", Version(7));
  counter.Remove("other", Version(1));
  EXPECT_EQ(counter.MostCommon("s", "m"), 1U);
}

TEST(weights_version_counter_test, CountsChangesOfMostCommonVersion) {
  weights_version_counter counter;
  counter.Add("s", Version(1));
  counter.Add("s", Version(1));
  const uint64_t before = counter.changes();
  counter.Add("s", Version(2));
  counter.Remove("s", Version(1));
  EXPECT_EQ(counter.changes(), before);
  counter.Add("s", Version(2));
  EXPECT_GT(counter.changes(), before);
}

}  // namespace
}  // namespace cuminswitch
