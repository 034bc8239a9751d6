// When upstreams may live that the store does not list.
#include "cuminswitch/Fleet/store_outage_tracker.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kLost{seconds(100)};
constexpr time_point kBack = kLost + seconds(5);
constexpr revision_number kAtReturn = 40;

class store_outage_tracker_test : public testing::Test {
 protected:
  static store_outage_tracker Make(uint64_t self) {
    return store_outage_tracker({.self = self});
  }
  /// The store answers until `kLost`, and again from \p back on.
  static store_outage_tracker MakeAfterOutage(uint64_t self,
                                              time_point back = kBack,
                                              revision_number at = kAtReturn) {
    store_outage_tracker made = Make(self);
    made.OnStoreAnswer(kLost, 10);
    made.OnStoreAnswer(back, at);
    return made;
  }
  /// \p from sends a beat at \p sent, with \p evidence, which takes \p delay.
  static void Tell(const store_outage_tracker& from,
                   time_point sent,
                   std::optional<freshness_record> evidence,
                   milliseconds delay,
                   store_outage_tracker& to) {
    to.OnPeer(sent + delay, from.Recovery(sent), evidence);
  }
  static bool Recovery(const store_outage_tracker& lapsed, milliseconds after) {
    const time_point now = kBack + after;
    EXPECT_EQ(lapsed.Recovery(now).event != 0, now < lapsed.Window().until);
    return now < lapsed.Window().until;
  }
  /// The store answered another daemon \p age ago.
  static freshness_record Answered(milliseconds age) {
    return {.daemon_hash = 77, .age = age};
  }
};

// For two seconds after the store's return all is refused: it was away for all
// daemons, and returns without the entries of upstreams.
TEST_F(store_outage_tracker_test, EntriesAreAwaitedForAWhile) {
  const store_outage_tracker lapsed = MakeAfterOutage(1);
  EXPECT_TRUE(Recovery(lapsed, milliseconds(100)));
  EXPECT_TRUE(Recovery(lapsed, milliseconds(1900)));
  EXPECT_FALSE(Recovery(lapsed, milliseconds(2000)));
}

// Guards against requests to upstreams that left after the store's return.
TEST_F(store_outage_tracker_test,
       OnlyWhatWasRemovedBeforeTheReturnMayHaveLapsed) {
  EXPECT_EQ(MakeAfterOutage(1).Window().last_removal, kAtReturn);
}

// Guards against requests to upstreams that left, because one call failed.
TEST_F(store_outage_tracker_test, AMomentWithoutTheStoreExcusesNothing) {
  store_outage_tracker lapsed = Make(1);
  for (milliseconds at{0}; at < seconds(30); at += milliseconds(2300)) {
    lapsed.OnStoreAnswer(kLost + at, 10);
    EXPECT_EQ(lapsed.Recovery(kLost + at).event, 0U);
  }
}

// An upstream gets requests seconds after it was drained: a store that turned
// one daemon away was taken for one that was away.
TEST_F(store_outage_tracker_test, WhatGoesWhileTheStoreServesOthersIsGone) {
  store_outage_tracker lapsed = Make(1);
  lapsed.OnStoreAnswer(kLost, 10);
  for (milliseconds at{0}; at < seconds(5); at += milliseconds(500)) {
    lapsed.OnPeer(kLost + at, {}, Answered(milliseconds(300)));
  }
  lapsed.OnStoreAnswer(kBack, kAtReturn);
  EXPECT_FALSE(Recovery(lapsed, milliseconds(100)));
}

// The same after a trouble of the store that all had: a peer told of an answer
// from before it.
TEST_F(store_outage_tracker_test, AnAnswerFromBeforeTheOutageProvesNothing) {
  store_outage_tracker lapsed = Make(1);
  lapsed.OnStoreAnswer(kLost, 10);
  lapsed.OnPeer(kLost + seconds(4), {}, Answered(milliseconds(3900)));
  lapsed.OnStoreAnswer(kBack, kAtReturn);
  EXPECT_TRUE(Recovery(lapsed, milliseconds(100)));
}

// A daemon that does not follow the store learns from peers that entries may be
// missing.
TEST_F(store_outage_tracker_test, WhatPeersAwaitIsAwaitedToo) {
  const store_outage_tracker origin = MakeAfterOutage(1);
  store_outage_tracker lapsed = Make(2);
  lapsed.OnPeer(kLost, {}, Answered(milliseconds(0)));
  Tell(origin, kBack + milliseconds(600), Answered(milliseconds(600)),
       milliseconds(0), lapsed);
  EXPECT_EQ(lapsed.Window().until, kBack + seconds(2));
  EXPECT_EQ(lapsed.Window().last_removal, kAtReturn);
}

