// What each beat tells of requests that may crash upstreams.
#include "cuminswitch/Fleet/crash_bulletin.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

using std::chrono::seconds;

const endpoint kPeer{.address = "10.0.0.1", .port = 1};
const endpoint kLatePeer{.address = "10.0.0.2", .port = 1};
constexpr time_point kNow{seconds(100)};
constexpr crash_news kCrash{.request = {.high = 1, .low = 1},
                            .upstream = 2,
                            .age = seconds(1)};

TEST(crash_bulletin_test, EachPeerIsToldOnceWithTheAgeAtThatTime) {
  crash_bulletin bulletin;
  bulletin.Add({.news = {.crashes = {kCrash}, .completions = {}}, .at = kNow});
  const auto told = bulletin.TakeFor(kNow + seconds(2), kPeer);
  ASSERT_EQ(told.crashes.size(), 1U);
  EXPECT_EQ(told.crashes[0].age, seconds(3));
  EXPECT_TRUE(bulletin.TakeFor(kNow + seconds(2), kPeer).IsEmpty());
  EXPECT_EQ(bulletin.TakeFor(kNow + seconds(9), kLatePeer).crashes[0].age,
            seconds(10));
}

// A peer may have missed the news, or have started since.
TEST(crash_bulletin_test, WhatStandsIsToldAgainNowAndThen) {
  crash_bulletin bulletin;
  bulletin.Add({.news = {}, .standing = {kCrash}, .at = kNow});
  EXPECT_EQ(bulletin.TakeFor(kNow, kPeer).crashes.size(), 1U);
  EXPECT_TRUE(bulletin.TakeFor(kNow + seconds(1), kPeer).IsEmpty());
  const auto again = bulletin.TakeFor(kNow + seconds(2), kPeer);
  ASSERT_EQ(again.crashes.size(), 1U);
  EXPECT_EQ(again.crashes[0].age, seconds(3));
  bulletin.Add({.news = {}, .standing = {}, .at = kNow + seconds(3)});
  EXPECT_TRUE(bulletin.TakeFor(kNow + seconds(9), kPeer).IsEmpty());
}

}  // namespace
}  // namespace cuminswitch
