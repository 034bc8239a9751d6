// What each beat tells of requests that may crash upstreams.
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

TEST(crash_update_queue_test, EachPeerIsToldOnceWithTheAgeAtThatTime) {
  crash_update_queue bulletin;
  bulletin.Add(
      {.update = {.crashes = {kCrash}, .completions = {}}, .at = kNow});
  const auto told = bulletin.TakeFor(kNow + seconds(2), kPeer);
  ASSERT_EQ(told.crashes.size(), 1U);
  EXPECT_EQ(told.crashes[0].age, seconds(3));
  EXPECT_TRUE(bulletin.TakeFor(kNow + seconds(2), kPeer).IsEmpty());
  EXPECT_EQ(bulletin.TakeFor(kNow + seconds(9), kLatePeer).crashes[0].age,
            seconds(10));
}

// A peer may have missed the news, or have started since.
TEST(crash_update_queue_test, WhatStandsIsToldAgainNowAndThen) {
  crash_update_queue bulletin;
  bulletin.Add({.update = {}, .active_crashes = {kCrash}, .at = kNow});
  EXPECT_EQ(bulletin.TakeFor(kNow, kPeer).crashes.size(), 1U);
  EXPECT_TRUE(bulletin.TakeFor(kNow + seconds(1), kPeer).IsEmpty());
  const auto again = bulletin.TakeFor(kNow + seconds(2), kPeer);
  ASSERT_EQ(again.crashes.size(), 1U);
  EXPECT_EQ(again.crashes[0].age, seconds(3));
  bulletin.Add({.update = {}, .active_crashes = {}, .at = kNow + seconds(3)});
  EXPECT_TRUE(bulletin.TakeFor(kNow + seconds(9), kPeer).IsEmpty());
}

// In a fleet where a daemon beats only some of its peers the others never learn
// of a crash, and run the request on their own upstreams.
TEST(crash_update_queue_test, WhatAPeerToldIsToldOnOnce) {
  const endpoint peer{"10.0.0.7", 7};
  const time_point now{std::chrono::seconds(100)};
  const quarantine_update told{
      .crashes = {{.request = {.high = 1, .low = 2},
                   .upstream = 3,
                   .age = std::chrono::milliseconds(400)}}};
  crash_update_queue bulletin;
  bulletin.Relay(now, told);
  const duration later = std::chrono::milliseconds(100);
  const quarantine_update passed = bulletin.TakeFor(now + later, peer);
  ASSERT_EQ(passed.crashes.size(), 1U);
  EXPECT_EQ(passed.crashes[0].age, std::chrono::milliseconds(500));
  quarantine_update again = told;
  again.crashes[0].age += later;
  bulletin.Relay(now + later, again);
  EXPECT_TRUE(bulletin.TakeFor(now + later, peer).IsEmpty());
}

}  // namespace
}  // namespace cuminswitch
