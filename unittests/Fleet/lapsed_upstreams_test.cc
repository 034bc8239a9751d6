// When upstreams may live that the store does not list.
#include "cuminswitch/Fleet/lapsed_upstreams.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kLost{seconds(100)};
constexpr time_point kBack = kLost + seconds(5);
constexpr revision_number kAtReturn = 40;

class lapsed_upstreams_test : public testing::Test {
 protected:
  static lapsed_upstreams Make(uint64_t self) {
    return lapsed_upstreams({.self = self});
  }
  /// The store answers until `kLost`, and again from \p back on.
  static lapsed_upstreams MakeAfterOutage(uint64_t self,
                                          time_point back = kBack,
                                          revision_number at = kAtReturn) {
    lapsed_upstreams made = Make(self);
    made.OnStoreAnswer(kLost, 10);
    made.OnStoreAnswer(back, at);
    return made;
  }
  /// \p from sends a beat at \p sent, with \p evidence, which takes \p delay.
  static void Tell(const lapsed_upstreams& from,
                   time_point sent,
                   std::optional<store_evidence> evidence,
                   milliseconds delay,
                   lapsed_upstreams& to) {
    to.OnPeer(sent + delay, from.Awaits(sent), evidence);
  }
  static bool Awaits(const lapsed_upstreams& lapsed, milliseconds after) {
    const time_point now = kBack + after;
    EXPECT_EQ(lapsed.Awaits(now).event != 0, now < lapsed.Window().until);
    return now < lapsed.Window().until;
  }
  /// The store answered another daemon \p age ago.
  static store_evidence Answered(milliseconds age) {
    return {.witness = 77, .age = age};
  }
};

// For two seconds after the store's return all is refused: it was away for all
// daemons, and returns without the entries of upstreams.
TEST_F(lapsed_upstreams_test, EntriesAreAwaitedForAWhile) {
  const lapsed_upstreams lapsed = MakeAfterOutage(1);
  EXPECT_TRUE(Awaits(lapsed, milliseconds(100)));
  EXPECT_TRUE(Awaits(lapsed, milliseconds(1900)));
  EXPECT_FALSE(Awaits(lapsed, milliseconds(2000)));
}

// Guards against requests to upstreams that left after the store's return.
TEST_F(lapsed_upstreams_test, OnlyWhatWasRemovedBeforeTheReturnMayHaveLapsed) {
  EXPECT_EQ(MakeAfterOutage(1).Window().last_removal, kAtReturn);
}

// Guards against requests to upstreams that left, because one call failed.
TEST_F(lapsed_upstreams_test, AMomentWithoutTheStoreExcusesNothing) {
  lapsed_upstreams lapsed = Make(1);
  for (milliseconds at{0}; at < seconds(30); at += milliseconds(2300)) {
    lapsed.OnStoreAnswer(kLost + at, 10);
    EXPECT_EQ(lapsed.Awaits(kLost + at).event, 0U);
  }
}

// An upstream gets requests seconds after it was drained: a store that turned
// one daemon away was taken for one that was away.
TEST_F(lapsed_upstreams_test, WhatGoesWhileTheStoreServesOthersIsGone) {
  lapsed_upstreams lapsed = Make(1);
  lapsed.OnStoreAnswer(kLost, 10);
  for (milliseconds at{0}; at < seconds(5); at += milliseconds(500)) {
    lapsed.OnPeer(kLost + at, {}, Answered(milliseconds(300)));
  }
  lapsed.OnStoreAnswer(kBack, kAtReturn);
  EXPECT_FALSE(Awaits(lapsed, milliseconds(100)));
}

// The same after a trouble of the store that all had: a peer told of an answer
// from before it.
TEST_F(lapsed_upstreams_test, AnAnswerFromBeforeTheOutageProvesNothing) {
  lapsed_upstreams lapsed = Make(1);
  lapsed.OnStoreAnswer(kLost, 10);
  lapsed.OnPeer(kLost + seconds(4), {}, Answered(milliseconds(3900)));
  lapsed.OnStoreAnswer(kBack, kAtReturn);
  EXPECT_TRUE(Awaits(lapsed, milliseconds(100)));
}

// A daemon that does not follow the store learns from peers that entries may be
// missing.
TEST_F(lapsed_upstreams_test, WhatPeersAwaitIsAwaitedToo) {
  const lapsed_upstreams origin = MakeAfterOutage(1);
  lapsed_upstreams lapsed = Make(2);
  lapsed.OnPeer(kLost, {}, Answered(milliseconds(0)));
  Tell(origin, kBack + milliseconds(600), Answered(milliseconds(600)),
       milliseconds(0), lapsed);
  EXPECT_EQ(lapsed.Window().until, kBack + seconds(2));
  EXPECT_EQ(lapsed.Window().last_removal, kAtReturn);
}

