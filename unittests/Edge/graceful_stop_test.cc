// Tests which requests a stopping daemon accepts, and when it exits.
#include "cuminswitch/Edge/graceful_stop.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::seconds(100)};

graceful_stop MakeStopping() {
  graceful_stop stop(std::chrono::seconds(8));
  stop.Begin(kStart);
  return stop;
}

TEST(graceful_stop_test, RunningDaemonAcceptsEveryRequest) {
  const graceful_stop stop(std::chrono::seconds(8));
  EXPECT_TRUE(stop.CanAccept(kStart, std::chrono::hours(1)));
  EXPECT_FALSE(stop.IsComplete(kStart, 0, 0));
}

// Symptom: responses are truncated when a host is restarted.
// Sequence: the daemon gets the stop signal; a caller with a cached address
// sends a request that may take twelve seconds; the grace of eight seconds
// ends.
// Cause: requests were accepted however late they arrived.
TEST(graceful_stop_test, RejectsLateRequestThatMayOutliveProcess) {
  const graceful_stop stop = MakeStopping();
  EXPECT_TRUE(
      stop.CanAccept(kStart + milliseconds(2600), milliseconds(12'000)));
  EXPECT_FALSE(
      stop.CanAccept(kStart + milliseconds(2800), milliseconds(12'000)));
  EXPECT_TRUE(stop.CanAccept(kStart + milliseconds(2800), milliseconds(600)));
  EXPECT_FALSE(stop.CanAccept(kStart + milliseconds(7200), milliseconds(600)));
}

// Symptom: callers that have not resolved the address again get a connection
// reset.
// Cause: the process exited while callers still had its address cached.
TEST(graceful_stop_test, WaitsUntilCachedAddressesExpire) {
  const graceful_stop stop = MakeStopping();
  EXPECT_FALSE(stop.IsComplete(kStart + milliseconds(6000), 0, 0));
  EXPECT_TRUE(stop.IsComplete(kStart + milliseconds(6300), 0, 0));
}

// Symptom: a caller gets a response without its last bytes.
// Sequence: the last request ends; its response is buffered for a slow caller;
// the process exits.
// Cause: requests in flight were counted, open connections were not.
TEST(graceful_stop_test, WaitsForUnsentResponses) {
  const graceful_stop stop = MakeStopping();
  EXPECT_FALSE(stop.IsComplete(kStart + milliseconds(6300), 0, 1));
  EXPECT_FALSE(stop.IsComplete(kStart + milliseconds(6300), 1, 1));
}

// Guards against closing connections without a response at the exit.
TEST(graceful_stop_test, EndsRequestsBeforeExit) {
  const graceful_stop stop = MakeStopping();
  EXPECT_FALSE(stop.MustEndRequests(kStart + milliseconds(7400)));
  EXPECT_TRUE(stop.MustEndRequests(kStart + milliseconds(7500)));
  EXPECT_FALSE(stop.IsComplete(kStart + milliseconds(7500), 1, 1));
  EXPECT_FALSE(stop.CanAccept(kStart + milliseconds(7000), milliseconds(500)));
}

TEST(graceful_stop_test, ExitsBeforeGraceEnds) {
  const graceful_stop stop = MakeStopping();
  EXPECT_TRUE(stop.IsComplete(kStart + milliseconds(7700), 3, 3));
}

}  // namespace
}  // namespace cuminswitch
