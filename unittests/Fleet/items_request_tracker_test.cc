// How often peers are asked for items.
#include "cuminswitch/Fleet/items_request_tracker.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::seconds(100)};

// Symptom: a daemon that hands items on runs out of memory, and its link is
// full. Sequence: hundreds of daemons start and ask it for the whole list; the
// link needs a second for what they asked for; each asks again every 200 ms.
// Cause: the time of the last question counted, not whether it was answered.
TEST(items_request_tracker_test, NothingIsAskedWhileAnAnswerIsOnItsWay) {
  items_request_tracker pacer;
  EXPECT_TRUE(pacer.MaySend(kStart));
  pacer.OnSent(kStart, "d");
  for (int millis = 0; millis < 1000; millis += 50) {
    EXPECT_FALSE(pacer.MaySend(kStart + milliseconds(millis))) << millis;
  }
  EXPECT_TRUE(pacer.MaySend(kStart + milliseconds(1000))) << "it was lost";
}

TEST(items_request_tracker_test, AfterAnAnswerTheNextQuestionComesSoon) {
  items_request_tracker pacer;
  pacer.OnSent(kStart, "d");
  pacer.OnReply();
  EXPECT_FALSE(pacer.MaySend(kStart + milliseconds(100)));
  EXPECT_TRUE(pacer.MaySend(kStart + milliseconds(200)));
}

TEST(items_request_tracker_test, TurnsDiffer) {
  items_request_tracker pacer;
  const uint64_t first = pacer.turn();
  pacer.OnSent(kStart, "d");
  EXPECT_NE(pacer.turn(), first);
}

}  // namespace
}  // namespace cuminswitch
