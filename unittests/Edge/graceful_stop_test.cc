// What a stopping daemon takes, and when it ends.
#include "cuminswitch/Edge/graceful_stop.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::seconds(100)};

graceful_stop Stopping() {
  graceful_stop stop(std::chrono::seconds(8));
  stop.Begin(kStart);
  return stop;
}

TEST(graceful_stop_test, ARunningDaemonTakesEverything) {
  const graceful_stop stop(std::chrono::seconds(8));
  EXPECT_TRUE(stop.CanAccept(kStart, std::chrono::hours(1)));
  EXPECT_FALSE(stop.IsOver(kStart, 0, 0));
}

// Symptom: answers are cut in two when a host is restarted.
// Sequence: the daemon is told to stop; a caller with an old address answer
// sends a request that may take twelve seconds; the grace of eight ends.
// Cause: whatever came was taken, however late.
TEST(graceful_stop_test, ALateRequestThatMayOutliveTheProcessIsNotTaken) {
  const graceful_stop stop = Stopping();
  EXPECT_TRUE(
      stop.CanAccept(kStart + milliseconds(2600), milliseconds(12'000)));
  EXPECT_FALSE(
      stop.CanAccept(kStart + milliseconds(2800), milliseconds(12'000)));
  EXPECT_TRUE(stop.CanAccept(kStart + milliseconds(2800), milliseconds(600)));
  EXPECT_FALSE(stop.CanAccept(kStart + milliseconds(7200), milliseconds(600)));
}

// Symptom: callers get a reset where a new address answer was not asked for
// yet. Cause: the process ended while callers still held its address.
TEST(graceful_stop_test, TheProcessLivesWhileCallersHoldItsAddress) {
  const graceful_stop stop = Stopping();
  EXPECT_FALSE(stop.IsOver(kStart + milliseconds(6000), 0, 0));
  EXPECT_TRUE(stop.IsOver(kStart + milliseconds(6300), 0, 0));
}

// Symptom: a caller gets all of an answer but its last bytes.
// Sequence: the last request ends; its answer waits for a slow caller; the
// process ends.
// Cause: requests under way were counted, connections were not.
TEST(graceful_stop_test, TheProcessWaitsForAnswersOnTheirWay) {
  const graceful_stop stop = Stopping();
  EXPECT_FALSE(stop.IsOver(kStart + milliseconds(6300), 0, 1));
  EXPECT_FALSE(stop.IsOver(kStart + milliseconds(6300), 1, 1));
}

TEST(graceful_stop_test, TheProcessEndsBeforeItIsKilled) {
  const graceful_stop stop = Stopping();
  EXPECT_TRUE(stop.IsOver(kStart + milliseconds(7700), 3, 3));
}

}  // namespace
}  // namespace cuminswitch
