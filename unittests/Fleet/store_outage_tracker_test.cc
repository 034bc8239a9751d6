// When upstreams that the store does not list may still be running.
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
  /// The store replies until `kOutageStart`, and again from \p recovered on.
  static store_outage_tracker MakeAfterOutage(
      uint64_t self,
      time_point recovered = kOutageEnd,
      revision_number at = kRecoveryRevision) {
    store_outage_tracker made = Make(self);
    made.OnStoreReply(kOutageStart, 10);
    made.OnStoreReply(recovered, at);
    return made;
  }
  /// \p from sends a heartbeat with \p freshness at \p sent, which arrives
  /// after \p delay.
  static void SendHeartbeat(const store_outage_tracker& from,
                            time_point sent,
                            std::optional<freshness_record> freshness,
                            milliseconds delay,
                            store_outage_tracker& to) {
    to.OnPeerReport(sent + delay, from.Recovery(sent), freshness);
  }
  /// Whether the recovery window is open \p after the end of the outage.
  static bool IsInWindow(const store_outage_tracker& tracker,
                         milliseconds after) {
    const time_point now = kOutageEnd + after;
    EXPECT_EQ(tracker.Recovery(now).event != 0, now < tracker.Window().until);
    return now < tracker.Window().until;
  }
  /// The store replied to another daemon \p age ago.
  static freshness_record RepliedAgo(milliseconds age) {
    return {.daemon_hash = 77, .age = age};
  }
};

// Guards against rejecting all requests for two seconds after an outage, when
// the store recovers without the entries of upstreams.
TEST_F(store_outage_tracker_test, OpensWindowAfterOutage) {
  const store_outage_tracker tracker = MakeAfterOutage(1);
  EXPECT_TRUE(IsInWindow(tracker, milliseconds(100)));
  EXPECT_TRUE(IsInWindow(tracker, milliseconds(1900)));
  EXPECT_FALSE(IsInWindow(tracker, milliseconds(2000)));
}

// Guards against requests to upstreams that stopped after the store's recovery.
TEST_F(store_outage_tracker_test, WindowEndsAtRevisionOfRecovery) {
  EXPECT_EQ(MakeAfterOutage(1).Window().last_removal, kRecoveryRevision);
}

// Guards against requests to stopped upstreams after a single failed call.
TEST_F(store_outage_tracker_test, IgnoresShortOutage) {
  store_outage_tracker tracker = Make(1);
  for (milliseconds at{0}; at < seconds(30); at += milliseconds(2300)) {
    tracker.OnStoreReply(kOutageStart + at, 10);
    EXPECT_EQ(tracker.Recovery(kOutageStart + at).event, 0U);
  }
}

// Guards against requests to an upstream seconds after it was drained, if a
// store that rejects one daemon counts as unavailable.
TEST_F(store_outage_tracker_test, IgnoresOutageOfSingleDaemon) {
  store_outage_tracker tracker = Make(1);
  tracker.OnStoreReply(kOutageStart, 10);
  for (milliseconds at{0}; at < seconds(5); at += milliseconds(500)) {
    tracker.OnPeerReport(kOutageStart + at, {}, RepliedAgo(milliseconds(300)));
  }
  tracker.OnStoreReply(kOutageEnd, kRecoveryRevision);
  EXPECT_FALSE(IsInWindow(tracker, milliseconds(100)));
}

// After an outage that affects all daemons, a peer reports a reply from before
// the outage, which must not hide the outage.
TEST_F(store_outage_tracker_test, IgnoresReplyFromBeforeOutage) {
  store_outage_tracker tracker = Make(1);
  tracker.OnStoreReply(kOutageStart, 10);
  tracker.OnPeerReport(kOutageStart + seconds(4), {},
                       RepliedAgo(milliseconds(3900)));
  tracker.OnStoreReply(kOutageEnd, kRecoveryRevision);
  EXPECT_TRUE(IsInWindow(tracker, milliseconds(100)));
}

// A daemon that does not follow the store learns of a recovery from peers.
TEST_F(store_outage_tracker_test, AcceptsRecoveryReportedByPeer) {
  const store_outage_tracker origin = MakeAfterOutage(1);
  store_outage_tracker tracker = Make(2);
  tracker.OnPeerReport(kOutageStart, {}, RepliedAgo(milliseconds(0)));
  SendHeartbeat(origin, kOutageEnd + milliseconds(600),
                RepliedAgo(milliseconds(600)), milliseconds(0), tracker);
  EXPECT_EQ(tracker.Window().until, kOutageEnd + seconds(2));
  EXPECT_EQ(tracker.Window().last_removal, kRecoveryRevision);
}

// Guards against requests to stopped upstreams: a host that was partitioned
// from the store and its peers reports a recovery, although the store was
// available to all others.
TEST_F(store_outage_tracker_test, IgnoresReportedRecoveryIfStoreReplied) {
  const store_outage_tracker partitioned = MakeAfterOutage(1);
  store_outage_tracker tracker = Make(2);
  for (milliseconds at{0}; at <= seconds(5); at += milliseconds(1000)) {
    tracker.OnStoreReply(kOutageStart + at, 10);
  }
  for (const milliseconds after : {milliseconds(10), milliseconds(900)}) {
    SendHeartbeat(partitioned, kOutageEnd + after, RepliedAgo(after),
                  milliseconds(100), tracker);
    EXPECT_FALSE(IsInWindow(tracker, after + milliseconds(100)));
  }
}

