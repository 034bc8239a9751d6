// Requests that crash the upstreams that run them.
#include "cuminswitch/Admission/request_quarantine.h"

#include <gtest/gtest.h>

#include <vector>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr hash128 kRequest{.high = 1, .low = 2};
constexpr hash128 kOther{.high = 3, .low = 4};

class request_quarantine_test : public testing::Test {
 protected:
  bool IsHeldBack(const hash128& request = kRequest) const {
    return quarantine_.TimeLeft(now_, request).has_value();
  }
  void Crash(uint64_t upstream, const hash128& request = kRequest) {
    quarantine_.OnCrash(now_, request, upstream);
  }
  void CrashThree(const hash128& request = kRequest) {
    for (const uint64_t upstream : {1, 2, 3}) {
      Crash(upstream, request);
    }
  }
  void Tell(uint64_t upstream, duration age = duration(0)) {
    quarantine_.OnNews(now_,
                       {.request = kRequest, .upstream = upstream, .age = age});
  }

  time_point now_{seconds(100)};
  request_quarantine quarantine_{{.keeps_events = true}};
};

TEST_F(request_quarantine_test, ThreeUpstreamsQuarantineIt) {
  Crash(1);
  Crash(2);
  EXPECT_FALSE(IsHeldBack());
  Crash(3);
  EXPECT_TRUE(IsHeldBack());
  EXPECT_FALSE(IsHeldBack(kOther));
}

TEST_F(request_quarantine_test, OneUpstreamCountsOnce) {
  for (int i = 0; i < 5; ++i) {
    Crash(1);
    Tell(1);
  }
  EXPECT_FALSE(IsHeldBack());
}

TEST_F(request_quarantine_test, WhatPeersSawCounts) {
  Crash(1);
  Tell(2);
  Tell(3, seconds(9));
  EXPECT_TRUE(IsHeldBack());
  const auto events = quarantine_.TakeEvents();
  ASSERT_EQ(events.size(), 4U);
  EXPECT_EQ(events[0].source, crash_source::kOwn);
  EXPECT_EQ(events[1].source, crash_source::kPeer);
  EXPECT_EQ(events[3].what, quarantine_event::kind::kQuarantined);
  EXPECT_EQ(events[3].crashes, 3U);
}

TEST_F(request_quarantine_test, PeersAreToldOnlyWhatThisDaemonSaw) {
  Crash(1);
  Tell(2);
  const auto news = quarantine_.ListNews(now_ + seconds(2));
  ASSERT_EQ(news.size(), 1U);
  EXPECT_EQ(news[0].upstream, 1U);
  EXPECT_EQ(news[0].age, seconds(2));
}

TEST_F(request_quarantine_test, PeersAreToldOfAQuarantineForAsLongAsItLasts) {
  Crash(1, kOther);
  CrashThree();
  now_ += seconds(300);
  EXPECT_EQ(quarantine_.ListNews(now_).size(), 3U);
  EXPECT_EQ(quarantine_.ListOwn(now_).size(), 1U);
}

// A lost connection is no crash.
TEST_F(request_quarantine_test, AnUpstreamThatAnswersHasNotCrashed) {
  CrashThree();
  quarantine_.OnAnswered(2, now_);
  EXPECT_TRUE(IsHeldBack()) << "the attempt was sent before the crash";
  quarantine_.OnAnswered(2, now_ + milliseconds(1));
  EXPECT_FALSE(IsHeldBack());
  Tell(2);
  EXPECT_FALSE(IsHeldBack()) << "a peer has not heard of it yet";
  EXPECT_EQ(quarantine_.ListNews(now_).size(), 2U);
  Crash(4);
  EXPECT_TRUE(IsHeldBack());
}

// Many callers may send the same, and upstreams may crash for another reason.
TEST_F(request_quarantine_test, WhatRunsToItsEndIsNotQuarantined) {
  quarantine_.OnCompleted(now_, kRequest);
  now_ += seconds(20);
  CrashThree();
  Tell(4);
  EXPECT_FALSE(IsHeldBack());
  Crash(1, kOther);
  quarantine_.OnCompleted(now_, kOther);
  for (const uint64_t upstream : {2, 3}) {
    Crash(upstream, kOther);
  }
  EXPECT_FALSE(IsHeldBack(kOther));
}

TEST_F(request_quarantine_test, ThatItOnceRanToItsEndIsForgotten) {
  quarantine_.OnCompleted(now_, kRequest);
  for (int period = 0; period < 2; ++period) {
    now_ += seconds(30);
    quarantine_.OnCompleted(now_, kOther);
  }
  CrashThree();
  EXPECT_TRUE(IsHeldBack());
}

TEST_F(request_quarantine_test, AQuarantineEnds) {
  CrashThree();
  now_ += request_quarantine::kQuarantineTime - milliseconds(1);
  quarantine_.Expire(now_);
  EXPECT_EQ(quarantine_.TimeLeft(now_, kRequest), milliseconds(1));
  EXPECT_EQ(quarantine_.CountQuarantined(), 1U);
  now_ += milliseconds(1);
  quarantine_.Expire(now_);
  EXPECT_FALSE(IsHeldBack());
  EXPECT_EQ(quarantine_.size(), 0U);
}

TEST_F(request_quarantine_test, WhatTheStoreListsIsHeldBack) {
  quarantine_.OnStored(now_, std::vector{kRequest});
  quarantine_.OnStored(now_, std::vector{kRequest});
  EXPECT_TRUE(IsHeldBack());
  EXPECT_EQ(quarantine_.TakeEvents().size(), 1U);
  EXPECT_TRUE(quarantine_.ListOwn(now_).empty());
  // A lease that ran out while the store was away ends no quarantine.
  quarantine_.OnStored(now_, {});
  EXPECT_TRUE(IsHeldBack());
}

// A great part of a large fleet crashes at once, with all that it runs.
TEST_F(request_quarantine_test, AMassCrashDoesNotDisplaceQuarantines) {
  CrashThree();
  for (uint64_t i = 0; i < 20'000; ++i) {
    now_ += milliseconds(1);
    Crash(1, {.high = i, .low = 9});
  }
  EXPECT_TRUE(IsHeldBack());
  EXPECT_LE(quarantine_.size(), 4096U);
  EXPECT_LE(quarantine_.ListNews(now_).size(), 64U);
}

}  // namespace
}  // namespace cuminswitch
