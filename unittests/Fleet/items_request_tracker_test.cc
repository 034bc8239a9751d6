// How often items are requested from peers.
#include "cuminswitch/Fleet/items_request_tracker.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::seconds(100)};

// Guards against a daemon that runs out of memory with its link saturated:
// hundreds of daemons start and request the complete list from it, which takes
// its link a second to send. If they limit requests only by the time of the
// last one, and not by whether it was answered, each repeats its request every
// 200 ms.
TEST(items_request_tracker_test, SendsNothingWhileReplyIsPending) {
  items_request_tracker tracker;
  EXPECT_TRUE(tracker.MaySend(kStart));
  tracker.OnSent(kStart, "d");
  for (int millis = 0; millis < 1000; millis += 50) {
    EXPECT_FALSE(tracker.MaySend(kStart + milliseconds(millis))) << millis;
  }
  EXPECT_TRUE(tracker.MaySend(kStart + milliseconds(1000)))
      << "the request counts as lost";
}

TEST(items_request_tracker_test, AllowsNextRequestSoonAfterReply) {
  items_request_tracker tracker;
  tracker.OnSent(kStart, "d");
  tracker.OnReply();
  EXPECT_FALSE(tracker.MaySend(kStart + milliseconds(100)));
  EXPECT_TRUE(tracker.MaySend(kStart + milliseconds(200)));
}

TEST(items_request_tracker_test, CountChangesWithEachRequest) {
  items_request_tracker tracker;
  const uint64_t first = tracker.request_count();
  tracker.OnSent(kStart, "d");
  EXPECT_NE(tracker.request_count(), first);
}

}  // namespace
}  // namespace cuminswitch
