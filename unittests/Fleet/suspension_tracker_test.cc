// How old the messages may be that a resumed process handles.
#include "cuminswitch/Fleet/suspension_tracker.h"

#include <gtest/gtest.h>

#include "cuminswitch/Fleet/staleness_tracker.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::seconds(100)};

/// Lets the process run from \p from to \p to.
void RunFor(suspension_tracker& tracker, milliseconds from, milliseconds to) {
  for (milliseconds at = from; at <= to; at += milliseconds(120)) {
    tracker.OnRunning(kStart + at);
  }
}

TEST(suspension_tracker_test, MessagesOfRunningProcessAreNew) {
  suspension_tracker tracker;
  RunFor(tracker, milliseconds(0), milliseconds(2400));
  const time_point now = kStart + milliseconds(2450);
  EXPECT_EQ(tracker.ArrivedAfter(now), now);
}

TEST(suspension_tracker_test, MessagesMayHaveWaitedDuringSuspension) {
  suspension_tracker tracker;
  RunFor(tracker, milliseconds(0), milliseconds(1200));
  RunFor(tracker, milliseconds(5200), milliseconds(5800));
  EXPECT_EQ(tracker.ArrivedAfter(kStart + milliseconds(5600)),
            kStart + milliseconds(1200));
  const time_point drained = kStart + milliseconds(5800);
  EXPECT_EQ(tracker.ArrivedAfter(drained), drained);
}

TEST(suspension_tracker_test, MessagesWaitOverSuspensionsInARow) {
  suspension_tracker tracker;
  RunFor(tracker, milliseconds(0), milliseconds(1200));
  tracker.OnRunning(kStart + milliseconds(3000));
  tracker.OnRunning(kStart + milliseconds(6000));
  EXPECT_EQ(tracker.ArrivedAfter(kStart + milliseconds(6100)),
            kStart + milliseconds(1200));
}

// Guards against a resumed daemon that takes records of the store's replies for
// new, and a version of the weights that was published meanwhile too.
TEST(suspension_tracker_test, WaitingRecordDoesNotShowThatItemsAreComplete) {
  suspension_tracker tracker;
  staleness_tracker staleness(1);
  RunFor(tracker, milliseconds(0), milliseconds(1200));
  const time_point resumed = kStart + milliseconds(5200);
  tracker.OnRunning(resumed);
  staleness.OnPeerReport(tracker.ArrivedAfter(resumed),
                         {.daemon_hash = 2, .age = milliseconds(100)}, false);
  EXPECT_EQ(staleness.complete_at(), kStart + milliseconds(1100));
}

}  // namespace
}  // namespace cuminswitch
