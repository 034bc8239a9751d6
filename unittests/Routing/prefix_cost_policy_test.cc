#include "cuminswitch/Routing/prefix_cost_policy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

#include "cuminswitch/Routing/placement_query.h"
#include "cuminswitch/Routing/prefix_index.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {
namespace {

constexpr uint32_t kContractTokens = 6000;
constexpr uint32_t kPromptTokens = 6100;

class prefix_cost_policy_test : public testing::Test {
 protected:
  prefix_cost_policy_test() : prefixes_({.capacity = 1000}) {
    configuration config;
    config.models = {{.name = "m", .version = "1"}};
    for (int i = 0; i < 12; ++i) {
      config.upstreams.push_back({.name = "u" + std::to_string(100 + i),
                                  .serves = {"m"},
                                  .max_in_flight = 100});
    }
    table_.Reconfigure(now_, config);
    for (const upstream_spec& spec : config.upstreams) {
      table_.OnReport(now_, {.upstream = spec.name,
                             .reachable = true,
                             .incarnation = 1,
                             .models = {{.name = "m", .version = "1"}}});
    }
    eligible_.resize(12);
    has_free_slot_.assign(12, true);
    std::iota(eligible_.begin(), eligible_.end(), 0);
  }

  placement Choose(uint64_t contract, uint64_t order = 99) {
    levels_ = {{.hash = contract, .tokens = kContractTokens},
               {.hash = order, .tokens = kPromptTokens}};
    return policy_.Choose(MakeQuery());
  }

  placement_query MakeQuery() {
    return {.now = now_,
            .levels = levels_,
            .prompt_tokens = kPromptTokens,
            .eligible = eligible_,
            .has_free_slot = has_free_slot_,
            .replicas = table_,
            .prefixes = prefixes_,
            .reuse_weight = 3};
  }

  /// Returns all replicas in rendezvous order for the contract, most preferred
  /// first.
  std::vector<replica_index> RankReplicas(uint64_t contract) const {
    std::vector<replica_index> ranked = eligible_;
    std::sort(ranked.begin(), ranked.end(), [&](auto a, auto b) {
      return RendezvousWeight(contract, table_[a].name_hash) >
             RendezvousWeight(contract, table_[b].name_hash);
    });
    return ranked;
  }

  void Warm(uint64_t contract, replica_index index, uint64_t incarnation = 1) {
    prefixes_.Touch(
        contract,
        {.index = index, .incarnation = incarnation, .used_at = now_});
  }

