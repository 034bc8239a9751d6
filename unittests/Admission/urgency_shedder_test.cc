// Which requests yield while capacity is scarce, alone and over a fleet.
#include "cuminswitch/Admission/urgency_shedder.h"

#include <gtest/gtest.h>

#include "scarce_fleet.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

urgency_query MakeQuery(int queue_ms, int prefill_ms, double urgent_wait = 0) {
  return {.queue = milliseconds(queue_ms),
          .prefill = milliseconds(prefill_ms),
          .target = milliseconds(500),
          .caller_idle_timeout = milliseconds(5000),
          .more_urgent_wait = urgent_wait};
}

// Guards against refusals at idle upstreams, which serve nobody better.
TEST(urgency_shedder_test, AcceptsLongPromptsWhileUpstreamsAreIdle) {
  EXPECT_EQ(ScarcityChance(MakeQuery(0, 1200)), 0);
  EXPECT_EQ(ScarcityChance(MakeQuery(100, 1200)), 0);
}

TEST(urgency_shedder_test, RefusesLongPromptsFirstWhileUpstreamsAreBusy) {
  EXPECT_GT(ScarcityChance(MakeQuery(200, 1200)), 0);
  EXPECT_EQ(ScarcityChance(MakeQuery(200, 50)), 0);
  EXPECT_GT(ScarcityChance(MakeQuery(400, 50)), 0);
}

TEST(urgency_shedder_test, KeepsATenthOfEachPromptLength) {
  EXPECT_LE(ScarcityChance(MakeQuery(450, 1200, 10)), 0.9);
  EXPECT_EQ(ScarcityChance(MakeQuery(3500, 400)), 1);
}

TEST(urgency_shedder_test, YieldsToUrgentRequestsThatMissTheirTarget) {
  EXPECT_EQ(ScarcityChance(MakeQuery(0, 20, 0.4)), 0);
  EXPECT_GT(ScarcityChance(MakeQuery(0, 20, 0.8)), 0);
  EXPECT_TRUE(IsYielding(MakeQuery(0, 20, 0.8)));
}

TEST(urgency_shedder_test, RefusesNothingBelowCapacity) {
  scarce_fleet fleet({});
  for (const scarce_fleet::counts& item : fleet.Run(0.8, 10)) {
    EXPECT_EQ(item.refused, 0);
    EXPECT_GT(item.Share(), 0.99);
  }
}

class scarce_load_test : public testing::TestWithParam<double> {};

// Guards against a load at which each class refuses by its own target alone, so
// that nearly all requests are late, the urgent ones too.
TEST_P(scarce_load_test, ServesUrgentRequestsFirstAndRecovers) {
  for (const size_t daemons : {8U, 72U}) {
    scarce_fleet before(
        {.daemons = daemons, .mode = scarce_mode::kByOwnTarget});
    const auto [urgent_before, other_before] = before.Run(GetParam(), 10);
    scarce_fleet fleet({.daemons = daemons});
    const auto [urgent, other] = fleet.Run(GetParam(), 10);
    EXPECT_GT(urgent.in_time + other.in_time,
              urgent_before.in_time + other_before.in_time);
    EXPECT_GE(urgent.Share(), other.Share());
    EXPECT_LE(urgent.refused / urgent.offered, other.refused / other.offered);
    EXPECT_LT(other.refused, other.offered);
    fleet.Run(0.5, 2);
    for (const scarce_fleet::counts& after : fleet.Run(0.5, 2)) {
      EXPECT_GT(after.Share(), 0.99);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Loads, scarce_load_test, testing::Values(2, 3, 5));

// Shows that the comparison above can fail.
TEST(scarce_fleet_test, DecisionsByOwnTargetRefuseUrgentRequestsMore) {
  scarce_fleet fleet({.mode = scarce_mode::kByOwnTarget});
  const auto [urgent, other] = fleet.Run(3, 10);
  EXPECT_GT(urgent.refused / urgent.offered, other.refused / other.offered);
}

// Guards against pooled measurements that fail with those who report them.
TEST(scarce_fleet_test, ServesUrgentRequestsWithLostReportsAndDaemons) {
  scarce_fleet fleet({.loss = 0.35});
  fleet.Run(3, 3);
  fleet.KeepDaemons(36);
  const auto [urgent, other] = fleet.Run(3, 10);
  EXPECT_GE(urgent.Share(), other.Share());
  EXPECT_LE(urgent.refused / urgent.offered, other.refused / other.offered);
}

}  // namespace
}  // namespace cuminswitch
