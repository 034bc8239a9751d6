// Which requests an overloaded fleet refuses, and what callers get.
#include "cuminswitch/Admission/load_shedder.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

shedding_query Question(int waited_ms,
                        int expected_ms,
                        priority_class priority = priority_class::kStandard) {
  return {.waited = milliseconds(waited_ms),
          .expected = milliseconds(expected_ms),
          .target = milliseconds(800),
          .caller_idle_timeout = milliseconds(4000),
          .priority = priority};
}

TEST(load_shedder_test, WhatIsServedSoonIsTaken) {
  EXPECT_EQ(RefusalChance(Question(0, 0)), 0);
  EXPECT_EQ(RefusalChance(Question(100, 900)), 0);
}

TEST(load_shedder_test, TheChanceGrowsWithTheWholeWait) {
  const double some = RefusalChance(Question(0, 1500));
  EXPECT_GT(some, 0);
  EXPECT_LT(some, 1);
  EXPECT_GT(RefusalChance(Question(300, 1500)), some);
  EXPECT_EQ(RefusalChance(Question(0, 3500)), 1);
}

TEST(load_shedder_test, UrgentRequestsAreRefusedLast) {
  EXPECT_EQ(RefusalChance(Question(0, 2000, priority_class::kInteractive)), 0);
  EXPECT_GT(RefusalChance(Question(0, 2000)), 0);
}

// Symptom: engines compute prompts whose callers have left.
// Cause: the wait was held against the deadline, and callers of streams leave
// earlier than that.
TEST(load_shedder_test, WhatReachesNobodyIsRefused) {
  EXPECT_EQ(RefusalChance(Question(0, 3100, priority_class::kInteractive)), 1);
}

TEST(load_shedder_test, ARequestWithoutATargetIsNeverRefused) {
  EXPECT_EQ(RefusalChance({.expected = milliseconds(60'000)}), 0);
}

TEST(load_shedder_test, RetryAfterIsTheExcessOfTheQueue) {
  EXPECT_EQ(RefusedRetryAfter(Question(0, 2000)), milliseconds(1200));
  EXPECT_GT(RefusedRetryAfter(Question(0, 0)), milliseconds(0));
}

/// What callers of one engine get in 30 s: on time counts 1, late 0.3, and
/// nothing once they have left.
struct played_load {
  double credit = 0;
  int asked = 0;
};

/// Plays \p load times what the engine can compute, first come first served.
played_load Play(double load, bool sheds) {
  constexpr double kWorkMs = 100;
  played_load result;
  double free_at = 0;
  uint32_t luck = 1;
  for (double now = 0; now < 30'000; now += kWorkMs / load) {
    ++result.asked;
    const double wait = std::max(0.0, free_at - now) + kWorkMs;
    luck = luck * 1664525 + 1013904223;
    const double chance = RefusalChance(Question(0, static_cast<int>(wait)));
    if (sheds && luck / 4294967296.0 < chance) {
      continue;
    }
    free_at = std::max(free_at, now) + kWorkMs;
    result.credit += wait <= 800 ? 1 : wait <= 4000 ? 0.3 : 0;
  }
  return result;
}

// The load that this answers: 1.4 times what the engines can compute, for 30 s.
// Shares of all requests' worth that callers get: 0.14 without, 0.26 with.
TEST(load_shedder_test, AnOverloadedEngineServesMore) {
  const played_load without = Play(1.4, false);
  const played_load with = Play(1.4, true);
  EXPECT_LT(without.credit / without.asked, 0.25);
  EXPECT_GT(with.credit, 1.3 * without.credit);
}

TEST(load_shedder_test, AnEngineThatKeepsUpRefusesNothing) {
  EXPECT_EQ(Play(0.95, true).credit, Play(0.95, false).credit);
}

}  // namespace
}  // namespace cuminswitch
