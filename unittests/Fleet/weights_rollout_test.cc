// Which engines change their weights, and when.
#include "cuminswitch/Fleet/weights_rollout.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "cuminswitch/Fleet/store_outage_tracker.h"
#include "cuminswitch/Fleet/upstream_directory.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

endpoint AddressOf(int number) {
  return {.address = "10.0.0.1", .port = static_cast<uint16_t>(number + 1)};
}

class weights_rollout_test : public testing::Test {
 protected:
  weights_rollout_test() {
    wanted_ = {{.model = "m", .version = 2}};
    for (int i = 0; i < 12; ++i) {
      upstreams_.push_back({.id = "e" + std::to_string(i),
                            .service = "s",
                            .address = AddressOf(i),
                            .weights = {{.model = "m", .version = 1}}});
    }
  }

  engine_report Report(uint64_t version, uint64_t accepted_orders = 0) {
    return {.is_busy = false,
            .accepted_orders = accepted_orders,
            .weights = {{.model = "m", .version = version}}};
  }
  std::vector<rollout_step> Tick(time_point now) {
    for (const upstream_entry& entry : upstreams_) {
      const upstream_ref known = directory_.Find(entry.id);
      if (known == nullptr || *known != entry) {
        directory_.Apply(
            now,
            {.id = entry.id,
             .entry = std::make_shared<const upstream_entry>(entry)},
            {});
      }
    }
    return rollout_.OnTick(now, wanted_, directory_);
  }
  bool IsChanging(const std::string& id) const {
    const std::vector<std::string> list = rollout_.ListChanging();
    return std::find(list.begin(), list.end(), id) != list.end();
  }
  upstream_entry& Entry(const std::string& id) {
    return *std::find_if(
        upstreams_.begin(), upstreams_.end(),
        [&](const upstream_entry& entry) { return entry.id == id; });
  }

  time_point now_{std::chrono::seconds(100)};
  std::vector<weights_version> wanted_;
  std::vector<upstream_entry> upstreams_;
  upstream_directory directory_;
  weights_rollout rollout_;
};

TEST_F(weights_rollout_test, LimitsConcurrentChanges) {
  EXPECT_EQ(Tick(now_).size(), 3U);
  EXPECT_TRUE(Tick(now_).empty());
  EXPECT_EQ(rollout_.ListChanging().size(), 3U);
}

TEST_F(weights_rollout_test, ChangesFifthOfLargeServiceAtOnce) {
  for (int i = 12; i < 60; ++i) {
    upstreams_.push_back({.id = "e" + std::to_string(i),
                          .service = "s",
                          .address = AddressOf(i),
                          .weights = {{.model = "m", .version = 1}}});
  }
  EXPECT_EQ(Tick(now_).size(), 12U);
}

// Guards against requests that start on weights superseded over 6 s ago:
// versions 2, 3 and 4 are published at intervals of 2.4 s, faster than all
// engines change. In the order of their ids, the first engines would change
// each time and the last ones never.
TEST_F(weights_rollout_test, ChangesOldestWeightsFirst) {
  wanted_[0].version = 4;
  for (int i = 0; i < 12; ++i) {
    Entry("e" + std::to_string(i)).weights[0].version = i < 9 ? 3 : 1;
  }
  std::set<std::string> queried;
  for (const rollout_step& step : Tick(now_)) {
    queried.insert(step.upstream);
  }
  EXPECT_EQ(queried, (std::set<std::string>{"e9", "e10", "e11"}));
}

TEST_F(weights_rollout_test, CommandCarriesAcceptedOrdersOfReport) {
  Tick(now_);
  const auto step = rollout_.OnReport(now_, "e0", Report(1, 7));
  ASSERT_TRUE(step && step->command);
  EXPECT_EQ(step->command->weights.version, 2U);
  EXPECT_EQ(step->command->accepted_orders, 7U);
}

TEST_F(weights_rollout_test, CommandsNewestPublishedVersion) {
  Tick(now_);
  wanted_[0].version = 5;
  Tick(now_);
  const auto step = rollout_.OnReport(now_, "e0", Report(1));
  EXPECT_EQ(step->command->weights.version, 5U);
}

// Guards against an engine that returns to older weights and stays there: a
// command gets no response, and is executed seconds later. It must count
// neither as rejected nor as executed.
TEST_F(weights_rollout_test, QueriesEngineAfterCommandWithoutResponse) {
  Tick(now_);
  rollout_.OnReport(now_, "e0", Report(1));
  rollout_.OnCommandResult(now_, "e0", command_result::kUnknown);
  now_ += milliseconds(600);
  bool queried_again = false;
  for (const rollout_step& step : Tick(now_)) {
    queried_again = queried_again || (step.upstream == "e0" && !step.command);
  }
  EXPECT_TRUE(queried_again);
}

TEST_F(weights_rollout_test, ChangesEngineAgainAfterItsWeightsRevert) {
  for (upstream_entry& entry : upstreams_) {
    entry.weights[0].version = 2;
  }
  EXPECT_TRUE(Tick(now_).empty());
  Entry("e5").weights[0].version = 1;
  EXPECT_EQ(Tick(now_).size(), 1U);
}

TEST_F(weights_rollout_test, QueriesEngineAfterOverdueChange) {
  Tick(now_);
  rollout_.OnReport(now_, "e0", Report(1));
  rollout_.OnCommandResult(now_, "e0", command_result::kAccepted);
  EXPECT_TRUE(Tick(now_ + milliseconds(400)).empty());
  EXPECT_EQ(Tick(now_ + milliseconds(1000)).size(), 1U);
}

