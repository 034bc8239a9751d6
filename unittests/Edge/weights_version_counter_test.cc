// Tests the counts of upstreams by weights version, updated incrementally.
#include "cuminswitch/Edge/weights_version_counter.h"

#include <gtest/gtest.h>

#include <vector>

namespace cuminswitch {
namespace {

std::vector<weights_version> Version(uint64_t version) {
  return {{.model = "m", .version = version}};
}

TEST(weights_version_counter_test, FindsNewestVersionOfAnyUpstream) {
  weights_version_counter counter;
  EXPECT_EQ(counter.Newest("m"), 0U);
  counter.Add(Version(2));
  counter.Add(Version(1));
  EXPECT_EQ(counter.Newest("m"), 2U);
  EXPECT_EQ(counter.Newest("other"), 0U);
}

// Symptom: a version that a faulty writer invented stays the wanted one after
// its entry was removed.
TEST(weights_version_counter_test, ForgetsVersionWithoutUpstream) {
  weights_version_counter counter;
  counter.Add(Version(1));
  counter.Add(Version(900));
  counter.Remove(Version(900));
  EXPECT_EQ(counter.Newest("m"), 1U);
  counter.Remove(Version(7));
  EXPECT_EQ(counter.Newest("m"), 1U);
}

TEST(weights_version_counter_test, CountsChangesOfNewestVersion) {
  weights_version_counter counter;
  counter.Add(Version(1));
  const uint64_t before = counter.newest_changes();
  counter.Add(Version(1));
  counter.Remove(Version(1));
  EXPECT_EQ(counter.newest_changes(), before);
  counter.Add(Version(2));
  EXPECT_GT(counter.newest_changes(), before);
}

}  // namespace
}  // namespace cuminswitch
