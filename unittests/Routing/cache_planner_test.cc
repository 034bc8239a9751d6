// Tests of where prefixes are copied from and saved to.
#include "cuminswitch/Routing/cache_planner.h"

#include <gtest/gtest.h>

#include <vector>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Routing/copy_budget.h"
#include "cuminswitch/Routing/prefix_index.h"

namespace cuminswitch {
namespace {

const endpoint kStore{.address = "10.0.0.9", .port = 9};

class cache_planner_test : public testing::Test {
 protected:
  cache_planner_test() : prefixes_({}) {
    model_ = {.name = "m",
              .version = "2",
              .cache_stores = {{.address = kStore, .copy_rate = 1e6}}};
    configuration config;
    config.models = {model_};
    config.upstreams = {{.name = "a",
                         .address = {"10.0.0.1", 1},
                         .failure_domain = "x",
                         .serves = {"m"}},
                        {.name = "b",
                         .address = {"10.0.0.2", 1},
                         .failure_domain = "y",
                         .serves = {"m"}}};
    replicas_.Reconfigure(now_, config);
    Report("a", "2");
    Report("b", "2");
  }

  void Report(const char* name, const char* version) {
    replicas_.OnReport(now_, {.upstream = name,
                              .reachable = true,
                              .incarnation = 1,
                              .models = {{.name = "m", .version = version}}});
  }
  cache_plan Plan(replica_index chosen, uint32_t shared_tokens = 6000) {
    const std::vector<prefix_level> levels = {
        {.hash = 7, .tokens = shared_tokens},
        {.hash = 8, .tokens = shared_tokens + 100}};
    const std::vector<replica_index> eligible = {0, 1};
    return PlanCache({.now = now_,
                      .model = model_,
                      .levels = levels,
                      .chosen = chosen,
                      .eligible = eligible,
                      .replicas = replicas_,
                      .prefixes = prefixes_,
                      .budget = budget_});
  }
  void PlaceAt(replica_index index) {
    prefixes_.Touch(7, {.index = index, .incarnation = 1, .used_at = now_});
  }