// Guards against requests to upstreams that left: one host lost the store and
// its peers, and told all others of a return that was none to them.
TEST_F(store_outage_tracker_test,
       AReturnIsNotBelievedWhereTheStoreAnsweredBefore) {
  const store_outage_tracker cut_off = MakeAfterOutage(1);
  store_outage_tracker lapsed = Make(2);
  for (milliseconds at{0}; at <= seconds(5); at += milliseconds(1000)) {
    lapsed.OnStoreAnswer(kLost + at, 10);
  }
  for (const milliseconds after : {milliseconds(10), milliseconds(900)}) {
    Tell(cut_off, kBack + after, Answered(after), milliseconds(100), lapsed);
    EXPECT_FALSE(Recovery(lapsed, after + milliseconds(100)));
  }
}

// Guards against daemons that each count from when they noticed the return.
TEST_F(store_outage_tracker_test, TheEarliestWitnessOfAReturnHolds) {
  const store_outage_tracker early = MakeAfterOutage(1);
  store_outage_tracker late =
      MakeAfterOutage(2, kBack + milliseconds(700), kAtReturn + 5);
  Tell(early, kBack + milliseconds(700), Answered(milliseconds(0)),
       milliseconds(100), late);
  EXPECT_EQ(late.Window().until, kBack + milliseconds(2100));
  EXPECT_EQ(late.Window().last_removal, kAtReturn);
  // And the later one takes nothing back, whoever tells it.
  store_outage_tracker other = MakeAfterOutage(3);
  Tell(MakeAfterOutage(4, kBack + milliseconds(700), kAtReturn + 5),
       kBack + milliseconds(800), Answered(milliseconds(0)), milliseconds(100),
       other);
  EXPECT_EQ(other.Window().until, kBack + seconds(2));
  EXPECT_EQ(other.Window().last_removal, kAtReturn);
}

// Guards against daemons that keep one another waiting for ever.
TEST_F(store_outage_tracker_test, WhatIsPassedOnEndsHoweverLateItComes) {
  constexpr milliseconds kDelay{600};
  const store_outage_tracker origin = MakeAfterOutage(1);
  store_outage_tracker first = Make(2);
  store_outage_tracker second = Make(3);
  for (milliseconds at{0}; at < seconds(20); at += kDelay) {
    const time_point now = kBack + at;
    Tell(origin, now, std::nullopt, kDelay, first);
    Tell(first, now, std::nullopt, kDelay, second);
    Tell(second, now, std::nullopt, kDelay, first);
  }
  constexpr milliseconds kLater{4000};
  EXPECT_FALSE(Recovery(origin, kLater));
  EXPECT_FALSE(Recovery(first, kLater));
  EXPECT_FALSE(Recovery(second, kLater));
}

// All is refused where the store goes away again before upstreams could return.
TEST_F(store_outage_tracker_test, NothingIsDecidedWhileTheStoreIsAway) {
  store_outage_tracker lapsed = MakeAfterOutage(1);
  EXPECT_FALSE(lapsed.IsStoreUnavailable(kBack + milliseconds(2000)));
  EXPECT_TRUE(lapsed.IsStoreUnavailable(kBack + milliseconds(2500)));
  lapsed.OnStoreAnswer(kBack + seconds(4), kAtReturn + 9);
  EXPECT_FALSE(lapsed.IsStoreUnavailable(kBack + seconds(4)));
  EXPECT_EQ(lapsed.Window().until, kBack + seconds(6));
  EXPECT_EQ(lapsed.Window().last_removal, kAtReturn + 9);
}

// All is refused after an outage, because a daemon of an earlier release tells
// of the return without its revision.
TEST_F(store_outage_tracker_test, AReturnWithoutARevisionIsNotTaken) {
  store_outage_tracker lapsed = MakeAfterOutage(1);
  const time_point now = kBack + milliseconds(500);
  lapsed.OnPeer(now, {.event = 9, .left = milliseconds(1700)}, std::nullopt);
  EXPECT_EQ(lapsed.Window().last_removal, kAtReturn);
  store_outage_tracker other = Make(2);
  other.OnPeer(now, {.event = 9, .left = milliseconds(1700)}, std::nullopt);
  EXPECT_FALSE(Recovery(other, milliseconds(500)));
}

// A peer that tells a time out of range must not lengthen the wait, nor end it
// long ago.
TEST_F(store_outage_tracker_test, TimesOutOfRangeAreBounded) {
  store_outage_tracker lapsed = Make(1);
  lapsed.OnPeer(kBack, {.event = 9, .left = seconds(900), .revision = 4},
                std::nullopt);
  EXPECT_EQ(lapsed.Window().until, kBack + seconds(2));
  lapsed.OnPeer(kBack, {.event = 9, .left = -seconds(900), .revision = 4},
                std::nullopt);
  EXPECT_EQ(lapsed.Window().until, kBack);
}

// Guards against requests to upstreams that left: a process that had just
// started took its first answer for the store's return.
TEST_F(store_outage_tracker_test, AFirstAnswerIsNoReturn) {
  store_outage_tracker lapsed = Make(1);
  EXPECT_FALSE(lapsed.IsStoreUnavailable(kBack));
  lapsed.OnStoreAnswer(kBack, kAtReturn);
  EXPECT_FALSE(Recovery(lapsed, milliseconds(0)));
}

}  // namespace
}  // namespace cuminswitch
