// Which engines change their weights, and how many, while capacity is scarce.
#include "cuminswitch/Fleet/rollout_pace.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "cuminswitch/Fleet/observed_occupancy.h"
#include "cuminswitch/Fleet/store_outage_tracker.h"
#include "cuminswitch/Fleet/upstream_directory.h"
#include "cuminswitch/Fleet/weights_rollout.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kEngines = 90;
constexpr size_t kLimit = 18;
constexpr duration kBound = seconds(10);
/// Daemons send nothing to superseded weights this long before the bound.
constexpr duration kMargin = milliseconds(800);
constexpr duration kTick = milliseconds(50);

struct simulated_engine {
  upstream_entry entry;
  uint64_t accepted_orders = 0;
  uint64_t next_version = 0;
  time_point down_until{};
  /// It completes its requests until then, and loads afterwards.
  time_point drains_until{};
  duration loading_left{0};
  std::optional<rollout_step> late_command;
  time_point late_until{};
  time_point unanswered_until = time_point::max();

  bool IsBusy() const { return loading_left > duration(0); }
  uint64_t& Version() { return entry.weights[0].version; }
};

/// Engines under load that complete their requests before they load new
/// weights, which takes 0.6 s, and longer while over 18 do so.
class loaded_fleet {
 public:
  explicit loaded_fleet(const std::optional<rollout_pace::options>& pace)
      : pace_(pace), leader_(pace), engines_(kEngines) {
    for (size_t i = 0; i < kEngines; ++i) {
      const auto port = static_cast<uint16_t>(i + 1);
      engines_[i].entry = {.id = "e" + std::to_string(100 + i),
                           .service = "s",
                           .address = {.address = "10.0.0.1", .port = port},
                           .started = 1,
                           .weights = {{.model = "m", .version = 1}}};
      Publish(engines_[i]);
    }
  }

  void Name(uint64_t version) {
    wanted_[0].version = version;
    named_.push_back(now_);
    leader_.OnPublished(now_, wanted_);
  }
  /// The next third of the engines crashes, and returns with its old weights.
  void Crash() {
    for (size_t i = 0; i < kEngines / 3; ++i) {
      simulated_engine& item = engines_[next_crash_++ % kEngines];
      item = {.entry = item.entry, .down_until = now_ + seconds(1)};
      directory_.Apply(now_, {.id = item.entry.id}, {});
    }
  }
  void ReplaceLeader() {
    leader_ = weights_rollout(pace_);
    for (size_t i = 0; i < named_.size(); ++i) {
      const weights_version named{.model = "m", .version = i + 2};
      leader_.OnPublished(named_[i], {&named, 1});
    }
    leads_from_ = now_ + seconds(1);
  }
  void Run(duration time) {
    for (const time_point end = now_ + time; now_ < end; now_ += kTick) {
      for (simulated_engine& item : engines_) {
        Advance(item);
      }
      if (now_ >= leads_from_) {
        for (const auto& step : leader_.OnTick(now_, wanted_, directory_)) {
          Perform(step);
        }
      }
      Measure();
    }
  }

  size_t CountOutdated() {
    return static_cast<size_t>(std::count_if(
        engines_.begin(), engines_.end(),
        [&](auto& item) { return item.Version() != wanted_[0].version; }));
  }
  /// Lowest number of engines that served, or were down.
  size_t min_capacity() const { return min_capacity_; }
  /// Engine seconds in which engines waited, past the bound, for their turn.
  double idle_seconds() const { return idle_seconds_; }

