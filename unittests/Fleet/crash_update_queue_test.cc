// The crash reports that heartbeats carry.
#include "cuminswitch/Fleet/crash_update_queue.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

using std::chrono::seconds;

const endpoint kPeer{.address = "10.0.0.1", .port = 1};
const endpoint kLatePeer{.address = "10.0.0.2", .port = 1};
constexpr time_point kNow{seconds(100)};
constexpr crash_report kCrash{.request = {.high = 1, .low = 1},
                              .upstream = 2,
                              .age = seconds(1)};

TEST(crash_update_queue_test, SendsAReportToEachPeerOnceWithItsCurrentAge) {
  crash_update_queue queue;
  queue.Add({.update = {.crashes = {kCrash}, .completions = {}}, .at = kNow});
  const auto sent = queue.TakeFor(kNow + seconds(2), kPeer);
  ASSERT_EQ(sent.crashes.size(), 1U);
  EXPECT_EQ(sent.crashes[0].age, seconds(3));
  EXPECT_TRUE(queue.TakeFor(kNow + seconds(2), kPeer).IsEmpty());
  EXPECT_EQ(queue.TakeFor(kNow + seconds(9), kLatePeer).crashes[0].age,
            seconds(10));
}

// A peer may have missed the report, or have started after it was sent.
TEST(crash_update_queue_test, RepeatsActiveCrashes) {
  crash_update_queue queue;
  queue.Add({.update = {}, .active_crashes = {kCrash}, .at = kNow});
  EXPECT_EQ(queue.TakeFor(kNow, kPeer).crashes.size(), 1U);
  EXPECT_TRUE(queue.TakeFor(kNow + seconds(1), kPeer).IsEmpty());
  const auto again = queue.TakeFor(kNow + seconds(2), kPeer);
  ASSERT_EQ(again.crashes.size(), 1U);
  EXPECT_EQ(again.crashes[0].age, seconds(3));
  queue.Add({.update = {}, .active_crashes = {}, .at = kNow + seconds(3)});
  EXPECT_TRUE(queue.TakeFor(kNow + seconds(9), kPeer).IsEmpty());
}

// Guards against a request that crashed an upstream being run on the upstreams
// of other daemons: in a fleet where a daemon sends heartbeats to only some of
// its peers, the others get its report by relay only.
TEST(crash_update_queue_test, RelaysAPeersReportOnce) {
  const endpoint peer{"10.0.0.7", 7};
  const time_point now{std::chrono::seconds(100)};
  const quarantine_update received{
      .crashes = {{.request = {.high = 1, .low = 2},
                   .upstream = 3,
                   .age = std::chrono::milliseconds(400)}},
      .responses = {{.upstream = 3, .age = std::chrono::milliseconds(200)}}};
  crash_update_queue queue;
  queue.Relay(now, received);
  const duration later = std::chrono::milliseconds(100);
  const quarantine_update relayed = queue.TakeFor(now + later, peer);
  ASSERT_EQ(relayed.crashes.size(), 1U);
  EXPECT_EQ(relayed.crashes[0].age, std::chrono::milliseconds(500));
  ASSERT_EQ(relayed.responses.size(), 1U);
  EXPECT_EQ(relayed.responses[0].age, std::chrono::milliseconds(300));
  quarantine_update copy = received;
  copy.crashes[0].age += later;
  copy.responses[0].age += later;
  queue.Relay(now + later, copy);
  EXPECT_TRUE(queue.TakeFor(now + later, peer).IsEmpty());
}

}  // namespace
}  // namespace cuminswitch
