// When upstreams may live that the store does not list.
#include "cuminswitch/Fleet/store_outage_tracker.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kOutageStart{seconds(100)};
constexpr time_point kOutageEnd = kOutageStart + seconds(5);
constexpr revision_number kRecoveryRevision = 40;

class store_outage_tracker_test : public testing::Test {
 protected:
  static store_outage_tracker Make(uint64_t self) {
    return store_outage_tracker({.self = self});
  }
  /// The store answers until `kOutageStart`, and again from \p back on.
  static store_outage_tracker MakeAfterOutage(
      uint64_t self,
      time_point back = kOutageEnd,
      revision_number at = kRecoveryRevision) {
    store_outage_tracker made = Make(self);
    made.OnStoreReply(kOutageStart, 10);
    made.OnStoreReply(back, at);
    return made;
  }
  /// \p from sends a beat at \p sent, with \p evidence, which takes \p delay.
  static void Tell(const store_outage_tracker& from,
                   time_point sent,
                   std::optional<freshness_record> evidence,
                   milliseconds delay,
                   store_outage_tracker& to) {
    to.OnPeerReport(sent + delay, from.Recovery(sent), evidence);
  }
  static bool Recovery(const store_outage_tracker& lapsed, milliseconds after) {
    const time_point now = kOutageEnd + after;
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
  EXPECT_EQ(MakeAfterOutage(1).Window().last_removal, kRecoveryRevision);
}

// Guards against requests to upstreams that left, because one call failed.
TEST_F(store_outage_tracker_test, AMomentWithoutTheStoreExcusesNothing) {
  store_outage_tracker lapsed = Make(1);
  for (milliseconds at{0}; at < seconds(30); at += milliseconds(2300)) {
    lapsed.OnStoreReply(kOutageStart + at, 10);
    EXPECT_EQ(lapsed.Recovery(kOutageStart + at).event, 0U);
  }
}

// An upstream gets requests seconds after it was drained: a store that turned
// one daemon away was taken for one that was away.
TEST_F(store_outage_tracker_test, WhatGoesWhileTheStoreServesOthersIsGone) {
  store_outage_tracker lapsed = Make(1);
  lapsed.OnStoreReply(kOutageStart, 10);
  for (milliseconds at{0}; at < seconds(5); at += milliseconds(500)) {
    lapsed.OnPeerReport(kOutageStart + at, {}, Answered(milliseconds(300)));
  }
  lapsed.OnStoreReply(kOutageEnd, kRecoveryRevision);
  EXPECT_FALSE(Recovery(lapsed, milliseconds(100)));
}

// The same after a trouble of the store that all had: a peer told of an answer
// from before it.
TEST_F(store_outage_tracker_test, AnAnswerFromBeforeTheOutageProvesNothing) {
  store_outage_tracker lapsed = Make(1);
  lapsed.OnStoreReply(kOutageStart, 10);
  lapsed.OnPeerReport(kOutageStart + seconds(4), {},
                      Answered(milliseconds(3900)));
  lapsed.OnStoreReply(kOutageEnd, kRecoveryRevision);
  EXPECT_TRUE(Recovery(lapsed, milliseconds(100)));
}

// A daemon that does not follow the store learns from peers that entries may be
// missing.
TEST_F(store_outage_tracker_test, WhatPeersAwaitIsAwaitedToo) {
  const store_outage_tracker origin = MakeAfterOutage(1);
  store_outage_tracker lapsed = Make(2);
  lapsed.OnPeerReport(kOutageStart, {}, Answered(milliseconds(0)));
  Tell(origin, kOutageEnd + milliseconds(600), Answered(milliseconds(600)),
       milliseconds(0), lapsed);
  EXPECT_EQ(lapsed.Window().until, kOutageEnd + seconds(2));
  EXPECT_EQ(lapsed.Window().last_removal, kRecoveryRevision);
}

// Guards against requests to upstreams that left: one host lost the store and
// its peers, and told all others of a return that was none to them.
TEST_F(store_outage_tracker_test,
       AReturnIsNotBelievedWhereTheStoreAnsweredBefore) {
  const store_outage_tracker cut_off = MakeAfterOutage(1);
  store_outage_tracker lapsed = Make(2);
  for (milliseconds at{0}; at <= seconds(5); at += milliseconds(1000)) {
    lapsed.OnStoreReply(kOutageStart + at, 10);
  }
  for (const milliseconds after : {milliseconds(10), milliseconds(900)}) {
    Tell(cut_off, kOutageEnd + after, Answered(after), milliseconds(100),
         lapsed);
    EXPECT_FALSE(Recovery(lapsed, after + milliseconds(100)));
  }
}

// Guards against daemons that each count from when they noticed the return.
TEST_F(store_outage_tracker_test, TheEarliestWitnessOfAReturnHolds) {
  const store_outage_tracker early = MakeAfterOutage(1);
  store_outage_tracker late =
      MakeAfterOutage(2, kOutageEnd + milliseconds(700), kRecoveryRevision + 5);
  Tell(early, kOutageEnd + milliseconds(700), Answered(milliseconds(0)),
       milliseconds(100), late);
  EXPECT_EQ(late.Window().until, kOutageEnd + milliseconds(2100));
  EXPECT_EQ(late.Window().last_removal, kRecoveryRevision);
  // And the later one takes nothing back, whoever tells it.
  store_outage_tracker other = MakeAfterOutage(3);
  Tell(
      MakeAfterOutage(4, kOutageEnd + milliseconds(700), kRecoveryRevision + 5),
      kOutageEnd + milliseconds(800), Answered(milliseconds(0)),
      milliseconds(100), other);
  EXPECT_EQ(other.Window().until, kOutageEnd + seconds(2));
  EXPECT_EQ(other.Window().last_removal, kRecoveryRevision);
}

// Guards against daemons that keep one another waiting for ever.
TEST_F(store_outage_tracker_test, WhatIsPassedOnEndsHoweverLateItComes) {
  constexpr milliseconds kDelay{600};
  const store_outage_tracker origin = MakeAfterOutage(1);
  store_outage_tracker first = Make(2);
  store_outage_tracker second = Make(3);
  for (milliseconds at{0}; at < seconds(20); at += kDelay) {
    const time_point now = kOutageEnd + at;
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
  EXPECT_FALSE(lapsed.IsStoreUnavailable(kOutageEnd + milliseconds(2000)));
  EXPECT_TRUE(lapsed.IsStoreUnavailable(kOutageEnd + milliseconds(2500)));
  lapsed.OnStoreReply(kOutageEnd + seconds(4), kRecoveryRevision + 9);
  EXPECT_FALSE(lapsed.IsStoreUnavailable(kOutageEnd + seconds(4)));
  EXPECT_EQ(lapsed.Window().until, kOutageEnd + seconds(6));
  EXPECT_EQ(lapsed.Window().last_removal, kRecoveryRevision + 9);
}

// All is refused after an outage, because a daemon of an earlier release tells
// of the return without its revision.
TEST_F(store_outage_tracker_test, AReturnWithoutARevisionIsNotTaken) {
  store_outage_tracker lapsed = MakeAfterOutage(1);
  const time_point now = kOutageEnd + milliseconds(500);
  lapsed.OnPeerReport(now, {.event = 9, .left = milliseconds(1700)},
                      std::nullopt);
  EXPECT_EQ(lapsed.Window().last_removal, kRecoveryRevision);
  store_outage_tracker other = Make(2);
  other.OnPeerReport(now, {.event = 9, .left = milliseconds(1700)},
                     std::nullopt);
  EXPECT_FALSE(Recovery(other, milliseconds(500)));
}

// A peer that tells a time out of range must not lengthen the wait, nor end it
// long ago.
TEST_F(store_outage_tracker_test, TimesOutOfRangeAreBounded) {
  store_outage_tracker lapsed = Make(1);
  lapsed.OnPeerReport(kOutageEnd,
                      {.event = 9, .left = seconds(900), .revision = 4},
                      std::nullopt);
  EXPECT_EQ(lapsed.Window().until, kOutageEnd + seconds(2));
  lapsed.OnPeerReport(kOutageEnd,
                      {.event = 9, .left = -seconds(900), .revision = 4},
                      std::nullopt);
  EXPECT_EQ(lapsed.Window().until, kOutageEnd);
}

// Guards against requests to upstreams that left: a process that had just
// started took its first answer for the store's return.
TEST_F(store_outage_tracker_test, AFirstAnswerIsNoReturn) {
  store_outage_tracker lapsed = Make(1);
  EXPECT_FALSE(lapsed.IsStoreUnavailable(kOutageEnd));
  lapsed.OnStoreReply(kOutageEnd, kRecoveryRevision);
  EXPECT_FALSE(Recovery(lapsed, milliseconds(0)));
}

}  // namespace
}  // namespace cuminswitch