// Guards against requests to upstreams that left: one host lost the store and
// its peers, and told all others of a return that was none to them.
TEST_F(lapsed_upstreams_test, AReturnIsNotBelievedWhereTheStoreAnsweredBefore) {
  const lapsed_upstreams cut_off = MakeAfterOutage(1);
  lapsed_upstreams lapsed = Make(2);
  for (milliseconds at{0}; at <= seconds(5); at += milliseconds(1000)) {
    lapsed.OnStoreAnswer(kLost + at, 10);
  }
  for (const milliseconds after : {milliseconds(10), milliseconds(900)}) {
    Tell(cut_off, kBack + after, Answered(after), milliseconds(100), lapsed);
    EXPECT_FALSE(Awaits(lapsed, after + milliseconds(100)));
  }
}

// Guards against daemons that each count from when they noticed the return.
TEST_F(lapsed_upstreams_test, TheEarliestWitnessOfAReturnHolds) {
  const lapsed_upstreams early = MakeAfterOutage(1);
  lapsed_upstreams late =
      MakeAfterOutage(2, kBack + milliseconds(700), kAtReturn + 5);
  Tell(early, kBack + milliseconds(700), Answered(milliseconds(0)),
       milliseconds(100), late);
  EXPECT_EQ(late.Window().until, kBack + milliseconds(2100));
  EXPECT_EQ(late.Window().last_removal, kAtReturn);
  // And the later one takes nothing back, whoever tells it.
  lapsed_upstreams other = MakeAfterOutage(3);
  Tell(MakeAfterOutage(4, kBack + milliseconds(700), kAtReturn + 5),
       kBack + milliseconds(800), Answered(milliseconds(0)), milliseconds(100),
       other);
  EXPECT_EQ(other.Window().until, kBack + seconds(2));
  EXPECT_EQ(other.Window().last_removal, kAtReturn);
}

// Guards against daemons that keep one another waiting for ever.
TEST_F(lapsed_upstreams_test, WhatIsPassedOnEndsHoweverLateItComes) {
  constexpr milliseconds kDelay{600};
  const lapsed_upstreams origin = MakeAfterOutage(1);
  lapsed_upstreams first = Make(2);
  lapsed_upstreams second = Make(3);
  for (milliseconds at{0}; at < seconds(20); at += kDelay) {
    const time_point now = kBack + at;
    Tell(origin, now, std::nullopt, kDelay, first);
    Tell(first, now, std::nullopt, kDelay, second);
    Tell(second, now, std::nullopt, kDelay, first);
  }
  constexpr milliseconds kLater{4000};
  EXPECT_FALSE(Awaits(origin, kLater));
  EXPECT_FALSE(Awaits(first, kLater));
  EXPECT_FALSE(Awaits(second, kLater));
}

// All is refused where the store goes away again before upstreams could return.
TEST_F(lapsed_upstreams_test, NothingIsDecidedWhileTheStoreIsAway) {
  lapsed_upstreams lapsed = MakeAfterOutage(1);
  EXPECT_FALSE(lapsed.IsAway(kBack + milliseconds(2000)));
  EXPECT_TRUE(lapsed.IsAway(kBack + milliseconds(2500)));
  lapsed.OnStoreAnswer(kBack + seconds(4), kAtReturn + 9);
  EXPECT_FALSE(lapsed.IsAway(kBack + seconds(4)));
  EXPECT_EQ(lapsed.Window().until, kBack + seconds(6));
  EXPECT_EQ(lapsed.Window().last_removal, kAtReturn + 9);
}

// All is refused after an outage, because a daemon of an earlier release tells
// of the return without its revision.
TEST_F(lapsed_upstreams_test, AReturnWithoutARevisionIsNotTaken) {
  lapsed_upstreams lapsed = MakeAfterOutage(1);
  const time_point now = kBack + milliseconds(500);
  lapsed.OnPeer(now, {.event = 9, .left = milliseconds(1700)}, std::nullopt);
  EXPECT_EQ(lapsed.Window().last_removal, kAtReturn);
  lapsed_upstreams other = Make(2);
  other.OnPeer(now, {.event = 9, .left = milliseconds(1700)}, std::nullopt);
  EXPECT_FALSE(Awaits(other, milliseconds(500)));
}

// A peer that tells a time out of range must not lengthen the wait, nor end it
// long ago.
TEST_F(lapsed_upstreams_test, TimesOutOfRangeAreBounded) {
  lapsed_upstreams lapsed = Make(1);
  lapsed.OnPeer(kBack, {.event = 9, .left = seconds(900), .revision = 4},
                std::nullopt);
  EXPECT_EQ(lapsed.Window().until, kBack + seconds(2));
  lapsed.OnPeer(kBack, {.event = 9, .left = -seconds(900), .revision = 4},
                std::nullopt);
  EXPECT_EQ(lapsed.Window().until, kBack);
}

// Guards against requests to upstreams that left: a process that had just
// started took its first answer for the store's return.
TEST_F(lapsed_upstreams_test, AFirstAnswerIsNoReturn) {
  lapsed_upstreams lapsed = Make(1);
  EXPECT_FALSE(lapsed.IsAway(kBack));
  lapsed.OnStoreAnswer(kBack, kAtReturn);
  EXPECT_FALSE(Awaits(lapsed, milliseconds(0)));
}

}  // namespace
}  // namespace cuminswitch
