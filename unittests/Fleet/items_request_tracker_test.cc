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
  tracker.OnSent(kStart, "d", items_request_tracker::scope::kAllItems);
  for (int millis = 0; millis < 1000; millis += 50) {
    EXPECT_FALSE(tracker.MaySend(kStart + milliseconds(millis))) << millis;
  }
  EXPECT_TRUE(tracker.MaySend(kStart + milliseconds(1000)))
      << "the request counts as lost";
}

// Guards against changes that arrive later than the store's acknowledgement
// allows because the first peer asked does not reply.
TEST(items_request_tracker_test, GivesUpARequestForChangesSooner) {
  items_request_tracker tracker;
  tracker.OnSent(kStart, "d", items_request_tracker::scope::kChanges);
  EXPECT_FALSE(tracker.MaySend(kStart + milliseconds(250)));
  EXPECT_TRUE(tracker.MaySend(kStart + milliseconds(300)));
}

// Guards against several copies of the complete list, which a peer sends where
// it lacks the history for a reply with changes.
TEST(items_request_tracker_test, WaitsLongerAfterEachLostRequest) {
  items_request_tracker tracker;
  time_point now = kStart;
  for (const milliseconds timeout : {milliseconds(300), milliseconds(600),
                                     milliseconds(1000), milliseconds(1000)}) {
    tracker.OnSent(now, "d", items_request_tracker::scope::kChanges);
    EXPECT_FALSE(tracker.MaySend(now + timeout - milliseconds(1)));
    now += timeout;
    EXPECT_TRUE(tracker.MaySend(now));
    tracker.OnLost();
  }
}

TEST(items_request_tracker_test, AllowsNextRequestSoonAfterReply) {
  items_request_tracker tracker;
  tracker.OnSent(kStart, "d", items_request_tracker::scope::kAllItems);
  tracker.OnReply();
  EXPECT_FALSE(tracker.MaySend(kStart + milliseconds(100)));
  EXPECT_TRUE(tracker.MaySend(kStart + milliseconds(200)));
}

TEST(items_request_tracker_test, CountChangesWithEachRequest) {
  items_request_tracker tracker;
  const uint64_t first = tracker.request_count();
  tracker.OnSent(kStart, "d", items_request_tracker::scope::kAllItems);
  EXPECT_NE(tracker.request_count(), first);
}

}  // namespace
}  // namespace cuminswitch
