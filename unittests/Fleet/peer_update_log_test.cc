// The placements that heartbeats carry to each peer.
#include "cuminswitch/Fleet/peer_update_log.h"

#include <gtest/gtest.h>

#include <vector>

#include "cuminswitch/Protocol/core_event.h"

namespace cuminswitch {
namespace {

using placement_log = peer_update_log<placed_prefix, 256>;

endpoint Peer(int number) {
  return {.address = "10.0.0." + std::to_string(number), .port = 1};
}

std::vector<placed_prefix> Placed(uint64_t first, uint64_t count) {
  std::vector<placed_prefix> list;
  for (uint64_t hash = first; hash < first + count; ++hash) {
    list.push_back(
        {.prefix = hash, .upstream = 1, .saved_weights = kNoWeights});
  }
  return list;
}

// Guards against nearly every request saving its prefix again in a fleet of 63
// daemons, so that the cache store evicts within seconds what others still
// need. A prefix is placed and saved, and the heartbeats of that round go to 16
// peers; the other peers get theirs in later rounds. They missed the placement
// when a heartbeat carried only the placements of its own round.
TEST(peer_update_log_test, SendsUpdatesOfEarlierRoundsToAPeer) {
  placement_log log;
  log.Add(Placed(1, 2));
  EXPECT_EQ(log.TakeFor(Peer(1)).size(), 2U);
  log.Add(Placed(3, 1));
  EXPECT_EQ(log.TakeFor(Peer(1)).size(), 1U);
  EXPECT_EQ(log.TakeFor(Peer(2)).size(), 3U);
}

TEST(peer_update_log_test, SendsNoUpdateTwice) {
  placement_log log;
  log.Add(Placed(1, 2));
  log.TakeFor(Peer(1));
  EXPECT_TRUE(log.TakeFor(Peer(1)).empty());
}

TEST(peer_update_log_test, BoundsTheUpdatesInAFrame) {
  placement_log log;
  log.TakeFor(Peer(1));
  for (uint64_t round = 0; round < 10; ++round) {
    log.Add(Placed(100 * round, 100));
  }
  const std::vector<placed_prefix> sent = log.TakeFor(Peer(1));
  EXPECT_EQ(sent.size(), placement_log::kCapacity);
  EXPECT_EQ(sent.back().prefix, 999U);
}

}  // namespace
}  // namespace cuminswitch
