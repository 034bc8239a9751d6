// When upstreams may live that the store does not list.
#include "cuminswitch/Fleet/lapsed_upstreams.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

constexpr time_point kLost{std::chrono::seconds(100)};
constexpr time_point kBack = kLost + std::chrono::seconds(5);
constexpr store_contact kAway{.is_following = true,
                              .is_lost = true,
                              .lost_at = kLost};
constexpr store_contact kRegained{.is_following = true,
                                  .is_lost = false,
                                  .lost_at = kLost,
                                  .regained_at = kBack};

bool Awaits(const lapsed_upstreams& lapsed, milliseconds after) {
  const time_point now = kBack + after;
  return lapsed.AwaitsUntil(now, kRegained) > now;
}

// For two seconds after the store's return all is refused: it was away for all
// daemons, and returns without the entries of upstreams.
TEST(lapsed_upstreams_test, EntriesAreAwaitedForAWhile) {
  lapsed_upstreams lapsed;
  lapsed.OnPeer(kLost + milliseconds(3000), kAway, {.has_store = false});
  EXPECT_TRUE(Awaits(lapsed, milliseconds(100)));
  EXPECT_TRUE(Awaits(lapsed, milliseconds(2000)));
  EXPECT_FALSE(Awaits(lapsed, milliseconds(2400)));
}

// An upstream gets requests seconds after it was drained: a store that turned
// one daemon away was taken for one that was away.
TEST(lapsed_upstreams_test, WhatGoesWhileTheStoreServesOthersIsGone) {
  lapsed_upstreams lapsed;
  lapsed.OnPeer(kLost + milliseconds(3000), kAway, {.has_store = true});
  EXPECT_FALSE(Awaits(lapsed, milliseconds(100)));
}

// The same after a trouble of the store that all had: a peer that had not
// noticed yet still said that it has the store.
TEST(lapsed_upstreams_test, APeerThatHasNotNoticedYetProvesNothing) {
  lapsed_upstreams lapsed;
  lapsed.OnPeer(kLost + milliseconds(500), kAway, {.has_store = true});
  EXPECT_TRUE(Awaits(lapsed, milliseconds(100)));
}

// A daemon that does not follow the store learns from peers that entries may be
// missing.
TEST(lapsed_upstreams_test, WhatPeersAwaitIsAwaitedToo) {
  constexpr store_contact kNotFollowing{};
  lapsed_upstreams lapsed;
  EXPECT_EQ(lapsed.AwaitsUntil(kBack, kNotFollowing), kBack);
  lapsed.OnPeer(kBack, kNotFollowing,
                {.awaits = {.event = 3, .left = milliseconds(700)}});
  EXPECT_EQ(lapsed.AwaitsUntil(kBack, kNotFollowing),
            kBack + milliseconds(700));
}

// Guards against daemons that keep one another waiting for ever.
TEST(lapsed_upstreams_test, WhatIsPassedOnEndsHoweverLateItComes) {
  constexpr milliseconds kDelay{600};
  constexpr store_contact kNotFollowing{};
  lapsed_upstreams origin(1);
  lapsed_upstreams first(2);
  lapsed_upstreams second(3);
  const auto tell = [&](const lapsed_upstreams& from, time_point sent,
                        const store_contact& contact, lapsed_upstreams& to) {
    to.OnPeer(sent + kDelay, kNotFollowing,
              {.awaits = from.Awaits(sent, contact)});
  };
  for (milliseconds at{0}; at < std::chrono::seconds(20); at += kDelay) {
    const time_point now = kBack + at;
    tell(origin, now, kRegained, first);
    tell(first, now, kNotFollowing, second);
    tell(second, now, kNotFollowing, first);
  }
  const time_point later = kBack + std::chrono::seconds(4);
  EXPECT_EQ(origin.AwaitsUntil(later, kRegained), later);
  EXPECT_EQ(first.AwaitsUntil(later, kNotFollowing), later);
  EXPECT_EQ(second.AwaitsUntil(later, kNotFollowing), later);
}

}  // namespace
}  // namespace cuminswitch