 private:
  bool IsPastBound(simulated_engine& item) const {
    return item.Version() < wanted_[0].version &&
           now_ >= named_[item.Version() - 1] + kBound - kMargin;
  }
  void Publish(const simulated_engine& item) {
    const auto entry = std::make_shared<const upstream_entry>(item.entry);
    directory_.Apply(now_, {.id = entry->id, .entry = entry}, {});
  }
  bool IsLoading(const simulated_engine& item) const {
    return item.IsBusy() && now_ >= item.drains_until;
  }
  void Advance(simulated_engine& item) {
    if (item.down_until != time_point() && now_ >= item.down_until) {
      item.down_until = {};
      ++item.entry.started;
      Publish(item);
    }
    if (item.late_command && now_ >= item.late_until) {
      Accept(item, *std::exchange(item.late_command, std::nullopt));
    }
    if (now_ >= item.unanswered_until) {
      item.unanswered_until = time_point::max();
      leader_.OnCommandResult(now_, item.entry.id, command_result::kUnknown);
    }
    if (!IsLoading(item)) {
      return;
    }
    const auto loading =
        std::count_if(engines_.begin(), engines_.end(),
                      [&](const auto& other) { return IsLoading(other); });
    item.loading_left -=
        kTick * kLimit / std::max(kLimit, static_cast<size_t>(loading));
    if (!item.IsBusy()) {
      item.Version() = item.next_version;
      Publish(item);
    }
  }
  command_result Accept(simulated_engine& item, const rollout_step& step) {
    if (item.IsBusy() || item.down_until != time_point() ||
        step.command->accepted_orders != item.accepted_orders) {
      return command_result::kConflict;
    }
    ++item.accepted_orders;
    item.next_version = step.command->weights.version;
    item.loading_left = milliseconds(600);
    const bool holds_requests = !IsPastBound(item) && item.entry.started == 1;
    item.drains_until =
        now_ + milliseconds(holds_requests ? 1000 + random_() % 1000 : 0);
    return command_result::kAccepted;
  }
  /// Half of the commands get no response: they are lost, late, or only the
  /// response is lost.
  void Perform(const rollout_step& query) {
    simulated_engine& item = *std::find_if(
        engines_.begin(), engines_.end(),
        [&](const auto& other) { return other.entry.id == query.upstream; });
    const auto command =
        leader_.OnReport(now_, query.upstream,
                         engine_report{.is_busy = item.IsBusy(),
                                       .accepted_orders = item.accepted_orders,
                                       .weights = item.entry.weights});
    if (!command) {
      return;
    }
    const uint64_t fate = random_() % 6;
    if (fate > 2) {
      leader_.OnCommandResult(now_, query.upstream, Accept(item, *command));
      return;
    }
    item.unanswered_until = now_ + milliseconds(500);
    if (fate == 1) {
      item.late_command = command;
      item.late_until = now_ + seconds(2);
    } else if (fate == 2) {
      Accept(item, *command);
    }
  }
  void Measure() {
    size_t capacity = 0;
    for (simulated_engine& item : engines_) {
      const bool is_down = item.down_until != time_point();
      const bool is_idle = !is_down && !item.IsBusy() && IsPastBound(item);
      capacity += item.IsBusy() || is_idle ? 0 : 1;
      idle_seconds_ += is_idle ? ToSeconds(kTick) : 0;
    }
    min_capacity_ = std::min(min_capacity_, capacity);
  }

  std::optional<rollout_pace::options> pace_;
  weights_rollout leader_;
  upstream_directory directory_;
  std::vector<simulated_engine> engines_;
  std::vector<weights_version> wanted_{{.model = "m", .version = 1}};
  std::vector<time_point> named_;
  time_point now_{seconds(100)};
  time_point leads_from_{};
  std::mt19937 random_{1};
  size_t next_crash_ = 0;
  size_t min_capacity_ = kEngines;
  double idle_seconds_ = 0;
};

// Guards against capacity that falls to a third: engines whose weights are past
// the bound, or that return from a crash with old weights, wait for their turn
// beside engines that still serve, and lost commands hold places of others.
// Twice as many as load without slowing each other down may change at a time.
TEST(rollout_pace_test, KeepsCapacityWhileVersionsFollowInSuccession) {
  loaded_fleet fleet(rollout_pace::options{.old_weights_time = kBound});
  fleet.Name(2);
  fleet.Run(seconds(3));
  fleet.Crash();
  fleet.Run(seconds(2));
  fleet.Name(3);
  fleet.Run(seconds(1));
  fleet.ReplaceLeader();
  fleet.Run(seconds(3));
  fleet.Crash();
  fleet.Run(seconds(2));
  fleet.Name(4);
  fleet.Run(kBound);
  EXPECT_EQ(fleet.CountOutdated(), 0U);
  EXPECT_GE(fleet.min_capacity(), kEngines - 2 * kLimit);
  EXPECT_LT(fleet.idle_seconds(), 1);
}

