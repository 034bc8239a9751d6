// Which engine changes its weights when.
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

  engine_report Report(uint64_t version, uint64_t orders = 0) {
    return {.is_busy = false,
            .accepted_orders = orders,
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

TEST_F(weights_rollout_test, AFewAtATime) {
  EXPECT_EQ(Tick(now_).size(), 3U);
  EXPECT_TRUE(Tick(now_).empty());
  EXPECT_EQ(rollout_.ListChanging().size(), 3U);
}

TEST_F(weights_rollout_test, AFifthOfALargeService) {
  for (int i = 12; i < 60; ++i) {
    upstreams_.push_back({.id = "e" + std::to_string(i),
                          .service = "s",
                          .address = AddressOf(i),
                          .weights = {{.model = "m", .version = 1}}});
  }
  EXPECT_EQ(Tick(now_).size(), 12U);
}

// Symptom: requests begin on weights that were superseded over 6 s ago.
// Sequence: versions 2, 3 and 4 are named every 2.4 s, faster than all engines
// change.
// Cause: engines were taken in the order of their ids, so that the first ones
// changed each time and the last ones never.
TEST_F(weights_rollout_test, TheOldestWeightsGoFirst) {
  wanted_[0].version = 4;
  for (int i = 0; i < 12; ++i) {
    Entry("e" + std::to_string(i)).weights[0].version = i < 9 ? 3 : 1;
  }
  std::set<std::string> asked;
  for (const rollout_step& step : Tick(now_)) {
    asked.insert(step.upstream);
  }
  EXPECT_EQ(asked, (std::set<std::string>{"e9", "e10", "e11"}));
}

TEST_F(weights_rollout_test, AnOrderNamesTheStateThatWasReported) {
  Tick(now_);
  const auto step = rollout_.OnReport(now_, "e0", Report(1, 7));
  ASSERT_TRUE(step && step->command);
  EXPECT_EQ(step->command->weights.version, 2U);
  EXPECT_EQ(step->command->accepted_orders, 7U);
}

TEST_F(weights_rollout_test, TheNewestNamedVersionIsOrdered) {
  Tick(now_);
  wanted_[0].version = 5;
  Tick(now_);
  const auto step = rollout_.OnReport(now_, "e0", Report(1));
  EXPECT_EQ(step->command->weights.version, 5U);
}

// Symptom: an engine falls back to older weights and stays there.
// Sequence: an order gets no answer; it is carried out seconds later.
// Cause: an order without answer was taken for refused, or for done.
TEST_F(weights_rollout_test, AnOrderWithoutAnswerIsFollowedByAQuestion) {
  Tick(now_);
  rollout_.OnReport(now_, "e0", Report(1));
  rollout_.OnCommandResult(now_, "e0", command_result::kUnknown);
  now_ += milliseconds(600);
  bool asked_again = false;
  for (const rollout_step& step : Tick(now_)) {
    asked_again = asked_again || (step.upstream == "e0" && !step.command);
  }
  EXPECT_TRUE(asked_again);
}

TEST_F(weights_rollout_test, AnEngineThatFellBackIsChangedAgain) {
  for (upstream_entry& entry : upstreams_) {
    entry.weights[0].version = 2;
  }
  EXPECT_TRUE(Tick(now_).empty());
  Entry("e5").weights[0].version = 1;
  EXPECT_EQ(Tick(now_).size(), 1U);
}

TEST_F(weights_rollout_test, AChangeThatDoesNotShowIsAskedAfter) {
  Tick(now_);
  rollout_.OnReport(now_, "e0", Report(1));
  rollout_.OnCommandResult(now_, "e0", command_result::kAccepted);
  EXPECT_TRUE(Tick(now_ + milliseconds(400)).empty());
  EXPECT_EQ(Tick(now_ + milliseconds(1000)).size(), 1U);
}

TEST_F(weights_rollout_test, AnEngineThatDoesNotAnswerIsLeftAloneForAWhile) {
  Tick(now_);
  EXPECT_FALSE(rollout_.OnReport(now_, "e1", std::nullopt).has_value());
  EXPECT_EQ(rollout_.ListChanging(), (std::vector<std::string>{"e0", "e10"}));
}

// Symptom: for seconds most requests are refused by one engine after another.
// Sequence: an engine that changes its weights lets its runs finish for 2 s; it
// is asked after 0.9 s and says that it is busy.
// Cause: a busy engine was not taken for changing any more; being idle, it drew
// all new requests, and refused them.
TEST_F(weights_rollout_test, ABusyEngineIsStillChanging) {
  Tick(now_);
  engine_report busy = Report(1);
  busy.is_busy = true;
  EXPECT_FALSE(rollout_.OnReport(now_, "e0", busy).has_value());
  EXPECT_EQ(rollout_.ListChanging().size(), 3U);
  EXPECT_EQ(Tick(now_ + milliseconds(200)).size(), 1U) << "it is asked again";
}

// Symptom: an engine serves old weights for a second longer than it need.
// Sequence: it is ordered to change, and starts again under its id before it
// has; it comes back with the weights of before.
// Cause: the order to its earlier start counted as under way.
TEST_F(weights_rollout_test, AnEngineThatStartsAgainIsOrderedAgainAtOnce) {
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
  const auto order = rollout_.OnReport(now_, "e0", Report(1, 0));
  ASSERT_TRUE(order.has_value());
  EXPECT_EQ(order->command->accepted_orders, 0U) << "it counts anew";
}

TEST_F(weights_rollout_test, AnEngineThatLeavesIsNotChanged) {
  for (upstream_entry& entry : upstreams_) {
    entry.is_draining = true;
  }
  EXPECT_TRUE(Tick(now_).empty());
}

}  // namespace
}  // namespace cuminswitch
