// Who lives, and whom to tell.
#include "cuminswitch/Fleet/peer_table.h"

#include <gtest/gtest.h>

#include <map>

#include <set>
#include <string>

namespace cuminswitch {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};

endpoint Address(int number) {
  return {.address = "10.0.0." + std::to_string(number), .port = 1};
}

heartbeat_frame BeatOf(const std::string& name, int number) {
  return {.sender = {.name = name,
                     .incarnation = 1,
                     .peer_address = Address(number),
                     .caller_address = Address(number),
                     .is_ready = true},
          .recent_peers = {},
          .changing = {},
          .backlogs = {},
          .prefixes = {}};
}

peer_table MakeRoster(std::vector<endpoint> seeds = {}) {
  return peer_table({.self_name = "self",
                     .self_address = Address(1),
                     .seeds = std::move(seeds)});
}

// Symptom: callers are sent to a host that is gone.
TEST(peer_table_test, ASilentPeerIsOutWithinASecond) {
  peer_table roster = MakeRoster();
  EXPECT_TRUE(roster.OnHeartbeat(kStart, BeatOf("a", 2)));
  EXPECT_EQ(roster.ListAlive(kStart).size(), 1U);
  EXPECT_EQ(roster.ListAlive(kStart + std::chrono::milliseconds(700)).size(),
            1U);
  EXPECT_TRUE(roster.ListAlive(kStart + std::chrono::seconds(1)).empty());
}

TEST(peer_table_test, TellsNewsFromRepetition) {
  peer_table roster = MakeRoster();
  EXPECT_TRUE(roster.OnHeartbeat(kStart, BeatOf("a", 2)));
  EXPECT_FALSE(roster.OnHeartbeat(kStart, BeatOf("a", 2)));
  heartbeat_frame leaving = BeatOf("a", 2);
  leaving.sender.is_leaving = true;
  EXPECT_TRUE(roster.OnHeartbeat(kStart, leaving));
}

// Symptom: a restarted daemon is taken for leaving.
// Sequence: its first start says that it leaves; the second start beats; a late
// beat of the first start arrives.
TEST(peer_table_test, ABeatOfAnEarlierStartCountsNothing) {
  peer_table roster = MakeRoster();
  heartbeat_frame now = BeatOf("a", 2);
  now.sender.incarnation = 2;
  roster.OnHeartbeat(kStart, now);
  heartbeat_frame late = BeatOf("a", 2);
  late.sender.is_leaving = true;
  EXPECT_FALSE(roster.OnHeartbeat(kStart, late));
  EXPECT_FALSE(roster.ListAlive(kStart)[0].is_leaving);
}

TEST(peer_table_test, FindsPeersThroughSeedsAndPeers) {
  peer_table roster = MakeRoster({Address(2)});
  EXPECT_EQ(roster.ChooseTargets(kStart), std::vector{Address(2)});
  heartbeat_frame beat = BeatOf("b", 2);
  beat.recent_peers = {Address(1), Address(3)};
  roster.OnHeartbeat(kStart, beat);
  const std::vector<endpoint> targets = roster.ChooseTargets(kStart);
  EXPECT_EQ(std::set<endpoint>(targets.begin(), targets.end()),
            (std::set{Address(2), Address(3)}));
}

TEST(peer_table_test, ASilentAddressIsTriedRarely) {
  peer_table roster = MakeRoster({Address(2)});
  int tries = 0;
  for (int i = 0; i < 40; ++i) {
    tries += static_cast<int>(
        roster.ChooseTargets(kStart + i * std::chrono::milliseconds(100))
            .size());
  }
  EXPECT_EQ(tries, 4);
}

TEST(peer_table_test, TheCostOfARoundIsBoundedAndEverybodyIsReached) {
  std::vector<endpoint> seeds;
  for (int i = 2; i < 102; ++i) {
    seeds.push_back(Address(i));
  }
  peer_table roster = MakeRoster(seeds);
  std::set<endpoint> reached;
  for (int i = 0; i < 7; ++i) {
    const auto targets = roster.ChooseTargets(kStart);
    EXPECT_LE(targets.size(), 16U);
    reached.insert(targets.begin(), targets.end());
  }
  EXPECT_EQ(reached.size(), 100U);
}

// Symptom: in a large fleet one daemon's link is full, and most of the bytes
// between failure domains are its.
// Sequence: 300 daemons start; eight of them, two a failure domain, follow the
// store; the others ask a peer that is ahead for all 3,000 upstreams.
// Cause: all asked the one peer that knew most, wherever it was.
TEST(peer_table_test, QuestionsAreSpreadOverTheFollowersOfTheDomain) {
  constexpr int kDaemons = 300;
  constexpr int kDomains = 4;
  constexpr int kFollowers = 8;
  const auto domain_of = [](int i) {
    return "zone" + std::to_string(i % kDomains);
  };
  std::map<std::string, int> asked;
  int across = 0;
  for (int self = kFollowers; self < kDaemons; ++self) {
    peer_table roster({.self_name = "d" + std::to_string(self),
                       .self_address = {"10.0.0.1", 1},
                       .self_domain = domain_of(self),
                       .seeds = {}});
    for (int i = 0; i < kFollowers + 2; ++i) {
      heartbeat_frame beat = BeatOf("d" + std::to_string(i), i + 2);
      beat.sender.failure_domain = domain_of(i);
      beat.sender.has_store = i < kFollowers;
      beat.sender.revision = 100 + i;
      roster.OnHeartbeat(kStart, beat);
    }
    const daemon_record* ahead = roster.FindAhead(kStart, 5, 0);
    ASSERT_NE(ahead, nullptr);
    ++asked[ahead->name];
    across += ahead->failure_domain == domain_of(self) ? 0 : 1;
  }
  EXPECT_EQ(across, 0);
  ASSERT_EQ(asked.size(), kFollowers);
  for (const auto& [name, count] : asked) {
    EXPECT_LT(count, 60) << name << " (the fair part is 36)";
  }
}

// Symptom: a daemon learns nothing for seconds.
// Sequence: the peer that it asks has lost the way to it.
TEST(peer_table_test, AnotherPeerIsAskedNextTime) {
  peer_table roster = MakeRoster();
  for (const char* name : {"a", "b", "c", "d"}) {
    heartbeat_frame beat = BeatOf(name, 2 + (name[0] - 'a'));
    beat.sender.revision = 5;
    roster.OnHeartbeat(kStart, beat);
  }
  std::set<std::string> asked;
  for (uint64_t turn = 0; turn < 20; ++turn) {
    asked.insert(roster.FindAhead(kStart, 1, turn)->name);
  }
  EXPECT_EQ(asked.size(), 4U);
}

TEST(peer_table_test, FindsAPeerThatKnowsMore) {
  peer_table roster = MakeRoster();
  heartbeat_frame a = BeatOf("a", 2);
  a.sender.revision = 5;
  heartbeat_frame b = BeatOf("b", 3);
  b.sender.revision = 8;
  roster.OnHeartbeat(kStart, a);
  roster.OnHeartbeat(kStart, b);
  EXPECT_EQ(roster.FindAhead(kStart, 5, 0)->name, "b");
  EXPECT_EQ(roster.FindAhead(kStart, 8, 0), nullptr);
}

}  // namespace
}  // namespace cuminswitch