  time_point now_{std::chrono::seconds(100)};
  replica_table table_;
  prefix_index prefixes_;
  std::vector<replica_index> eligible_;
  std::vector<bool> has_free_slot_;
  std::vector<prefix_level> levels_;
  prefix_cost_policy policy_;
};

TEST_F(prefix_cost_policy_test,
       ChoosesThePreferredReplicaThatHasThePrefixCached) {
  const std::vector<replica_index> ranked = RankReplicas(5);
  Warm(5, ranked[1]);
  table_.OnDispatch(ranked[0], kContractTokens);
  const placement chosen = Choose(5);
  EXPECT_EQ(chosen.index, ranked[1]);
  EXPECT_GT(chosen.expected_cached_tokens, 0.9 * kContractTokens);
}

// Guards against daemons that have just started and scatter a contract over all
// engines: with empty tables, each would choose for itself.
TEST_F(prefix_cost_policy_test, DaemonsWithoutStateAgreeOnAReplica) {
  for (uint64_t contract = 1; contract < 200; ++contract) {
    prefix_cost_policy other;
    const placement mine = Choose(contract);
    EXPECT_EQ(other.Choose(MakeQuery()).index, mine.index);
  }
}

// Guards against a request that is placed for a cached contract which was lost
// in a crash: a new incarnation of an engine starts with an empty cache.
TEST_F(prefix_cost_policy_test, IgnoresHoldersOfAnEarlierIncarnation) {
  const std::vector<replica_index> ranked = RankReplicas(5);
  table_.OnDispatch(ranked[0], 2 * kContractTokens);
  Warm(5, ranked[2], 0);
  EXPECT_EQ(Choose(5).index, ranked[1]);
  Warm(5, ranked[2], 1);
  EXPECT_EQ(Choose(5).index, ranked[2]);
}

TEST_F(prefix_cost_policy_test,
       HotPrefixSpreadsWhenItsQueueExceedsRecomputation) {
  const std::vector<replica_index> ranked = RankReplicas(5);
  table_.OnDispatch(ranked[0], 5 * kContractTokens);
  EXPECT_EQ(Choose(5).index, ranked[1]);
}

// Guards against daemons that all send a hot prefix to the same busy replica.
TEST_F(prefix_cost_policy_test,
       HotPrefixIsSpreadOverTheBusyReplicasThatHaveIt) {
  const std::vector<replica_index> ranked = RankReplicas(5);
  peer_placements report{.peer = "p"};
  for (size_t rank = 0; rank < 2; ++rank) {
    Warm(5, ranked[rank]);
    report.backlogs.push_back(
        {.upstream = table_[ranked[rank]].name_hash, .tokens = kPromptTokens});
  }
  const auto count_first = [&] {
    int first = 0;
    for (uint64_t order = 100; order < 200; ++order) {
      const replica_index chosen = Choose(5, order).index;
      EXPECT_TRUE(chosen == ranked[0] || chosen == ranked[1]);
      first += chosen == ranked[0] ? 1 : 0;
    }
    return first;
  };
  EXPECT_EQ(count_first(), ranked[0] < ranked[1] ? 100 : 0);
  for (int i = 0; i < 20; ++i) {
    now_ += std::chrono::milliseconds(500);
    table_.OnPeerPlacements(now_, report);
  }
  Warm(5, ranked[0]);
  Warm(5, ranked[1]);
  EXPECT_NEAR(count_first(), 50, 20);
}

TEST_F(prefix_cost_policy_test, LongUnusedPrefixIsExpectedToBeEvicted) {
  const std::vector<replica_index> ranked = RankReplicas(5);
  Warm(5, ranked[2]);
  table_.OnDispatch(ranked[0], 2 * kContractTokens);
  EXPECT_EQ(Choose(5).index, ranked[2]);
  now_ += std::chrono::seconds(60);
  EXPECT_NE(Choose(5).index, ranked[2]);
}

// Guards against prefixes that are recomputed on engine after engine under
// load: a preferred replica that had no free slot for a moment was skipped.
TEST_F(prefix_cost_policy_test,
       WaitsForAReplicaWithThePrefixThatSoonHasAFreeSlot) {
  const replica_index preferred = RankReplicas(5)[0];
  Warm(5, preferred);
  has_free_slot_[preferred] = false;
  const placement chosen = Choose(5);
  EXPECT_EQ(chosen.index, preferred);
  EXPECT_TRUE(chosen.must_wait);
}

/// Reference implementation of `prefix_cost_policy::Choose()` without its
/// optimizations.
placement ChooseByReference(const placement_query& query) {
  const prefix_level& shared = query.levels[query.levels.size() - 2];
  std::vector<replica_index> ranked(query.eligible.begin(),
                                    query.eligible.end());
  std::sort(ranked.begin(), ranked.end(), [&](auto a, auto b) {
    return RendezvousWeight(shared.hash, query.replicas[a].name_hash) >
           RendezvousWeight(shared.hash, query.replicas[b].name_hash);
  });
  const double prior[] = {0.9, 0.3, 0.1};
  const double uses = query.prefixes.RecentUses(query.now, shared.hash);
  const double weight = 1 + (query.reuse_weight - 1) / (1 + uses / 60);
  placement best;
  double best_cost = INFINITY;
  for (size_t i = 0; i < query.eligible.size(); ++i) {
    const replica_index index = query.eligible[i];
    double cached = 0;
    for (size_t rank = 0; rank < 3 && rank < ranked.size(); ++rank) {
      if (ranked[rank] == index) {
        cached = prior[rank] * shared.tokens;
      }
    }
    const bool is_preferred = cached > 0;
    for (const prefix_level& level : query.levels) {
      for (const prefix_holder& holder : query.prefixes.Find(level.hash)) {
        if (holder.index == index && is_preferred) {
          cached =
              std::max(cached, prefix_cost_policy::EstimateHit(query, holder) *
                                   level.tokens);
        }
      }
    }
    const replica& item = query.replicas[index];
    const double slot_wait =
        query.has_free_slot[i]
            ? 0
            : query.replicas.EstimateSecondsToFreeSlot(query.now, index);
    const double missing = std::max(0.0, shared.tokens - cached);
    const double unshared =
        query.prompt_tokens - std::max<double>(shared.tokens, cached);
    const double waiting = query.replicas.EstimateWaiting(query.now, index);
    const double cost =
        slot_wait + query.replicas.EstimateQueueSeconds(query.now, index) +
        (unshared + (weight + waiting) * missing) / item.prefill_rate +
        0.002 * item.in_flight;
    if (cost < best_cost) {
      best_cost = cost;
      best = {.index = index,
              .must_wait = !query.has_free_slot[i],
              .expected_cached_tokens = cached};
    }
  }
  return best;
}

TEST_F(prefix_cost_policy_test, AgreesWithTheReferenceImplementation) {
  std::mt19937_64 random(8);
  for (int round = 0; round < 3000; ++round) {
    Warm(random() % 20, static_cast<replica_index>(random() % 12),
         random() % 2);
    table_.OnDispatch(static_cast<replica_index>(random() % 12),
                      static_cast<double>(random() % 4000));
    eligible_.clear();
    has_free_slot_.clear();
    prefixes_.CountUse(now_, random() % 20);
    for (replica_index index = 0; index < 12; ++index) {
      if (random() % 4 != 0) {
        eligible_.push_back(index);
        has_free_slot_.push_back(random() % 3 != 0);
      }
    }
    if (eligible_.empty()) {
      continue;
    }
    const placement chosen = Choose(random() % 20, random() % 20);
    const placement expected = ChooseByReference(MakeQuery());
    EXPECT_EQ(chosen.index, expected.index);
    EXPECT_EQ(chosen.must_wait, expected.must_wait);
    EXPECT_DOUBLE_EQ(chosen.expected_cached_tokens,
                     expected.expected_cached_tokens);
  }
}

}  // namespace
}  // namespace cuminswitch