  time_point now_{std::chrono::seconds(100)};
  model_spec model_;
  replica_table replicas_;
  prefix_index prefixes_;
  copy_budget budget_;
};

TEST_F(cache_planner_test, SavesAPrefixWithoutKnownHolder) {
  EXPECT_EQ(Plan(0).source, kStore) << "another daemon may have saved it";
  EXPECT_EQ(Plan(0).sink, kStore);
}

TEST_F(cache_planner_test, CopiesFromAnotherEngineThatHasThePrefix) {
  PlaceAt(1);
  EXPECT_EQ(Plan(0).source, (endpoint{"10.0.0.2", 1}));
}

// Guards against a fleet of 140 engines that recomputed a tenth of its shared
// prompts. A request with a prefix goes to an engine without it. Another engine
// used the prefix some time ago and may have evicted it, and the store has no
// copy. Copies were requested only from an engine that was certain to have the
// prefix, and otherwise only from the store.
TEST_F(cache_planner_test, PrefersAProbableHolderToAStoreWithoutThePrefix) {
  replicas_.CountAdded(now_, "m", 1e6);
  PlaceAt(1);
  now_ += std::chrono::seconds(11);
  EXPECT_EQ(Plan(0).source, (endpoint{"10.0.0.2", 1}));
  prefixes_.RecordSaved(now_, 7, replicas_.WeightsAt(0, "m"));
  EXPECT_EQ(Plan(0).source, kStore) << "the store is certain to have it";
  now_ += std::chrono::seconds(120);
  EXPECT_EQ(Plan(0).source, kStore) << "no engine is likely to have it";
}

// Guards against requests that wait for copies which the store does not have: a
// prefix was saved by engines with older weights, and a request with it runs on
// newer weights.
TEST_F(cache_planner_test, PrefixSavedByOtherWeightsIsSavedAgain) {
  prefixes_.RecordSaved(now_, 7, replicas_.WeightsAt(0, "m"));
  EXPECT_FALSE(Plan(0).sink.has_value());
  Report("a", "3");
  model_.version = "3";
  EXPECT_EQ(Plan(0).sink, kStore) << "the newer weights save it again";
}

// Guards against a store's link that is saturated by prompts which are never
// requested again: a request's unshared tokens are saved along with the shared
// prefix, so a prefix must be saved again only after its lifetime.
TEST_F(cache_planner_test, SavesAPrefixAgainOnlyAfterItsLifetime) {
  prefixes_.RecordSaved(now_, 7, replicas_.WeightsAt(0, "m"));
  EXPECT_FALSE(Plan(0).sink.has_value());
  EXPECT_EQ(Plan(0).source, kStore);
  now_ += std::chrono::seconds(70);
  EXPECT_EQ(Plan(0).sink, kStore);
}

// Guards against copies that take longer than computing the prefix: engines
// compute 36,000 tokens per second, and a lookup of a prefix of 60 tokens at
// another engine takes 1 ms even if it misses.
TEST_F(cache_planner_test, DoesNotCopyPrefixesThatAreFastToCompute) {
  replicas_.at(0).prefill_rate = 36'000;
  PlaceAt(1);
  EXPECT_FALSE(Plan(0, 60).source.has_value());
  EXPECT_FALSE(Plan(0, 60).sink.has_value());
  EXPECT_TRUE(Plan(0, 200).source.has_value());
  replicas_.at(0).prefill_rate = 360'000;
  EXPECT_FALSE(Plan(0, 200).source.has_value())
      << "the bound follows the prefill rate";
}

// Guards against short requests that wait for seconds on idle engines. 60
// engines lose their caches because of new weights, and all long prefixes are
// copied from the store, which saturates its link. The copy of a prefix of 200
// tokens was requested too and waited behind them.
TEST_F(cache_planner_test, DoesNotCopyAShortPrefixOverASaturatedLink) {
  model_.cache_stores = {{.address = kStore, .copy_rate = 1000}};
  EXPECT_TRUE(Plan(0, 60'000).source.has_value());
  EXPECT_FALSE(Plan(0, 200).source.has_value());
  EXPECT_FALSE(Plan(0, 200).sink.has_value());
}

// Guards against a time to first byte of 2 s for requests with prefixes of 200
// tokens, which an engine computes in 5 ms. After a quarter of 80 engines
// crashed, long prefixes were copied continuously. Short ones were copied as
// long as any budget was left, and waited behind the long ones.
TEST_F(cache_planner_test, DoesNotCopyAShortPrefixOverABusyLink) {
  model_.cache_stores = {{.address = kStore, .copy_rate = 10'000}};
  prefixes_.RecordSaved(now_, 7, replicas_.WeightsAt(0, "m"));
  EXPECT_TRUE(Plan(0, 12'000).source.has_value());
  EXPECT_FALSE(Plan(0, 150).source.has_value());
  EXPECT_TRUE(Plan(0, 6'000).source.has_value())
      << "budget is left for a long prefix";
}

// Guards against prefixes that are recomputed again and again for 10 s after
// the publication of new weights. No prefix is saved for the new weights yet,
// but each request tries to copy from the store. These misses were charged to
// the budget as copies and left nothing for saving.
TEST_F(cache_planner_test, MissesAtTheStoreLeaveBudgetForSaving) {
  model_.cache_stores = {{.address = kStore, .copy_rate = 10'000}};
  Report("a", "1");
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(Plan(0).source.has_value());
    EXPECT_FALSE(Plan(0).sink.has_value())
        << "prefixes of older weights are not saved";
  }
  Report("a", "2");
  EXPECT_EQ(Plan(0).sink, kStore);
}

// Guards against a request that uses cached prefixes of other weights.
TEST_F(cache_planner_test, DoesNotCopyFromAnEngineWithOtherWeights) {
  PlaceAt(1);
  Report("b", "1");
  EXPECT_EQ(Plan(0).source, kStore);
  Report("a", "1");
  EXPECT_FALSE(Plan(0).sink.has_value())
      << "only prefixes of the newest weights are saved";
}

// Guards against a store's link at half of its throughput: the prefix was kept
// in a store outside the failure domain of its preferred replica, and each copy
// occupied the link for twice as long.
TEST_F(cache_planner_test, UsesAStoreInTheFailureDomainOfThePreferredReplica) {
  const endpoint near_a{"10.0.0.8", 8};
  const endpoint near_b{"10.0.0.9", 9};
  model_.cache_stores = {{.address = near_a, .failure_domain = "x"},
                         {.address = near_b, .failure_domain = "y"}};
  const bool is_at_a = *replicas_.PreferredReplica("m", 7) == 0;
  EXPECT_EQ(Plan(0).source, is_at_a ? near_a : near_b);
  EXPECT_EQ(Plan(1).source, is_at_a ? near_a : near_b)
      << "the store does not depend on the chosen replica";
}

TEST_F(cache_planner_test, DoesNotUseTheStoreWithoutBudget) {
  model_.cache_stores = {{.address = kStore, .copy_rate = 100}};
  EXPECT_TRUE(Plan(0).source.has_value());
  EXPECT_FALSE(Plan(0).source.has_value());
  EXPECT_FALSE(Plan(0).sink.has_value());
  PlaceAt(1);
  EXPECT_EQ(Plan(0).source, (endpoint{"10.0.0.2", 1}))
      << "engines have links of their own";
}

TEST_F(cache_planner_test, ReportsTheOriginOfAPrefixOrWhyItIsRecomputed) {
  EXPECT_EQ(Plan(0).origin, prefix_origin::kStoreAssumed);
  EXPECT_EQ(Plan(0, 10).origin, prefix_origin::kTooShort);
  PlaceAt(1);
  EXPECT_EQ(Plan(0).origin, prefix_origin::kEngine);
  EXPECT_EQ(Plan(1).origin, prefix_origin::kLocal);
  model_.cache_stores.clear();
  Report("b", "1");
  EXPECT_EQ(Plan(0).origin, prefix_origin::kOtherWeights);
  prefixes_.Touch(7, {.index = 1, .incarnation = 5, .used_at = now_});
  EXPECT_EQ(Plan(0).origin, prefix_origin::kGone);
}

}  // namespace
}  // namespace cuminswitch
