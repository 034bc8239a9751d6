// What peers are told of placements.
#include "cuminswitch/Fleet/peer_update_log.h"

#include <gtest/gtest.h>

#include <vector>

#include "cuminswitch/Protocol/core_event.h"

namespace cuminswitch {
namespace {

using placement_news = peer_update_log<placed_prefix, 256>;

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

// Symptom: in a fleet of 63 daemons nearly every request saves its prefix once
// more, and the cache store drops within seconds what others still need.
// Sequence: a prefix is placed and saved; the beats of that round go to 16
// peers; the other peers' beats come in later rounds.
// Cause: beats carried the placements of their own round only.
TEST(peer_update_log_test, APeerWhoseTurnComesLaterIsToldAll) {
  placement_news news;
  news.Add(Placed(1, 2));
  EXPECT_EQ(news.TakeFor(Peer(1)).size(), 2U);
  news.Add(Placed(3, 1));
  EXPECT_EQ(news.TakeFor(Peer(1)).size(), 1U);
  EXPECT_EQ(news.TakeFor(Peer(2)).size(), 3U);
}

TEST(peer_update_log_test, NothingIsToldTwice) {
  placement_news news;
  news.Add(Placed(1, 2));
  news.TakeFor(Peer(1));
  EXPECT_TRUE(news.TakeFor(Peer(1)).empty());
}

TEST(peer_update_log_test, AFrameStaysBounded) {
  placement_news news;
  news.TakeFor(Peer(1));
  for (uint64_t round = 0; round < 10; ++round) {
    news.Add(Placed(100 * round, 100));
  }
  const std::vector<placed_prefix> told = news.TakeFor(Peer(1));
  EXPECT_EQ(told.size(), placement_news::kCapacity);
  EXPECT_EQ(told.back().prefix, 999U);
}

}  // namespace
}  // namespace cuminswitch
