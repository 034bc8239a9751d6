#include "cuminswitch/Routing/observation_table.h"

#include <gtest/gtest.h>

#include <set>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

time_point At(int millis) {
  return time_point(milliseconds(millis));
}

upstream_observation Seen(upstream_refusal refusal, int age_ms = 0) {
  return {.upstream = 1,
          .incarnation = 7,
          .age = milliseconds(age_ms),
          .refusal = refusal};
}

TEST(observation_table_test, DaemonsTryARefusingUpstreamAtDifferentTimes) {
  std::set<time_point> times;
  for (uint64_t seed = 0; seed < 72; ++seed) {
    observation_table table({.seed = seed});
    table.SetFleetSize(72);
    table.Record(At(1000), Seen(upstream_refusal::kMismatch), observer::kPeer);
    times.insert(*table.HeldUntil(1, 7));
  }
  EXPECT_EQ(times.size(), 72U);
  EXPECT_GE(*times.begin(), At(1400));
  EXPECT_LE(*times.rbegin(), At(6400));
}

TEST(observation_table_test, MismatchEndsWithTheEntryOrAResponse) {
  observation_table table;
  table.Record(At(1000), Seen(upstream_refusal::kMismatch), observer::kPeer);
  EXPECT_TRUE(table.HeldUntil(1, 7));
  EXPECT_FALSE(table.HeldUntil(1, 8));
  // A response that is older than the refusal arrives after it.
  table.Record(At(1100), Seen(upstream_refusal::kNone, 200), observer::kPeer);
  EXPECT_TRUE(table.HeldUntil(1, 7));
  table.Record(At(1100), Seen(upstream_refusal::kNone), observer::kPeer);
  EXPECT_FALSE(table.HeldUntil(1, 7));
  // So does the refusal itself, from a peer that was slow to report it.
  table.Record(At(1150), Seen(upstream_refusal::kMismatch, 150),
               observer::kPeer);
  EXPECT_FALSE(table.HeldUntil(1, 7));
  EXPECT_EQ(table.TakeChanges().size(), 2U);
}

// Guards against a peer with a broken link that keeps all daemons from
// upstreams which they reach.
TEST(observation_table_test, PeerWithBrokenLinkIsIgnored) {
  observation_table table;
  table.Record(At(1000), Seen(upstream_refusal::kUnreachable), observer::kPeer);
  EXPECT_TRUE(table.HeldUntil(1, 7));
  table.Record(At(1200), Seen(upstream_refusal::kNone), observer::kSelf);
  table.Record(At(1500), Seen(upstream_refusal::kUnreachable), observer::kPeer);
  EXPECT_FALSE(table.HeldUntil(1, 7));
  table.Record(At(1600), Seen(upstream_refusal::kUnreachable), observer::kSelf);
  EXPECT_TRUE(table.HeldUntil(1, 7));
}

TEST(observation_table_test, ListsRecentOwnObservationsWithRefusalsFirst) {
  observation_table table;
  for (uint64_t upstream = 1; upstream <= 100; ++upstream) {
    upstream_observation seen =
        Seen(upstream == 3 ? upstream_refusal::kUnreachable
                           : upstream_refusal::kNone);
    seen.upstream = upstream;
    table.Record(At(1000 + static_cast<int>(upstream)), seen,
                 upstream == 100 ? observer::kPeer : observer::kSelf);
  }
  const auto list = table.ListOwn(At(1200));
  ASSERT_EQ(list.size(), observation_table::kMaxListed);
  EXPECT_EQ(list[0].upstream, 3U);
  EXPECT_EQ(list[1].upstream, 99U);
  EXPECT_EQ(list[1].age, milliseconds(101));
  EXPECT_TRUE(table.ListOwn(At(2000)).empty());
  table.Expire(At(20'000));
  EXPECT_EQ(table.CountRefusing(), 0U);
}

TEST(observation_table_test, NewestLoadCountsUntilItIsOld) {
  observation_table table;
  upstream_observation seen = Seen(upstream_refusal::kNone, 300);
  seen.slots = 12;
  seen.work_percent = 250;
  table.Record(At(1000), seen, observer::kPeer);
  seen.age = milliseconds(500);
  seen.work_percent = 100;
  table.Record(At(1000), seen, observer::kPeer);
  EXPECT_EQ(table.FindLoad(At(1100), 1)->work_percent, 250U);
  EXPECT_EQ(table.FindLoad(At(1100), 1)->age, milliseconds(400));
  EXPECT_FALSE(table.FindLoad(At(3000), 1));
}

}  // namespace
}  // namespace cuminswitch
