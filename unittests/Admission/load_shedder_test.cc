// Which requests an overloaded fleet refuses, and how many responses reach
// their callers in time.
#include "cuminswitch/Admission/load_shedder.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

shedding_query MakeQuery(int waited_ms,
                         int expected_ms,
                         priority_class priority = priority_class::kStandard) {
  return {.waited = milliseconds(waited_ms),
          .expected = milliseconds(expected_ms),
          .target = milliseconds(800),
          .caller_idle_timeout = milliseconds(4000),
          .priority = priority};
}

TEST(load_shedder_test, AcceptsRequestsWithAShortWait) {
  EXPECT_EQ(RefusalChance(MakeQuery(0, 0)), 0);
  EXPECT_EQ(RefusalChance(MakeQuery(100, 900)), 0);
}

TEST(load_shedder_test, RefusalChanceGrowsWithTheTotalWait) {
  const double some = RefusalChance(MakeQuery(0, 1500));
  EXPECT_GT(some, 0);
  EXPECT_LT(some, 1);
  EXPECT_GT(RefusalChance(MakeQuery(300, 1500)), some);
  EXPECT_EQ(RefusalChance(MakeQuery(0, 3500)), 1);
}

TEST(load_shedder_test, RefusesInteractiveRequestsLast) {
  EXPECT_EQ(RefusalChance(MakeQuery(0, 2000, priority_class::kInteractive)), 0);
  EXPECT_GT(RefusalChance(MakeQuery(0, 2000)), 0);
}

// Guards against engines that compute prompts whose callers have disconnected:
// the wait was compared with the deadline only, but callers of streams
// disconnect earlier.
TEST(load_shedder_test, RefusesRequestsBeyondTheCallerIdleTimeout) {
  EXPECT_EQ(RefusalChance(MakeQuery(0, 3100, priority_class::kInteractive)), 1);
}

TEST(load_shedder_test, NeverRefusesRequestsWithoutATarget) {
  EXPECT_EQ(RefusalChance({.expected = milliseconds(60'000)}), 0);
}

TEST(load_shedder_test, RetryAfterIsTheWaitBeyondTheTarget) {
  EXPECT_EQ(RefusedRetryAfter(MakeQuery(0, 2000)), milliseconds(1200));
  EXPECT_GT(RefusedRetryAfter(MakeQuery(0, 0)), milliseconds(0));
}

/// Result of 30 s at one engine. A response on time counts 1, a late one 0.3,
/// and one whose caller has disconnected 0.
struct simulation_result {
  double credit = 0;
  int requests = 0;
};

/// Simulates an engine under \p load, a multiple of its capacity. It serves
/// requests in the order of their arrival.
simulation_result Simulate(double load, bool sheds) {
  constexpr double kWorkMs = 100;
  simulation_result result;
  double free_at = 0;
  uint32_t random_state = 1;
  for (double now = 0; now < 30'000; now += kWorkMs / load) {
    ++result.requests;
    const double wait = std::max(0.0, free_at - now) + kWorkMs;
    random_state = random_state * 1664525 + 1013904223;
    const double chance = RefusalChance(MakeQuery(0, static_cast<int>(wait)));
    if (sheds && random_state / 4294967296.0 < chance) {
      continue;
    }
    free_at = std::max(free_at, now) + kWorkMs;
    result.credit += wait <= 800 ? 1 : wait <= 4000 ? 0.3 : 0;
  }
  return result;
}

// The design load: 1.4 times the capacity of the engines, for 30 s. The credit
// per request is 0.14 without shedding and 0.26 with it.
TEST(load_shedder_test, SheddingImprovesServiceUnderOverload) {
  const simulation_result without = Simulate(1.4, false);
  const simulation_result with = Simulate(1.4, true);
  EXPECT_LT(without.credit / without.requests, 0.25);
  EXPECT_GT(with.credit, 1.3 * without.credit);
}

TEST(load_shedder_test, RefusesNothingBelowCapacity) {
  EXPECT_EQ(Simulate(0.95, true).credit, Simulate(0.95, false).credit);
}

}  // namespace
}  // namespace cuminswitch