// Guards against callers that are refused although engines could serve them:
// those that refuse each command, or respond to none, counted as changing.
TEST_F(weights_rollout_test, EngineThatAcceptsNoCommandServesMeanwhile) {
  for (const command_result result :
       {command_result::kConflict, command_result::kUnknown,
        command_result::kRejected, command_result::kConflict}) {
    Tick(now_);
    ASSERT_TRUE(rollout_.OnReport(now_, "e0", Report(1)));
    rollout_.OnCommandResult(now_, "e0", result);
    EXPECT_EQ(rollout_.ListUnconfirmed(), std::vector<std::string>{"e0"});
    EXPECT_EQ(rollout_.ListChanging(), (std::vector<std::string>{"e1", "e10"}));
    now_ += std::chrono::seconds(2);
    Tick(now_);
    EXPECT_FALSE(IsChanging("e0")) << "it is only queried";
  }
  rollout_.OnReport(now_, "e0", Report(1));
  EXPECT_FALSE(IsChanging("e0"));
  rollout_.OnCommandResult(now_, "e0", command_result::kAccepted);
  EXPECT_TRUE(IsChanging("e0"));
  EXPECT_TRUE(rollout_.ListUnconfirmed().empty());
}

// Guards against requests to an engine that carries out a command whose
// response was lost: it refuses them.
TEST_F(weights_rollout_test, EngineThatCarriesOutALateCommandIsChanging) {
  Tick(now_);
  rollout_.OnReport(now_, "e0", Report(1));
  rollout_.OnCommandResult(now_, "e0", command_result::kUnknown);
  now_ += milliseconds(600);
  Tick(now_);
  engine_report busy = Report(1, 1);
  busy.is_busy = true;
  rollout_.OnReport(now_, "e0", busy);
  EXPECT_TRUE(IsChanging("e0"));
  EXPECT_TRUE(rollout_.ListUnconfirmed().empty());
}

// Guards against an engine that gets no requests from any daemon, since the
// leader does not reach it.
TEST_F(weights_rollout_test, EngineThatTheLeaderDoesNotReachServesMeanwhile) {
  Tick(now_);
  rollout_.OnReport(now_, "e0", std::nullopt);
  now_ += milliseconds(200);
  Tick(now_);
  EXPECT_FALSE(IsChanging("e0"));
  EXPECT_EQ(rollout_.ListUnconfirmed(), std::vector<std::string>{"e0"});
}

TEST_F(weights_rollout_test, SilentEngineThatAcceptedACommandIsChanging) {
  Tick(now_);
  rollout_.OnReport(now_, "e0", Report(1));
  rollout_.OnCommandResult(now_, "e0", command_result::kAccepted);
  now_ += milliseconds(1000);
  Tick(now_);
  rollout_.OnReport(now_, "e0", std::nullopt);
  EXPECT_TRUE(rollout_.ListUnconfirmed().empty());
  now_ += milliseconds(200);
  Tick(now_);
  EXPECT_TRUE(IsChanging("e0"));
}

TEST_F(weights_rollout_test, DelaysRetryAfterQueryWithoutResponse) {
  Tick(now_);
  EXPECT_FALSE(rollout_.OnReport(now_, "e1", std::nullopt).has_value());
  EXPECT_EQ(rollout_.ListChanging(), (std::vector<std::string>{"e0", "e10"}));
}

// Guards against seconds in which engines reject most requests: an engine that
// changes its weights completes its running requests for 2 s; it is queried
// after 0.9 s and reports that it is busy. If it no longer counted as changing,
// it would attract all new requests as the least loaded engine, and reject
// them.
TEST_F(weights_rollout_test, BusyEngineCountsAsChanging) {
  Tick(now_);
  engine_report busy = Report(1);
  busy.is_busy = true;
  EXPECT_FALSE(rollout_.OnReport(now_, "e0", busy).has_value());
  EXPECT_EQ(rollout_.ListChanging().size(), 3U);
  EXPECT_EQ(Tick(now_ + milliseconds(200)).size(), 1U) << "it is queried again";
}

// Guards against an engine that serves old weights for a second longer than
// necessary: it gets a command, and restarts with the same id and its previous
// weights before the change. The command to its earlier run must not count as
// in progress.
TEST_F(weights_rollout_test, QueriesRestartedEngineImmediately) {
  Entry("e0").started = 1000;
  Tick(now_);
  rollout_.OnReport(now_, "e0", Report(1, 4));
  rollout_.OnCommandResult(now_, "e0", command_result::kAccepted);
  now_ += milliseconds(100);
  EXPECT_TRUE(Tick(now_).empty());
  Entry("e0").started = 2000;
  const auto steps = Tick(now_);
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].upstream, "e0");
  const auto command = rollout_.OnReport(now_, "e0", Report(1, 0));
  ASSERT_TRUE(command.has_value());
  EXPECT_EQ(command->command->accepted_orders, 0U) << "a new run counts from 0";
}

TEST_F(weights_rollout_test, DoesNotChangeDrainingEngine) {
  for (upstream_entry& entry : upstreams_) {
    entry.is_draining = true;
  }
  EXPECT_TRUE(Tick(now_).empty());
}

}  // namespace
}  // namespace cuminswitch
