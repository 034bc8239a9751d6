// Requests that crash the upstreams that run them.
#include "cuminswitch/Admission/request_quarantine.h"

#include <gtest/gtest.h>

#include <initializer_list>
#include <utility>
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
  /// A run breaks off now, as long after the last one as it took.
  void Crash(uint64_t upstream, const hash128& request = kRequest) {
    now_ += kRun;
    quarantine_.OnCrash(now_, request, upstream, now_ - kRun);
  }
  void CrashThree(const hash128& request = kRequest) {
    for (const uint64_t upstream : {1, 2, 3}) {
      Crash(upstream, request);
    }
  }
  /// Runs that break off at the same moment.
  void CrashAtOnce(std::initializer_list<uint64_t> upstreams) {
    now_ += kRun;
    for (const uint64_t upstream : upstreams) {
      quarantine_.OnCrash(now_, kRequest, upstream, now_ - kRun);
    }
  }
  void Complete(const hash128& request, time_point sent) {
    quarantine_.OnCompleted(now_, request, sent);
  }
  void Tell(uint64_t upstream, duration age = duration(0)) {
    quarantine_.OnUpdate(now_, {.crashes = {{.request = kRequest,
                                             .upstream = upstream,
                                             .age = age,
                                             .took = kRun}},
                                .completions = {}});
  }

  static constexpr duration kRun = milliseconds(40);
  time_point now_{seconds(100)};
  request_quarantine quarantine_{{.keeps_events = true}};
};

TEST_F(request_quarantine_test, ThreeInSequenceQuarantineIt) {
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

// Upstreams may crash at once for another reason.
TEST_F(request_quarantine_test, RunsThatOverlapCountOnce) {
  CrashAtOnce({1, 2, 3, 4, 5, 6, 7, 8});
  EXPECT_FALSE(IsHeldBack());
}

TEST_F(request_quarantine_test,
       OneThatComesInSeveralCopiesIsQuarantinedSooner) {
  CrashAtOnce({1, 2, 3});
  Crash(4);
  EXPECT_FALSE(IsHeldBack());
  CrashAtOnce({5});
  EXPECT_TRUE(IsHeldBack());
}

TEST_F(request_quarantine_test, WhatPeersSawCounts) {
  Crash(1);
  Tell(3, seconds(9));
  Tell(2, seconds(5));
  EXPECT_TRUE(IsHeldBack());
  const auto events = quarantine_.TakeEvents();
  ASSERT_EQ(events.size(), 2U);
  EXPECT_EQ(events[0].source, crash_source::kOwn);
  EXPECT_EQ(events[1].what, quarantine_event::kind::kQuarantined);
  EXPECT_EQ(events[1].source, crash_source::kPeer);
  EXPECT_EQ(events[1].crashes, 3U);
}

TEST_F(request_quarantine_test, EachNewsIsTakenOnce) {
  Crash(1);
  const auto news = quarantine_.TakeUpdate(now_ + seconds(2)).crashes;
  ASSERT_EQ(news.size(), 1U);
  EXPECT_EQ(news[0].upstream, 1U);
  EXPECT_EQ(news[0].age, seconds(2));
  EXPECT_EQ(news[0].took, kRun);
  EXPECT_TRUE(quarantine_.TakeUpdate(now_).IsEmpty());
}

// A witness may be gone the next moment.
TEST_F(request_quarantine_test, WhatAddsUpIsPassedOnNoYounger) {
  Tell(2, seconds(3));
  EXPECT_TRUE(quarantine_.TakeUpdate(now_).IsEmpty());
  Tell(3, seconds(1));
  const auto news = quarantine_.TakeUpdate(now_ + seconds(2)).crashes;
  ASSERT_EQ(news.size(), 1U);
  EXPECT_EQ(news[0].upstream, 3U);
  EXPECT_EQ(news[0].age, seconds(3));
}

TEST_F(request_quarantine_test, AQuarantineStandsForAsLongAsItLasts) {
  Crash(5, kOther);
  CrashThree();
  now_ += seconds(300);
  EXPECT_EQ(quarantine_.ListActiveCrashes(now_).size(), 3U);
  EXPECT_EQ(quarantine_.ListOwn(now_).size(), 1U);
}

// A lost connection is no crash.
TEST_F(request_quarantine_test, AnUpstreamThatAnswersHasNotCrashed) {
  CrashThree();
  quarantine_.OnAnswered(3, now_);
  EXPECT_TRUE(IsHeldBack()) << "the attempt was sent before the crash";
  quarantine_.OnAnswered(3, now_ + milliseconds(1));
  EXPECT_FALSE(IsHeldBack());
  Tell(3);
  EXPECT_FALSE(IsHeldBack()) << "a peer has not heard of it yet";
  EXPECT_TRUE(quarantine_.ListActiveCrashes(now_).empty());
  Crash(4);
  EXPECT_TRUE(IsHeldBack());
}

TEST_F(request_quarantine_test, ALaterRunThatEndsWellClearsIt) {
  Crash(1);
  Crash(2);
  const time_point sent = now_ + milliseconds(1);
  now_ += seconds(1);
  Complete(kRequest, sent);
  Crash(3);
  EXPECT_FALSE(IsHeldBack());
  Crash(4);
  Crash(5);
  EXPECT_TRUE(IsHeldBack());
}

TEST_F(request_quarantine_test, ARunThatBeganEarlierClearsNothing) {
  CrashThree();
  Complete(kRequest, now_ - seconds(2));
  EXPECT_TRUE(IsHeldBack());
}

TEST_F(request_quarantine_test, PeersHearThatARunEndedWell) {
  Crash(1);
  Crash(2);
  now_ += milliseconds(1);
  Complete(kRequest, now_);
  const auto news = quarantine_.TakeUpdate(now_ + seconds(1));
  ASSERT_EQ(news.completions.size(), 1U);
  EXPECT_EQ(news.completions[0].age, seconds(1));

  request_quarantine peer;
  for (const auto& [upstream, age] :
       {std::pair(7, seconds(9)), {8, seconds(6)}, {9, seconds(3)}}) {
    peer.OnCrash(now_ - age, kRequest, static_cast<uint64_t>(upstream),
                 now_ - age - kRun);
  }
  EXPECT_TRUE(peer.TimeLeft(now_, kRequest));
  peer.OnUpdate(now_ + seconds(1), news);
  EXPECT_FALSE(peer.TimeLeft(now_, kRequest));
}

// The others that ran there were broken off, and go on elsewhere.
TEST_F(request_quarantine_test, AQuarantineClearsThoseThatRanBesideIt) {
  Crash(1, kOther);
  Crash(2, kOther);
  CrashThree();
  Crash(3, kOther);
  Crash(4, kOther);
  Crash(5, kOther);
  EXPECT_FALSE(IsHeldBack(kOther));
  Crash(6, kOther);
  EXPECT_TRUE(IsHeldBack(kOther));
}

TEST_F(request_quarantine_test, AQuarantineLastsFromTheLastCrashOn) {
  Crash(1);
  now_ += seconds(300);
  Crash(2);
  Crash(3);
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
    Crash(9, {.high = i, .low = 9});
    now_ -= kRun;
  }
  EXPECT_TRUE(IsHeldBack());
  EXPECT_LE(quarantine_.size(), 4096U);
  EXPECT_LE(quarantine_.TakeUpdate(now_).crashes.size(), 16U);
}

}  // namespace
}  // namespace cuminswitch