// Guards against a different window at each daemon, counted from when it
// observed the recovery itself.
TEST_F(store_outage_tracker_test, UsesEarliestObservationOfRecovery) {
  const store_outage_tracker early = MakeAfterOutage(1);
  store_outage_tracker late =
      MakeAfterOutage(2, kOutageEnd + milliseconds(700), kRecoveryRevision + 5);
  SendHeartbeat(early, kOutageEnd + milliseconds(700),
                RepliedAgo(milliseconds(0)), milliseconds(100), late);
  EXPECT_EQ(late.Window().until, kOutageEnd + milliseconds(2100));
  EXPECT_EQ(late.Window().last_removal, kRecoveryRevision);
  // A later observation changes nothing, whoever reports it.
  store_outage_tracker other = MakeAfterOutage(3);
  SendHeartbeat(
      MakeAfterOutage(4, kOutageEnd + milliseconds(700), kRecoveryRevision + 5),
      kOutageEnd + milliseconds(800), RepliedAgo(milliseconds(0)),
      milliseconds(100), other);
  EXPECT_EQ(other.Window().until, kOutageEnd + seconds(2));
  EXPECT_EQ(other.Window().last_removal, kRecoveryRevision);
}

// Guards against daemons that extend each other's window indefinitely.
TEST_F(store_outage_tracker_test, RelaysDoNotExtendWindow) {
  constexpr milliseconds kDelay{600};
  const store_outage_tracker origin = MakeAfterOutage(1);
  store_outage_tracker first = Make(2);
  store_outage_tracker second = Make(3);
  for (milliseconds at{0}; at < seconds(20); at += kDelay) {
    const time_point now = kOutageEnd + at;
    SendHeartbeat(origin, now, std::nullopt, kDelay, first);
    SendHeartbeat(first, now, std::nullopt, kDelay, second);
    SendHeartbeat(second, now, std::nullopt, kDelay, first);
  }
  constexpr milliseconds kLater{4000};
  EXPECT_FALSE(IsInWindow(origin, kLater));
  EXPECT_FALSE(IsInWindow(first, kLater));
  EXPECT_FALSE(IsInWindow(second, kLater));
}

// Guards against rejecting all requests if the store fails again before
// upstreams could register.
TEST_F(store_outage_tracker_test, OpensNewWindowAfterSecondOutage) {
  store_outage_tracker tracker = MakeAfterOutage(1);
  EXPECT_FALSE(tracker.IsStoreUnavailable(kOutageEnd + milliseconds(2000)));
  EXPECT_TRUE(tracker.IsStoreUnavailable(kOutageEnd + milliseconds(2500)));
  tracker.OnStoreReply(kOutageEnd + seconds(4), kRecoveryRevision + 9);
  EXPECT_FALSE(tracker.IsStoreUnavailable(kOutageEnd + seconds(4)));
  EXPECT_EQ(tracker.Window().until, kOutageEnd + seconds(6));
  EXPECT_EQ(tracker.Window().last_removal, kRecoveryRevision + 9);
}

// Guards against rejecting all requests after an outage because a daemon of an
// earlier release reports the recovery without its revision.
TEST_F(store_outage_tracker_test, IgnoresRecoveryWithoutRevision) {
  store_outage_tracker tracker = MakeAfterOutage(1);
  const time_point now = kOutageEnd + milliseconds(500);
  tracker.OnPeerReport(now, {.event = 9, .left = milliseconds(1700)},
                       std::nullopt);
  EXPECT_EQ(tracker.Window().last_removal, kRecoveryRevision);
  store_outage_tracker other = Make(2);
  other.OnPeerReport(now, {.event = 9, .left = milliseconds(1700)},
                     std::nullopt);
  EXPECT_FALSE(IsInWindow(other, milliseconds(500)));
}

// A time out of range reported by a peer must neither extend the window nor end
// it in the past.
TEST_F(store_outage_tracker_test, ClampsReportedTime) {
  store_outage_tracker tracker = Make(1);
  tracker.OnPeerReport(kOutageEnd,
                       {.event = 9, .left = seconds(900), .revision = 4},
                       std::nullopt);
  EXPECT_EQ(tracker.Window().until, kOutageEnd + seconds(2));
  tracker.OnPeerReport(kOutageEnd,
                       {.event = 9, .left = -seconds(900), .revision = 4},
                       std::nullopt);
  EXPECT_EQ(tracker.Window().until, kOutageEnd);
}

// Guards against requests to stopped upstreams if a process that has just
// started takes the store's first reply for a recovery.
TEST_F(store_outage_tracker_test, FirstReplyIsNoRecovery) {
  store_outage_tracker tracker = Make(1);
  EXPECT_FALSE(tracker.IsStoreUnavailable(kOutageEnd));
  tracker.OnStoreReply(kOutageEnd, kRecoveryRevision);
  EXPECT_FALSE(IsInWindow(tracker, milliseconds(0)));
}

}  // namespace
}  // namespace cuminswitch
