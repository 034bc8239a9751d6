// What may run again, how often, and on which weights.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <variant>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Protocol/shard_directory.h"
#include "take_action.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

class lone_daemon : public shard_directory {
 public:
  const member* FindOwner(shard_number /*shard*/) const override {
    return nullptr;
  }
  size_t CountServing() const override { return fleet_size; }
  size_t fleet_size = 1;
};

class repeat_rules_test : public testing::Test {
 protected:
  repeat_rules_test() {
    request_router::options options;
    options.self.incarnation = 1;
    options.retries = {.share = 0, .burst = 20, .is_shared = true};
    options.refuse_without_upstream = true;
    options.replicas = {.old_weights_time = milliseconds(4000),
                        .old_weights_grace = milliseconds(1000),
                        .old_weights_limit = milliseconds(5700)};
    router_.emplace(options, fleet_);
    Configure("1");
    for (const char* name : {"a", "b", "c", "d", "e"}) {
      Report(name, "1");
    }
    now_ += std::chrono::seconds(10);
  }

  void Configure(const std::string& version) {
    auto config = std::make_shared<configuration>();
    config->models = {{.name = "m", .version = version}};
    config->services = {{.name = "s", .repeatable = true}};
    for (const char* name : {"a", "b", "c", "d", "e"}) {
      config->upstreams.push_back(
          {.name = name, .serves = {"m", "s"}, .max_in_flight = 9});
    }
    config->workspaces = {{.name = "w", .uses = {"m", "s"}}};
    router_->OnConfiguration(now_, config, out_);
  }

  void Report(const std::string& upstream, const std::string& version) {
    router_->OnUpstreamReport(now_,
                              {.upstream = upstream,
                               .reachable = true,
                               .incarnation = 1,
                               .models = {{.name = "m", .version = version}}},
                              out_);
  }

  void Arrive(request_id id,
              repeat_rule rule,
              uint32_t max_runs,
              const std::string& target = "s") {
    router_->OnRequest(now_,
                       {.request = id,
                        .workspace = "w",
                        .target = target,
                        .prompt_tokens = target == "m" ? 100U : 0U,
                        .time_limit = std::chrono::seconds(60),
                        .repeats = rule,
                        .max_runs = max_runs},
                       out_);
  }

  template <class Action>
  std::optional<Action> Take() {
    return TakeAction<Action>(out_);
  }

  /// Ends attempts as they come; returns how many there were.
  int EndAll(const attempt_ended& end) {
    int count = 0;
    while (const auto dispatch = Take<dispatch_attempt>()) {
      ++count;
      attempt_ended event = end;
      event.attempt = dispatch->attempt;
      router_->OnAttemptEnded(now_, event, out_);
    }
    return count;
  }

  lone_daemon fleet_;
  std::optional<request_router> router_;
  time_point now_{std::chrono::seconds(100)};
  action_list out_;
};

TEST_F(repeat_rules_test, WhatRunsOnceIsNotTriedAgainAfterDoubt) {
  Arrive(1, repeat_rule::kOnce, 1);
  EXPECT_EQ(EndAll({.result = outcome::kUnknown}), 1);
  EXPECT_EQ(Take<local_response>()->result, outcome::kUnknown);
}

TEST_F(repeat_rules_test, WhatRepeatsRunsAtMostAsOftenAsItsRouteAllows) {
  Arrive(1, repeat_rule::kRepeatable, 2);
  EXPECT_EQ(EndAll({.result = outcome::kUnknown}), 2);
}

// Symptom: after one request that every upstream refused, nothing is retried.
// Sequence: all upstreams refuse it, one after the other, again and again.
// Cause: its placements were bounded by the fleet's budget only.
TEST_F(repeat_rules_test, ARefusedRequestLeavesTheBudgetToOthers) {
  Arrive(1, repeat_rule::kOnce, 1);
  EXPECT_EQ(EndAll({.result = outcome::kNotRun, .refused_busy = true}), 3);
  const auto answer = Take<local_response>();
  EXPECT_EQ(answer->result, outcome::kNotRun);
  EXPECT_EQ(answer->status, 503U);
  EXPECT_GT(answer->retry_after, duration(0));
}

