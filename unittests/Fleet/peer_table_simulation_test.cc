// Who is held for living, by fleets of many sizes.
#include "peer_table_simulation.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <string>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

#ifdef __SANITIZE_ADDRESS__
constexpr size_t kSizes[] = {30, 100, 300};
#else
constexpr size_t kSizes[] = {30, 100, 300, 1000};
#endif

/// Long enough for all to choose who watches them.
constexpr duration kSettleTime = milliseconds(700);

/// How long until \p part of those that are up hold \p host for gone, at most
/// ten seconds.
duration TimeUntilMissing(peer_table_simulation& fleet,
                          size_t host,
                          size_t up,
                          double part) {
  const time_point begin = fleet.now();
  while (static_cast<double>(fleet.CountMissing(host)) <
             part * static_cast<double>(up) &&
         fleet.now() - begin < seconds(10)) {
    fleet.Run(milliseconds(20));
  }
  return fleet.now() - begin;
}

// Callers are sent to a host that is gone for 23 s in a fleet of a thousand:
// each peer was heard in its turn, and a turn grows with the fleet.
TEST(peer_table_simulation_test, ADeadHostIsKnownSoonWhateverTheFleetsSize) {
  for (const size_t hosts : kSizes) {
    peer_table_simulation fleet({.hosts = hosts});
    fleet.Run(kSettleTime);
    ASSERT_EQ(fleet.CountMissing(7), 0U) << hosts;
    const size_t beats = fleet.beats();
    fleet.Kill(7);
    const duration middle = TimeUntilMissing(fleet, 7, hosts - 1, 0.5);
    const duration most = middle + TimeUntilMissing(fleet, 7, hosts - 1, 0.99);
    const duration all = most + TimeUntilMissing(fleet, 7, hosts - 1, 1);
    const double rate = static_cast<double>(fleet.beats() - beats) /
                        static_cast<double>(hosts) / ToSeconds(all);
    std::printf(
        "%5zu hosts: half know after %.2f s, 99%% %.2f, all %.2f; "
        "%.0f beats/s each\n",
        hosts, ToSeconds(middle), ToSeconds(most), ToSeconds(all), rate);
    EXPECT_LE(all, milliseconds(1500)) << hosts;
    EXPECT_LE(rate, 180) << hosts;
  }
}

TEST(peer_table_simulation_test, HalfOfTheFleetDiesAtOnce) {
  constexpr size_t kHosts = 300;
  peer_table_simulation fleet({.hosts = kHosts});
  fleet.Run(kSettleTime);
  for (size_t i = 0; i < kHosts / 2; ++i) {
    fleet.Kill(i);
  }
  // Those whose watchers died too are noticed by the next ones in turn.
  fleet.Run(seconds(5));
  size_t held = 0;
  for (size_t i = 0; i < kHosts / 2; ++i) {
    held += kHosts / 2 - fleet.CountMissing(i);
  }
  EXPECT_EQ(held, 0U);
  EXPECT_EQ(fleet.CountUnseen(), 0U);
}

// Sound hosts are taken out of the answers, and lose what they own, where links
// lose packets.
TEST(peer_table_simulation_test, ALossyLinkIsNoDeath) {
  constexpr size_t kHosts = 100;
  for (const double loss : {0.01, 0.05, 0.2}) {
    peer_table_simulation fleet({.hosts = kHosts, .loss = loss});
    fleet.Run(kSettleTime + seconds(2));
    size_t unseen = 0;
    constexpr size_t kLooks = 50;
    for (size_t i = 0; i < kLooks; ++i) {
      fleet.Run(milliseconds(100));
      unseen += fleet.CountUnseen();
    }
    const double part = static_cast<double>(unseen) / kLooks / kHosts / kHosts;
    std::printf("%.0f%% loss: %.5f of the pairs unseen\n", 100 * loss, part);
    EXPECT_LE(part, loss < 0.1 ? 0.0 : 0.01) << loss;
  }
}

TEST(peer_table_simulation_test, ADomainThatIsCutOffIsBackSoonAfter) {
  constexpr size_t kHosts = 120;
  peer_table_simulation fleet({.hosts = kHosts});
  fleet.Run(kSettleTime);
  fleet.SetCut([&](size_t a, size_t b) {
    return (fleet.DomainOf(a) == 0) != (fleet.DomainOf(b) == 0);
  });
  fleet.Run(seconds(4));
  EXPECT_FALSE(fleet.Sees(1, 0));
  EXPECT_FALSE(fleet.Sees(0, 1));
  EXPECT_TRUE(fleet.Sees(1, 2));
  EXPECT_TRUE(fleet.Sees(0, 6));
  fleet.SetCut(nullptr);
  fleet.Run(seconds(3));
  EXPECT_EQ(fleet.CountUnseen(), 0U);
}

// A host that was suspended takes all others for gone when it wakes, and they
// hold it for gone although it works again.
TEST(peer_table_simulation_test, AHostThatFrozeIsBackSoonAfterItWakes) {
  constexpr size_t kHosts = 300;
  peer_table_simulation fleet({.hosts = kHosts});
  fleet.Run(kSettleTime);
  fleet.Freeze(5);
  fleet.Run(seconds(3));
  EXPECT_EQ(fleet.CountMissing(5), kHosts - 1);
  fleet.Wake(5);
  fleet.Run(seconds(1));
  EXPECT_EQ(fleet.CountUnseen(), 0U);
}

TEST(peer_table_simulation_test, ARestartAndALeaveAreKnownSoon) {
  for (const size_t hosts : {30, 300}) {
    peer_table_simulation fleet({.hosts = hosts});
    fleet.Run(kSettleTime);
    fleet.IncrementSelfVersion(9, true);
    fleet.Run(milliseconds(700));
    EXPECT_EQ(fleet.CountLeavingKnown(9), hosts - 1) << hosts;
    fleet.Kill(4);
    fleet.Run(seconds(2));
    EXPECT_EQ(fleet.CountMissing(4), hosts - 1) << hosts;
    fleet.Restart(4);
    fleet.Run(milliseconds(1000));
    EXPECT_EQ(fleet.CountMissing(4), 0U) << hosts;
  }
}

// What others are told of members grows with the fleet, and fills the links of
// a fleet that starts.
TEST(peer_table_simulation_test, NewsOfMembersAreBounded) {
  constexpr size_t kHosts = 300;
  peer_table_simulation fleet({.hosts = kHosts, .is_acquainted = false});
  // Whoever missed a piece of news is told in turn.
  fleet.Run(seconds(5));
  EXPECT_EQ(fleet.CountUnseen(), 0U);
  EXPECT_LE(fleet.most_news_in_a_beat(), 49U);
  fleet.Run(seconds(2));
  const size_t news = fleet.member_news_count();
  const size_t beats = fleet.beats();
  fleet.Run(seconds(2));
  EXPECT_LE(fleet.member_news_count() - news, fleet.beats() - beats)
      << "in a fleet at rest";
}

}  // namespace
}  // namespace cuminswitch
