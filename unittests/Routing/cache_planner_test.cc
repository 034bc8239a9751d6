// Where a prefix is copied from and saved to.
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

TEST_F(cache_planner_test, WhatNobodyHasIsComputedAndSaved) {
  EXPECT_EQ(Plan(0).source, kStore) << "another daemon may have saved it";
  EXPECT_EQ(Plan(0).sink, kStore);
}

TEST_F(cache_planner_test, WhatAnotherEngineHasIsCopiedFromThere) {
  PlaceAt(1);
  EXPECT_EQ(Plan(0).source, (endpoint{"10.0.0.2", 1}));
}

// Symptom: a fleet of 140 engines reads a tenth of its shared prompts again.
// Sequence: an engine has had a prefix for a while, so that it may have dropped
// it; the store has no copy of it; a request with it goes to another engine.
// Cause: only an engine that surely had it was asked, and then only the store.
TEST_F(cache_planner_test, AnEngineThatMayHaveItIsAskedBeforeAnEmptyStore) {
  replicas_.CountAdded(now_, "m", 1e6);
  PlaceAt(1);
  now_ += std::chrono::seconds(11);
  EXPECT_EQ(Plan(0).source, (endpoint{"10.0.0.2", 1}));
  prefixes_.RecordSaved(now_, 7, replicas_.WeightsAt(0, "m"));
  EXPECT_EQ(Plan(0).source, kStore) << "which has it for sure";
  now_ += std::chrono::seconds(120);
  EXPECT_EQ(Plan(0).source, kStore) << "nobody else may have it by now";
}

// Symptom: requests are made to wait for copies that the store cannot have.
// Sequence: a prefix is saved by engines with the older weights; one with the
// newer weights is asked for it.
TEST_F(cache_planner_test, WhatOtherWeightsSavedDoesNotCountAsSaved) {
  prefixes_.RecordSaved(now_, 7, replicas_.WeightsAt(0, "m"));
  EXPECT_FALSE(Plan(0).sink.has_value());
  Report("a", "3");
  model_.version = "3";
  EXPECT_EQ(Plan(0).sink, kStore) << "the newer weights save it anew";
}

// Symptom: the store's link is full of prompts that are never asked for again.
// Cause: a request's own part is saved along with the shared ones.
TEST_F(cache_planner_test, APrefixIsSavedOnceInAWhile) {
  prefixes_.RecordSaved(now_, 7, replicas_.WeightsAt(0, "m"));
  EXPECT_FALSE(Plan(0).sink.has_value());
  EXPECT_EQ(Plan(0).source, kStore);
  now_ += std::chrono::seconds(70);
  EXPECT_EQ(Plan(0).sink, kStore);
}

// Symptom: a copy takes longer than to compute what is copied.
// Sequence: engines compute 36,000 tokens a second; a prefix of 60 tokens is
// asked for at another engine, which takes a millisecond also where it has
// gone.
TEST_F(cache_planner_test, APrefixThatIsComputedAtOnceIsNotCopied) {
  replicas_.at(0).prefill_rate = 36'000;
  PlaceAt(1);
  EXPECT_FALSE(Plan(0, 60).source.has_value());
  EXPECT_FALSE(Plan(0, 60).sink.has_value());
  EXPECT_TRUE(Plan(0, 200).source.has_value());
  replicas_.at(0).prefill_rate = 360'000;
  EXPECT_FALSE(Plan(0, 200).source.has_value()) << "it follows their speed";
}

// Symptom: short requests wait for seconds on engines that have time.
// Sequence: 60 engines lose their caches with new weights; all long prefixes
// are copied from the store, whose link is full; a request with a prefix of 200
// tokens is placed and its copy waits behind them.
// Cause: a copy was asked of a link that was asked for all it carries already.
TEST_F(cache_planner_test, AShortPrefixIsNotAskedOfAFullLink) {
  model_.cache_stores = {{.address = kStore, .copy_rate = 1000}};
  EXPECT_TRUE(Plan(0, 60'000).source.has_value());
  EXPECT_FALSE(Plan(0, 200).source.has_value());
  EXPECT_FALSE(Plan(0, 200).sink.has_value());
}

// Symptom: two seconds pass before the first byte of requests with prefixes of
// 200 tokens, which an engine computes in 5 ms. Sequence: a quarter of 80
// engines crashes, and long prefixes are copied all the time. Cause: short ones
// were copied as long as any budget was left, and waited behind the long ones.
TEST_F(cache_planner_test, AShortPrefixIsNotAskedOfABusyLink) {
  model_.cache_stores = {{.address = kStore, .copy_rate = 10'000}};
  prefixes_.RecordSaved(now_, 7, replicas_.WeightsAt(0, "m"));
  EXPECT_TRUE(Plan(0, 12'000).source.has_value());
  EXPECT_FALSE(Plan(0, 150).source.has_value());
  EXPECT_TRUE(Plan(0, 6'000).source.has_value()) << "there is room for this";
}

// Symptom: for ten seconds after new weights most prefixes are computed again
// and again. Sequence: nothing is saved under the new weights yet; each request
// asks the store nevertheless. Cause: questions in vain were taken for copies,
// and used up what saving needed.
TEST_F(cache_planner_test, QuestionsInVainLeaveRoomForSaving) {
  model_.cache_stores = {{.address = kStore, .copy_rate = 10'000}};
  Report("a", "1");
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(Plan(0).source.has_value());
    EXPECT_FALSE(Plan(0).sink.has_value()) << "of no use with older weights";
  }
  Report("a", "2");
  EXPECT_EQ(Plan(0).sink, kStore);
}

// Symptom: a request runs on a cache that other weights made.
TEST_F(cache_planner_test, NothingIsCopiedFromAnEngineWithOtherWeights) {
  PlaceAt(1);
  Report("b", "1");
  EXPECT_EQ(Plan(0).source, kStore);
  Report("a", "1");
  EXPECT_FALSE(Plan(0).sink.has_value())
      << "what is known is known of the newest weights only";
}

// Symptom: a store's link carries half of what it could.
// Cause: a prefix was kept by a store in another failure domain than its home,
// and each copy took the link for twice as long.
TEST_F(cache_planner_test, APrefixIsKeptNearItsHome) {
  const endpoint near_a{"10.0.0.8", 8};
  const endpoint near_b{"10.0.0.9", 9};
  model_.cache_stores = {{.address = near_a, .failure_domain = "x"},
                         {.address = near_b, .failure_domain = "y"}};
  const bool is_at_a = *replicas_.PreferredReplica("m", 7) == 0;
  EXPECT_EQ(Plan(0).source, is_at_a ? near_a : near_b);
  EXPECT_EQ(Plan(1).source, is_at_a ? near_a : near_b)
      << "the same wherever it runs";
}

TEST_F(cache_planner_test, WithoutBudgetNothingIsAskedOfTheStore) {
  model_.cache_stores = {{.address = kStore, .copy_rate = 100}};
  EXPECT_TRUE(Plan(0).source.has_value());
  EXPECT_FALSE(Plan(0).source.has_value());
  EXPECT_FALSE(Plan(0).sink.has_value());
  PlaceAt(1);
  EXPECT_EQ(Plan(0).source, (endpoint{"10.0.0.2", 1}))
      << "an engine's link is another one";
}

TEST_F(cache_planner_test, TellsWhereAPrefixComesFromOrWhyItIsReadAgain) {
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