TEST_F(repeat_rules_test, AnUpstreamThatWasNotReachedCostsNoRetry) {
  for (request_id id = 1; id <= 30; ++id) {
    Arrive(id, repeat_rule::kOnce, 1);
    const auto first = Take<dispatch_attempt>();
    ASSERT_TRUE(first);
    router_->OnAttemptEnded(now_,
                            {.attempt = first->attempt,
                             .result = outcome::kNotRun,
                             .unreachable = true},
                            out_);
    const auto second = Take<dispatch_attempt>();
    ASSERT_TRUE(second) << "the budget of 20 was spent at " << id;
    EXPECT_NE(second->upstream, first->upstream);
    router_->OnAttemptEnded(
        now_, {.attempt = second->attempt, .result = outcome::kAnswered}, out_);
    now_ += std::chrono::seconds(20);
  }
}

// Symptom: a service gets more repeats than the whole fleet may send.
TEST_F(repeat_rules_test, TheFleetSharesItsBudget) {
  fleet_.fleet_size = 10;
  int repeats = 0;
  for (request_id id = 1; id <= 10; ++id) {
    Arrive(id, repeat_rule::kRepeatable, 2);
    repeats += EndAll({.result = outcome::kUnknown, .failed_in_run = true}) - 1;
    now_ += milliseconds(10);
  }
  EXPECT_EQ(repeats, 2) << "a tenth of 20";
}

TEST_F(repeat_rules_test, WithoutUpstreamItIsRefusedAtOnce) {
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    router_->OnUpstreamChanging({.upstream = name, .is_changing = true});
  }
  Arrive(1, repeat_rule::kOnce, 1);
  EXPECT_FALSE(Take<dispatch_attempt>());
  EXPECT_EQ(Take<local_response>()->status, 503U);
}

TEST_F(repeat_rules_test, OldWeightsServeForAWhile) {
  Configure("2");
  Arrive(1, repeat_rule::kOnce, 1, "m");
  EXPECT_EQ(Take<dispatch_attempt>()->weights_version, "1");
  now_ += milliseconds(4100);
  Arrive(2, repeat_rule::kOnce, 1, "m");
  EXPECT_FALSE(Take<dispatch_attempt>());
  Report("c", "2");
  Arrive(3, repeat_rule::kOnce, 1, "m");
  EXPECT_EQ(Take<dispatch_attempt>()->weights_version, "2");
}

// Symptom: requests run on weights that were superseded long ago.
// Sequence: versions are named every three seconds; an engine still has the
// first one.
// Cause: the time for old weights ran anew with each naming.
TEST_F(repeat_rules_test, TheTimeOfOldWeightsRunsFromTheNextNaming) {
  Configure("2");
  now_ += milliseconds(3000);
  Configure("3");
  now_ += milliseconds(1500);
  Arrive(1, repeat_rule::kOnce, 1, "m");
  EXPECT_FALSE(Take<dispatch_attempt>());
}

// Symptom: a daemon that has just started sends requests to engines with
// weights that were superseded 10 s ago.
// Sequence: version 2 is named; an engine keeps version 1; a daemon starts.
// Cause: the daemon took the naming for as new as its own knowledge.
TEST_F(repeat_rules_test, ANamingMayBeOlderThanTheDaemon) {
  request_router::options options;
  options.replicas = {.old_weights_time = milliseconds(4000)};
  options.refuse_without_upstream = true;
  router_.emplace(options, fleet_);
  Configure("2");
  Report("a", "1");
  Arrive(1, repeat_rule::kOnce, 1, "m");
  EXPECT_FALSE(Take<dispatch_attempt>());
}

// Symptom: a request begins on superseded weights after the bound.
// Sequence: it waits in an engine's queue while a new version is named.
// Cause: nothing bounded its wait there.
TEST_F(repeat_rules_test, AnAttemptThatWaitsOnOldWeightsIsTakenBack) {
  Arrive(1, repeat_rule::kOnce, 1, "m");
  const auto dispatch = Take<dispatch_attempt>();
  Arrive(2, repeat_rule::kOnce, 1, "m");
  const auto begun = Take<dispatch_attempt>();
  router_->OnFirstByte(now_, {.attempt = begun->attempt});
  Configure("2");
  now_ += milliseconds(5600);
  router_->OnTick(now_, out_);
  EXPECT_FALSE(Take<cancel_attempt>());
  now_ += milliseconds(200);
  router_->OnTick(now_, out_);
  EXPECT_EQ(Take<cancel_attempt>()->attempt, dispatch->attempt);
  EXPECT_FALSE(Take<cancel_attempt>()) << "one that has begun goes on";
  EXPECT_EQ(Take<local_response>()->result, outcome::kUnknown);
}

}  // namespace
}  // namespace cuminswitch
