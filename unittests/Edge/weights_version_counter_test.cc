// Which versions of models upstreams hold, one change at a time.
#include "cuminswitch/Edge/weights_version_counter.h"

#include <gtest/gtest.h>

#include <vector>

namespace cuminswitch {
namespace {

std::vector<weights_version> Version(uint64_t version) {
  return {{.model = "m", .version = version}};
}

TEST(weights_version_counter_test, TheNewestThatAnyHoldsCounts) {
  weights_version_counter census;
  EXPECT_EQ(census.Newest("m"), 0U);
  census.Add(Version(2));
  census.Add(Version(1));
  EXPECT_EQ(census.Newest("m"), 2U);
  EXPECT_EQ(census.Newest("other"), 0U);
}

// A version that another writer made up stays the wanted one after its entry
// has gone.
TEST(weights_version_counter_test, WhatNobodyHoldsAnyMoreIsForgotten) {
  weights_version_counter census;
  census.Add(Version(1));
  census.Add(Version(900));
  census.Remove(Version(900));
  EXPECT_EQ(census.Newest("m"), 1U);
  census.Remove(Version(7));
  EXPECT_EQ(census.Newest("m"), 1U);
}

TEST(weights_version_counter_test, TellsWhenTheNewestIsAnotherOne) {
  weights_version_counter census;
  census.Add(Version(1));
  const uint64_t before = census.newest_changes();
  census.Add(Version(1));
  census.Remove(Version(1));
  EXPECT_EQ(census.newest_changes(), before);
  census.Add(Version(2));
  EXPECT_GT(census.newest_changes(), before);
}

}  // namespace
}  // namespace cuminswitch
