// Resumptions that wait until this daemon's items are known to be complete.
#include "cuminswitch/Edge/origin_verification.h"

#include <gtest/gtest.h>

#include <vector>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

constexpr time_point kNow{std::chrono::seconds(100)};
constexpr size_t kFleet = 8;

/// Returns the requests among \p ended whose items are complete or not.
std::vector<request_id> Select(
    const std::vector<origin_verification::verified>& ended,
    bool is_complete) {
  std::vector<request_id> requests;
  for (const origin_verification::verified& item : ended) {
    if (item.is_complete == is_complete) {
      requests.push_back(item.origin.request);
    }
  }
  return requests;
}

using requests = std::vector<request_id>;

// Guards against a stream that goes on at the only version that an outdated
// daemon knows: only a check that begins after its arrival decides.
TEST(origin_verification_test, EarlierCheckDoesNotDecide) {
  origin_verification verification;
  verification.Add(kNow, {.request = 1});
  ASSERT_TRUE(verification.BeginCheck(kNow, kFleet));
  verification.Add(kNow + milliseconds(5), {.request = 2});
  EXPECT_FALSE(verification.BeginCheck(kNow + milliseconds(5), kFleet));
  EXPECT_EQ(
      Select(verification.OnChecked({.called_at = kNow, .is_complete = true}),
             true),
      requests({1}));
  const time_point next = kNow + milliseconds(100);
  ASSERT_TRUE(verification.BeginCheck(next, kFleet));
  EXPECT_EQ(
      Select(verification.OnChecked({.called_at = next, .is_complete = true}),
             true),
      requests({2}));
  EXPECT_TRUE(verification.IsEmpty());
}

TEST(origin_verification_test, FailedCheckAndLongWaitDecideNothing) {
  origin_verification verification;
  verification.Add(kNow, {.request = 1});
  ASSERT_TRUE(verification.BeginCheck(kNow, kFleet));
  EXPECT_EQ(Select(verification.OnChecked({.called_at = kNow}), false),
            requests({1}));
  verification.Add(kNow, {.request = 2});
  verification.Add(kNow, {.request = 3});
  verification.Remove(2);
  EXPECT_TRUE(verification.TakeOverdue(kNow + milliseconds(500)).empty());
  EXPECT_EQ(Select(verification.TakeOverdue(kNow + milliseconds(900)), false),
            requests({3}));
}

// Guards against daemons that spend the store's rate limit on checks after all
// were killed at once.
TEST(origin_verification_test, ChecksOfALargeFleetAreRare) {
  const auto count_checks = [](size_t fleet_size) {
    origin_verification verification;
    int checks = 0;
    for (int i = 0; i < 1000; ++i) {
      const time_point now = kNow + milliseconds(10 * i);
      verification.Add(now, {.request = static_cast<request_id>(i)});
      if (verification.BeginCheck(now, fleet_size)) {
        ++checks;
        verification.OnChecked({.called_at = now, .is_complete = true});
      }
    }
    return checks;
  };
  EXPECT_LE(count_checks(8), 200);
  EXPECT_LE(count_checks(1000), 5);
}

}  // namespace
}  // namespace cuminswitch
