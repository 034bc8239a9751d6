// Which requests are retried, how often, and on which weights they run.
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

class fixed_size_fleet : public shard_directory {
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

  void Configure(const std::string& version,
                 duration max_reservation = std::chrono::seconds(2)) {
    auto config = std::make_shared<configuration>();
    config->models = {
        {.name = "m", .version = version, .max_reservation = max_reservation}};
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

  void SendRequest(request_id id,
                   repeat_rule rule,
                   uint32_t max_runs,
                   const std::string& target = "s",
                   duration time_limit = std::chrono::seconds(60)) {
    router_->OnRequest(now_,
                       {.request = id,
                        .workspace = "w",
                        .target = target,
                        .prompt_tokens = target == "m" ? 100U : 0U,
                        .time_limit = time_limit,
                        .repeats = rule,
                        .max_runs = max_runs},
                       out_);
  }

  template <class Action>
  std::optional<Action> Take() {
    return TakeAction<Action>(out_);
  }

  /// Ends all dispatched attempts with \p end, retries included; returns their
  /// number.
  int EndAttempts(const attempt_ended& end) {
    int count = 0;
    while (const auto dispatch = Take<dispatch_attempt>()) {
      ++count;
      attempt_ended event = end;
      event.attempt = dispatch->attempt;
      router_->OnAttemptEnded(now_, event, out_);
    }
    return count;
  }

  /// Ends the next dispatched attempt with \p end; returns whether there is
  /// one.
  bool EndAttempt(attempt_ended end) {
    const auto dispatch = Take<dispatch_attempt>();
    if (dispatch) {
      end.attempt = dispatch->attempt;
      router_->OnAttemptEnded(now_, end, out_);
    }
    return dispatch.has_value();
  }

  /// Sends five requests, beginning with \p first, so that one waits at each
  /// engine.
  void DispatchAtEachEngine(request_id first) {
    for (request_id id = first; id < first + 5; ++id) {
      SendRequest(id, repeat_rule::kOnce, 1, "m");
    }
    while (Take<dispatch_attempt>()) {
    }
  }

  fixed_size_fleet fleet_;
  std::optional<request_router> router_;
  time_point now_{std::chrono::seconds(100)};
  action_list out_;
};

TEST_F(repeat_rules_test, DoesNotRetryAtMostOnceAfterUnknownResult) {
  SendRequest(1, repeat_rule::kOnce, 1);
  EXPECT_EQ(EndAttempts({.result = outcome::kUnknown}), 1);
  EXPECT_EQ(Take<local_response>()->result, outcome::kUnknown);
}

TEST_F(repeat_rules_test, LimitsRunsOfRepeatableRequest) {
  SendRequest(1, repeat_rule::kRepeatable, 2);
  EXPECT_EQ(EndAttempts({.result = outcome::kUnknown}), 2);
}

// Guards against one request using up the retry budget: it was retried at
// upstreams that all refused it, bounded only by the fleet's budget, so that no
// other request could be retried.
TEST_F(repeat_rules_test, RefusedRequestDoesNotUseUpRetryBudget) {
  SendRequest(1, repeat_rule::kOnce, 1);
  EXPECT_EQ(EndAttempts({.result = outcome::kNotRun, .refused_busy = true}), 3);
  const auto response = Take<local_response>();
  EXPECT_EQ(response->result, outcome::kNotRun);
  EXPECT_EQ(response->status, 503U);
  EXPECT_GT(response->retry_after, duration(0));
}

TEST_F(repeat_rules_test, UnreachableUpstreamCostsNoRetry) {
  for (request_id id = 1; id <= 30; ++id) {
    SendRequest(id, repeat_rule::kOnce, 1);
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

// Guards against a service getting more retries than the whole fleet may send,
// because each daemon uses the full burst.
TEST_F(repeat_rules_test, DividesRetryBudgetByFleetSize) {
  fleet_.fleet_size = 10;
  int repeats = 0;
  for (request_id id = 1; id <= 10; ++id) {
    SendRequest(id, repeat_rule::kRepeatable, 2);
    repeats +=
        EndAttempts({.result = outcome::kUnknown, .failed_in_run = true}) - 1;
    now_ += milliseconds(10);
  }
  EXPECT_EQ(repeats, 2) << "a tenth of 20";
}

TEST_F(repeat_rules_test, RefusesAtOnceWithoutEligibleUpstream) {
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    router_->OnUpstreamChanging({.upstream = name, .is_changing = true});
  }
  SendRequest(1, repeat_rule::kOnce, 1);
  EXPECT_FALSE(Take<dispatch_attempt>());
  EXPECT_EQ(Take<local_response>()->status, 503U);
}

TEST_F(repeat_rules_test, UsesOldWeightsForLimitedTime) {
  Configure("2");
  SendRequest(1, repeat_rule::kOnce, 1, "m");
  EXPECT_EQ(Take<dispatch_attempt>()->weights_version, "1");
  now_ += milliseconds(4100);
  SendRequest(2, repeat_rule::kOnce, 1, "m");
  EXPECT_FALSE(Take<dispatch_attempt>());
  Report("c", "2");
  SendRequest(3, repeat_rule::kOnce, 1, "m");
  EXPECT_EQ(Take<dispatch_attempt>()->weights_version, "2");
}

// Guards against requests running on weights superseded long ago: if the time
// for old weights restarts with each published version, it never ends for an
// engine that keeps the first version while one is published every 3 s.
TEST_F(repeat_rules_test, OldWeightsTimeStartsAtNextVersion) {
  Configure("2");
  now_ += milliseconds(3000);
  Configure("3");
  now_ += milliseconds(1500);
  SendRequest(1, repeat_rule::kOnce, 1, "m");
  EXPECT_FALSE(Take<dispatch_attempt>());
}

// Guards against a restarted daemon using weights that were superseded 10 s
// ago: an engine keeps version 1 after version 2 was published, and the new
// daemon must not assume that the publication is as recent as its own start.
TEST_F(repeat_rules_test, RejectsOldWeightsAfterDaemonRestart) {
  request_router::options options;
  options.replicas = {.old_weights_time = milliseconds(4000)};
  options.refuse_without_upstream = true;
  router_.emplace(options, fleet_);
  Configure("2");
  Report("a", "1");
  SendRequest(1, repeat_rule::kOnce, 1, "m");
  EXPECT_FALSE(Take<dispatch_attempt>());
}

// Guards against a request beginning on superseded weights after the time
// limit: it may wait in an engine's queue while a new version is published.
TEST_F(repeat_rules_test, CancelsAttemptQueuedOnOldWeights) {
  SendRequest(1, repeat_rule::kOnce, 1, "m");
  const auto dispatch = Take<dispatch_attempt>();
  SendRequest(2, repeat_rule::kOnce, 1, "m");
  const auto begun = Take<dispatch_attempt>();
  router_->OnFirstByte(now_, {.attempt = begun->attempt});
  Configure("2");
  now_ += milliseconds(5600);
  router_->OnTick(now_, out_);
  EXPECT_FALSE(Take<cancel_attempt>());
  now_ += milliseconds(200);
  router_->OnTick(now_, out_);
  EXPECT_EQ(Take<cancel_attempt>()->attempt, dispatch->attempt);
  EXPECT_FALSE(Take<cancel_attempt>()) << "an attempt that has begun continues";
  EXPECT_EQ(Take<local_response>()->result, outcome::kUnknown);
}

// Guards against a request that begins on superseded weights after the time
// limit, since the daemon that sent it failed while it waited in an engine.
TEST_F(repeat_rules_test, QueuedAttemptOnOldWeightsNeedsAReservation) {
  Configure("2");
  now_ += milliseconds(2000);
  SendRequest(1, repeat_rule::kRepeatable, 0, "m");
  EXPECT_EQ(Take<dispatch_attempt>()->reservation, duration(0))
      << "the request begins at once";
  DispatchAtEachEngine(2);
  SendRequest(7, repeat_rule::kRepeatable, 0, "m");
  EXPECT_GT(Take<dispatch_attempt>()->reservation, duration(0));
  SendRequest(8, repeat_rule::kOnce, 1, "m", milliseconds(3000));
  EXPECT_EQ(Take<dispatch_attempt>()->reservation, duration(0))
      << "its own deadline is before the time limit";
}

// Guards against a request that may not be repeated, and has to be cancelled in
// the queue of an engine that was thought to have none.
TEST_F(repeat_rules_test, RequestThatRunsOnceReservesOnOldWeights) {
  SendRequest(1, repeat_rule::kOnce, 1, "m");
  EXPECT_EQ(Take<dispatch_attempt>()->reservation, duration(0))
      << "the weights are not superseded";
  Configure("2");
  SendRequest(2, repeat_rule::kOnce, 1, "m");
  EXPECT_GT(Take<dispatch_attempt>()->reservation, duration(0));
}

// Guards against a request to an engine that begins to change its weights
// while it reserves a slot.
TEST_F(repeat_rules_test, MayNotSendToEngineThatChangesItsWeights) {
  Configure("2");
  SendRequest(1, repeat_rule::kOnce, 1, "m");
  const auto dispatch = Take<dispatch_attempt>();
  EXPECT_TRUE(router_->MayStillSend(now_, dispatch->attempt));
  router_->OnUpstreamChanging(
      {.upstream = dispatch->upstream, .is_changing = true});
  EXPECT_FALSE(router_->MayStillSend(now_, dispatch->attempt));
  router_->OnUpstreamChanging({.upstream = dispatch->upstream});
  EXPECT_TRUE(router_->MayStillSend(now_, dispatch->attempt));
  Report(dispatch->upstream, "2");
  EXPECT_FALSE(router_->MayStillSend(now_, dispatch->attempt))
      << "it has changed them already";
}

// Guards against an engine that counts as full although it has granted a slot.
TEST_F(repeat_rules_test, WithdrawnRequestSaysNothingAboutTheEngine) {
  Configure("2");
  SendRequest(1, repeat_rule::kOnce, 1, "m");
  const auto first = Take<dispatch_attempt>();
  router_->OnAttemptEnded(now_,
                          {.attempt = first->attempt,
                           .result = outcome::kNotRun,
                           .was_not_sent = true,
                           .was_withdrawn = true},
                          out_);
  EXPECT_EQ(router_->counters().reservations_refused, 0U);
  EXPECT_NE(Take<dispatch_attempt>()->upstream, first->upstream);
}

// Guards against the same where engines reserve no slots.
TEST_F(repeat_rules_test, UsesNoQueueOfOldWeightsWithoutReservations) {
  Configure("2", duration(0));
  SendRequest(1, repeat_rule::kOnce, 1, "m");
  EXPECT_TRUE(Take<dispatch_attempt>());
  DispatchAtEachEngine(2);
  SendRequest(7, repeat_rule::kOnce, 1, "m");
  EXPECT_FALSE(Take<dispatch_attempt>());
  EXPECT_FALSE(Take<local_response>()) << "it waits for an empty queue";
}

// Guards against refused reservations that use up the retry budget, which
// counts requests that upstreams received.
TEST_F(repeat_rules_test, RefusedReservationCostsNoRetry) {
  for (request_id id = 1; id <= 30; ++id) {
    SendRequest(id, repeat_rule::kOnce, 1);
    EXPECT_TRUE(EndAttempt({.result = outcome::kNotRun,
                            .refused_busy = true,
                            .was_not_sent = true}));
    ASSERT_TRUE(EndAttempt({.result = outcome::kAnswered}))
        << "the budget of 20 was spent at " << id;
    now_ += std::chrono::seconds(20);
  }
}

}  // namespace
}  // namespace cuminswitch
