#include "cuminswitch/Routing/prefix_index.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace cuminswitch {
namespace {

time_point At(int seconds) {
  return time_point(std::chrono::seconds(seconds));
}

std::set<replica_index> HoldersOf(prefix_index& index, uint64_t hash) {
  std::set<replica_index> result;
  for (const prefix_holder& holder : index.Find(hash)) {
    result.insert(holder.index);
  }
  return result;
}

TEST(PrefixIndexDifferentialTest, AgreesWithAReferenceMapBelowItsCapacity) {
  std::mt19937_64 random(7);
  prefix_index index({.capacity = 1000});
  std::map<uint64_t, std::set<replica_index>> expected;
  for (int step = 0; step < 20'000; ++step) {
    const uint64_t hash = random() % 300;
    const auto replica = static_cast<replica_index>(random() % 10);
    index.Touch(hash, {.index = replica, .used_at = At(step)});
    expected[hash].insert(replica);
    EXPECT_EQ(HoldersOf(index, hash), expected[hash]);
  }
}

TEST(PrefixIndexTest, StaysWithinItsCapacity) {
  prefix_index index({.capacity = 100});
  for (uint64_t hash = 0; hash < 10'000; ++hash) {
    index.Touch(hash, {.index = 1});
    EXPECT_LE(index.size(), 100U);
  }
}

TEST(PrefixIndexTest, UsedPrefixesOutliveUnusedOnes) {
  prefix_index index({.capacity = 100});
  index.Touch(1'000'000, {.index = 1});
  for (uint64_t hash = 0; hash < 10'000; ++hash) {
    index.Touch(hash, {.index = 1});
    EXPECT_FALSE(index.Find(1'000'000).empty());
  }
  EXPECT_TRUE(index.Find(3).empty());
}

TEST(PrefixIndexTest, EvictsTheLeastRecentHolder) {
  prefix_index index({.capacity = 100});
  for (replica_index replica = 0; replica < 40; ++replica) {
    index.Touch(1,
                {.index = replica, .used_at = At(static_cast<int>(replica))});
  }
  const std::set<replica_index> holders = HoldersOf(index, 1);
  EXPECT_TRUE(holders.contains(39));
  EXPECT_FALSE(holders.contains(0));
}

}  // namespace
}  // namespace cuminswitch
