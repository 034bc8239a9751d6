// Who follows the store where followers may lose it.
#include "cuminswitch/Fleet/store_follower_policy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <set>
#include <tuple>

#include "store_fleet.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The bound within which a change is in force at hosts that reach the store,
/// where the platform's bounds are tightest.
constexpr milliseconds kBound{2000};

size_t DomainsOf(size_t daemons) {
  return daemons < 80 ? 3 : 6;
}

class store_follower_policy_test
    : public testing::TestWithParam<std::tuple<size_t, store_fleet::fault>> {
 protected:
  size_t size() const { return std::get<0>(GetParam()); }
  /// The longest of some changes, which come from when the store was lost on.
  duration MaxConvergenceTime() {
    duration longest{0};
    for (int i = 0; i < 12; ++i) {
      longest = std::max(longest, fleet_.ConvergenceTime(seconds(20)));
      fleet_.Run(milliseconds(370));
    }
    std::printf("%zu daemons: %lld ms until the last one knows\n", size(),
                static_cast<long long>(longest / milliseconds(1)));
    return longest;
  }
  store_fleet fleet_{size(), DomainsOf(size()), std::get<1>(GetParam())};
};
INSTANTIATE_TEST_SUITE_P(
    Fleets,
    store_follower_policy_test,
    testing::Combine(testing::Values(13, 30, 68, 300, 986),
                     testing::Values(store_fleet::fault::kRefusing,
                                     store_fleet::fault::kUnresponsive)));

TEST_P(store_follower_policy_test, FewFollowWhileNothingIsWrong) {
  EXPECT_EQ(fleet_.Followers().size(), 6U);
  EXPECT_LE(fleet_.ConvergenceTime(kBound), milliseconds(1000));
}

// Guards against followers that live without the store while others reach it.
TEST_P(store_follower_policy_test,
       ThoseThatReachTheStoreLearnInTimeWithoutTheFollowers) {
  const std::set<size_t> followers = fleet_.Followers();
  for (const size_t follower : followers) {
    fleet_.SetStoreReachable(follower, false);
  }
  EXPECT_LE(MaxConvergenceTime(), kBound);
}

TEST_P(store_follower_policy_test, OneDaemonThatReachesTheStoreIsEnough) {
  for (size_t i = 1; i < size(); ++i) {
    fleet_.SetStoreReachable(i, false);
  }
  EXPECT_LE(MaxConvergenceTime(), kBound);
}

// Guards against a daemon that waits for peers from which it is cut off.
TEST_P(store_follower_policy_test,
       ThoseThatAreCutOffFromTheirPeersLearnInTime) {
  const std::set<size_t> followers = fleet_.Followers();
  for (size_t i = 0, cut = 0; cut < 3; ++i) {
    if (!followers.contains(i)) {
      fleet_.Partition(i);
      ++cut;
    }
  }
  EXPECT_LE(MaxConvergenceTime(), kBound);
}

TEST_P(store_follower_policy_test, FollowersTakeTheirPlacesBack) {
  const std::set<size_t> followers = fleet_.Followers();
  for (const size_t follower : followers) {
    fleet_.SetStoreReachable(follower, false);
  }
  fleet_.Run(seconds(6));
  for (const size_t follower : followers) {
    fleet_.SetStoreReachable(follower, true);
  }
  fleet_.Run(seconds(8));
  EXPECT_EQ(fleet_.Followers(), followers);
}

// Guards against a fleet that storms a store which is down for everybody.
TEST_P(store_follower_policy_test, CallsStayFewWhileTheStoreIsDown) {
  for (size_t i = 0; i < size(); ++i) {
    fleet_.SetStoreReachable(i, false);
  }
  fleet_.Run(seconds(4));
  const size_t before = fleet_.calls();
  fleet_.Run(seconds(10));
  const double rate = static_cast<double>(fleet_.calls() - before) / 10;
  std::printf("%zu daemons, store down: %.1f calls a second\n", size(), rate);
  // Followers try again after 0.8 s; the others 24 times a second together, or
  // every 3 s each, give or take a quarter.
  const auto others = std::max(24.0, static_cast<double>(size()) / 3);
  EXPECT_LE(rate, 6 / 0.8 + others * 4 / 3);
}

}  // namespace
}  // namespace cuminswitch
