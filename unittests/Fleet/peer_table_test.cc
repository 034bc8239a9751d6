// Which peers are alive, and which of them to contact.
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

heartbeat_frame MakeHeartbeat(const std::string& name, int number) {
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

peer_table MakeTable(std::vector<endpoint> seeds = {}) {
  return peer_table({.self_name = "self",
                     .self_address = Address(1),
                     .seeds = std::move(seeds)});
}

// Guards against callers being sent to a host that has failed.
TEST(peer_table_test, DropsAPeerWithoutHeartbeatsWithinASecond) {
  peer_table table = MakeTable();
  EXPECT_TRUE(table.OnHeartbeat(kStart, MakeHeartbeat("a", 2)));
  EXPECT_EQ(table.ListAlive(kStart).size(), 1U);
  EXPECT_EQ(table.ListAlive(kStart + std::chrono::milliseconds(700)).size(),
            1U);
  EXPECT_TRUE(table.ListAlive(kStart + std::chrono::seconds(1)).empty());
}

TEST(peer_table_test, ReportsOnlyAChangedRecordAsChange) {
  peer_table table = MakeTable();
  EXPECT_TRUE(table.OnHeartbeat(kStart, MakeHeartbeat("a", 2)));
  EXPECT_FALSE(table.OnHeartbeat(kStart, MakeHeartbeat("a", 2)));
  heartbeat_frame leaving = MakeHeartbeat("a", 2);
  leaving.sender.is_leaving = true;
  EXPECT_TRUE(table.OnHeartbeat(kStart, leaving));
}

// Guards against a restarted daemon being taken for leaving: its first
// incarnation sends that it leaves, the second one sends a heartbeat, and then
// a delayed heartbeat of the first one arrives.
TEST(peer_table_test, IgnoresAHeartbeatOfAnEarlierIncarnation) {
  peer_table table = MakeTable();
  heartbeat_frame current = MakeHeartbeat("a", 2);
  current.sender.incarnation = 2;
  table.OnHeartbeat(kStart, current);
  heartbeat_frame late = MakeHeartbeat("a", 2);
  late.sender.is_leaving = true;
  EXPECT_FALSE(table.OnHeartbeat(kStart, late));
  EXPECT_FALSE(table.ListAlive(kStart)[0].is_leaving);
}

TEST(peer_table_test, FindsPeersFromSeedsAndAdvertisedAddresses) {
  peer_table table = MakeTable({Address(2)});
  EXPECT_EQ(table.ChooseTargets(kStart), std::vector{Address(2)});
  heartbeat_frame heartbeat = MakeHeartbeat("b", 2);
  heartbeat.recent_peers = {Address(1), Address(3)};
  table.OnHeartbeat(kStart, heartbeat);
  const std::vector<endpoint> targets = table.ChooseTargets(kStart);
  EXPECT_EQ(std::set<endpoint>(targets.begin(), targets.end()),
            (std::set{Address(2), Address(3)}));
}

TEST(peer_table_test, ContactsAnUnresponsiveAddressRarely) {
  peer_table table = MakeTable({Address(2)});
  int tries = 0;
  for (int i = 0; i < 40; ++i) {
    tries += static_cast<int>(
        table.ChooseTargets(kStart + i * std::chrono::milliseconds(100))
            .size());
  }
  EXPECT_EQ(tries, 4);
}

TEST(peer_table_test, BoundsARoundAndReachesAllAddressesInRotation) {
  std::vector<endpoint> seeds;
  for (int i = 2; i < 102; ++i) {
    seeds.push_back(Address(i));
  }
  peer_table table = MakeTable(seeds);
  std::set<endpoint> reached;
  for (int i = 0; i < 7; ++i) {
    const auto targets = table.ChooseTargets(kStart);
    EXPECT_LE(targets.size(), 16U);
    reached.insert(targets.begin(), targets.end());
  }
  EXPECT_EQ(reached.size(), 100U);
}

// Guards against one daemon's link being full in a large fleet, with most of
// the traffic between failure domains. 300 daemons start, of which eight, two
// per failure domain, follow the store; the others request all 3,000 upstreams
// from a peer with newer items. It happened when all of them chose the peer
// with the newest items, in whichever domain it was.
TEST(peer_table_test, SpreadsItemsRequestsOverTheFollowersOfTheDomain) {
  constexpr int kDaemons = 300;
  constexpr int kDomains = 4;
  constexpr int kFollowers = 8;
  const auto domain_of = [](int i) {
    return "zone" + std::to_string(i % kDomains);
  };
  std::map<std::string, int> receivers;
  int across = 0;
  for (int self = kFollowers; self < kDaemons; ++self) {
    peer_table table({.self_name = "d" + std::to_string(self),
                      .self_address = {"10.0.0.1", 1},
                      .self_domain = domain_of(self),
                      .seeds = {}});
    for (int i = 0; i < kFollowers + 2; ++i) {
      heartbeat_frame heartbeat = MakeHeartbeat("d" + std::to_string(i), i + 2);
      heartbeat.sender.failure_domain = domain_of(i);
      heartbeat.sender.has_store = i < kFollowers;
      heartbeat.sender.revision = 100 + i;
      table.OnHeartbeat(kStart, heartbeat);
    }
    const daemon_record* ahead = table.FindAhead(kStart, 5, 0);
    ASSERT_NE(ahead, nullptr);
    ++receivers[ahead->name];
    across += ahead->failure_domain == domain_of(self) ? 0 : 1;
  }
  EXPECT_EQ(across, 0);
  ASSERT_EQ(receivers.size(), kFollowers);
  for (const auto& [name, count] : receivers) {
    EXPECT_LT(count, 60) << name << " (the even share is 36)";
  }
}

// Guards against a daemon getting no items for seconds when the peer from which
// it requests them cannot reach it.
TEST(peer_table_test, ChoosesAnotherPeerForTheNextRequest) {
  peer_table table = MakeTable();
  for (const char* name : {"a", "b", "c", "d"}) {
    heartbeat_frame heartbeat = MakeHeartbeat(name, 2 + (name[0] - 'a'));
    heartbeat.sender.revision = 5;
    table.OnHeartbeat(kStart, heartbeat);
  }
  std::set<std::string> receivers;
  for (uint64_t number = 0; number < 20; ++number) {
    receivers.insert(table.FindAhead(kStart, 1, number)->name);
  }
  EXPECT_EQ(receivers.size(), 4U);
}

// Guards against a second request to a peer that did not reply to the first.
TEST(peer_table_test, RequestsItemsFromTheUnresponsivePeerLast) {
  peer_table table = MakeTable();
  for (const char* name : {"a", "b"}) {
    heartbeat_frame heartbeat = MakeHeartbeat(name, 2 + (name[0] - 'a'));
    heartbeat.sender.revision = 5;
    table.OnHeartbeat(kStart, heartbeat);
  }
  for (uint64_t number = 0; number < 20; ++number) {
    EXPECT_EQ(table.FindAhead(kStart, 1, number, "a")->name, "b");
  }
  heartbeat_frame behind = MakeHeartbeat("b", 3);
  behind.sender.incarnation += 1;
  behind.sender.revision = 0;
  table.OnHeartbeat(kStart, behind);
  EXPECT_EQ(table.FindAhead(kStart, 1, 0, "a")->name, "a");
}

TEST(peer_table_test, FindsAPeerWithNewerItems) {
  peer_table table = MakeTable();
  heartbeat_frame a = MakeHeartbeat("a", 2);
  a.sender.revision = 5;
  heartbeat_frame b = MakeHeartbeat("b", 3);
  b.sender.revision = 8;
  table.OnHeartbeat(kStart, a);
  table.OnHeartbeat(kStart, b);
  EXPECT_EQ(table.FindAhead(kStart, 5, 0)->name, "b");
  EXPECT_EQ(table.FindAhead(kStart, 8, 0), nullptr);
}

}  // namespace
}  // namespace cuminswitch