class rollout_choice_test : public testing::Test {
 protected:
  rollout_choice_test() {
    for (size_t i = 0; i < kEngines; ++i) {
      engines_.push_back(std::make_shared<const upstream_entry>(
          upstream_entry{.id = "e" + std::to_string(100 + i),
                         .service = "s",
                         .weights = {{.model = "m", .version = 1}}}));
      candidates_.push_back({.entry = engines_.back(),
                             .model = "m",
                             .version = 1,
                             .is_ready = true});
    }
    pace_.OnPublished(now_, weights_);
    weights_[0].version = 2;
    pace_.OnPublished(now_, weights_);
  }
  std::vector<rollout_choice> ChooseAfter(duration time) {
    return pace_.Choose(now_ + time, {.engines = engines_, .limit = kLimit},
                        candidates_);
  }
  /// Reports that each engine runs as many of 24 requests as \p running states.
  template <class Running>
  void Observe(time_point at, const Running& running) {
    std::vector<upstream_observation> all;
    for (size_t i = 0; i < kEngines; ++i) {
      all.push_back({.upstream = Hash64(engines_[i]->id),
                     .running = static_cast<uint32_t>(running(i)),
                     .slots = 24});
    }
    occupancy_.Add(at, all);
  }

  time_point now_{seconds(100)};
  std::vector<weights_version> weights_{{.model = "m", .version = 1}};
  std::vector<upstream_ref> engines_;
  std::vector<rollout_candidate> candidates_;
  observed_occupancy occupancy_;
  rollout_pace pace_{{.old_weights_time = kBound, .occupancy = &occupancy_}};
};

TEST_F(rollout_choice_test, ChangesFifthInOrderWhileNothingIsKnown) {
  const auto choices = ChooseAfter({});
  ASSERT_EQ(choices.size(), kLimit);
  for (size_t i = 0; i < kLimit; ++i) {
    EXPECT_EQ(choices[i].index, i);
    EXPECT_EQ(choices[i].reason, change_reason::kInTurn);
  }
}

// The same events with and without a pace, while neither load nor bound press.
TEST_F(rollout_choice_test, QueriesSameEnginesAsWithoutPace) {
  upstream_directory directory;
  weights_rollout paced(rollout_pace::options{.old_weights_time = kBound});
  weights_rollout plain;
  for (const upstream_ref& entry : engines_) {
    directory.Apply(now_, {.id = entry->id, .entry = entry}, {});
  }
  for (int round = 0; round < 3; ++round, now_ += milliseconds(600)) {
    const auto expected = plain.OnTick(now_, weights_, directory);
    const auto steps = paced.OnTick(now_, weights_, directory);
    ASSERT_EQ(steps.size(), expected.size());
    for (size_t i = 0; i < steps.size(); ++i) {
      EXPECT_EQ(steps[i].upstream, expected[i].upstream);
      plain.OnReport(now_, steps[i].upstream, std::nullopt);
      paced.OnReport(now_, steps[i].upstream, std::nullopt);
    }
  }
}

TEST_F(rollout_choice_test, ChangesThoseFirstThatHoldLeast) {
  Observe(now_, [](size_t i) { return i < 80 ? 12 : 2; });
  const auto choices = ChooseAfter({});
  ASSERT_EQ(choices.size(), kLimit);
  EXPECT_EQ(choices[0].index, 80U);
  EXPECT_EQ(choices[10].index, 0U);
}

// The load fills all slots: only as many change as the bound forces.
TEST_F(rollout_choice_test, ChangesFewerUnderLoadAndMoreWhenTimeRunsOut) {
  Observe(now_, [](size_t) { return 24; });
  EXPECT_EQ(ChooseAfter({}).size(), 15U) << "six rounds of 1.5 s are left";
  Observe(now_ + seconds(6), [](size_t) { return 24; });
  EXPECT_EQ(ChooseAfter(seconds(6)).size(), kLimit) << "two rounds";
}

TEST_F(rollout_choice_test, ChangesUnusableEnginesBeyondLimit) {
  for (size_t i = 0; i < kLimit; ++i) {
    candidates_[i].is_ready = false;
    candidates_[i].changing = change_reason::kInTurn;
  }
  const auto choices = ChooseAfter(kBound);
  ASSERT_EQ(choices.size(), kLimit);
  EXPECT_EQ(choices.back().reason, change_reason::kPastBound);
  EXPECT_EQ(choices.back().concurrent, 2 * kLimit);
}

}  // namespace
}  // namespace cuminswitch
