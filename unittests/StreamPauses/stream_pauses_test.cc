// Guards against short requests whose response stalls: under normal load, one
// in five was late although its first event came in time, because two of its
// events were more than 0.5 s apart. Two or three long prompts are placed on
// one engine within 0.5 s, and the engine prefills them in chunks of about 90
// ms between the decoding steps of its running requests. Placement compared
// engines by the time at which a prompt would be prefilled and ignored the
// responses that an engine was generating.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Routing/placement_query.h"
#include "cuminswitch/Routing/prefix_cost_policy.h"
#include "cuminswitch/Routing/prefix_index.h"
#include "cuminswitch/Routing/prompt_length_classifier.h"
#include "cuminswitch/Routing/replica_table.h"

namespace cuminswitch {
namespace {

/// Duration of a decoding step without running requests or prefill.
constexpr double kStepSeconds = 0.0034;
/// Additional duration of a decoding step per running request.
constexpr double kStepSecondsPerRequest = 0.000017;
constexpr double kPrefillTokensPerSecond = 44'200;
constexpr double kPrefillChunkTokens = 4'096;
/// Tokens of a response per streamed event.
constexpr int kTokensPerEvent = 7;
/// A response with a longer gap between two events counts as late.
constexpr double kMaxEventGapSeconds = 0.5;
/// Interval at which daemons report their placements to each other.
constexpr double kPeerReportSeconds = 0.5;
constexpr double kWarmUpSeconds = 4;
constexpr double kMeasuredSeconds = 16;

struct simulated_request {
  bool is_long = false;
  double prompt_tokens = 0;
  double shared_tokens = 0;
  uint64_t prefix = 0;
  int events = 0;
  /// Latest time of the first event, in seconds after the arrival.
  double first_event_target = 0;
  double arrived = 0;
  size_t daemon = 0;
  replica_index engine = 0;
  /// Prompt tokens expected to be computed, without expected cache hits.
  double expected = 0;
  // State during the simulation.
  double prefill_remaining = 0;
  int tokens = 0;
  double last_event = 0;
  double longest_gap = 0;
  double first_event = -1;
};

struct simulated_engine {
  std::deque<simulated_request> prefill_queue;
  std::vector<simulated_request> running;
  std::set<uint64_t> cached;
  bool is_stepping = false;
};

struct simulated_daemon {
  replica_table table;
  prefix_index prefixes{{.capacity = 16'384}};
  prefix_cost_policy policy;
  prompt_length_classifier classifier;
};

/// Counts requests and those of them that are late.
struct late_counter {
  double count = 0;
  double late = 0;
  double Share() const { return count == 0 ? 0 : late / count; }
};

/// Simulates short and long prompts that many daemons place on engines with
/// chunked prefill. Daemons receive each other's placements every 0.5 s.
class simulated_fleet {
 public:
  struct options {
    bool reserves_engines = true;
    size_t engines = 60;
    size_t missing_engines = 0;
    /// Share of the long prompts that use the same prefix.
    double hot_share = 0;
  };

  explicit simulated_fleet(const options& opts) : options_(opts) {
    configuration config;
    // Failed engines are removed from the upstream list within seconds, so they
    // are not in the configuration.
    for (size_t i = opts.missing_engines; i < opts.engines; ++i) {
      config.upstreams.push_back({.name = "engine-" + std::to_string(i),
                                  .serves = {"m"},
                                  .max_in_flight = 64});
    }
    std::sort(config.upstreams.begin(), config.upstreams.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    config.models.push_back({.name = "m"});
    daemons_.resize(kDaemons);
    for (auto& daemon : daemons_) {
      daemon = std::make_unique<simulated_daemon>();
      daemon->table.Reconfigure(Now(), config);
      for (replica_index i = 0; i < config.upstreams.size(); ++i) {
        daemon->table.at(i).prefill_rate = kPrefillTokensPerSecond;
        daemon->table.at(i).limit = 64;
      }
    }
    engines_.resize(opts.engines);
  }

  void Run() {
    ScheduleArrival(true);
    ScheduleArrival(false);
    At(kPeerReportSeconds, [this] { ExchangeReports(); });
    while (!events_.empty() &&
           events_.begin()->first <= kWarmUpSeconds + kMeasuredSeconds) {
      const auto next = events_.begin();
      now_ = next->first;
      const std::function<void()> action = std::move(next->second);
      events_.erase(next);
      action();
    }
  }

  late_counter shorts, longs, largest;

 private:
  static constexpr size_t kDaemons = 24;
  static constexpr double kShortPerSecond = 352;
  static constexpr double kLongPerSecond = 133;
  static constexpr int kPrefixes = 400;
  static constexpr int kShortPrefixes = 150;

  time_point Now() const { return time_point(FromSeconds(100 + now_)); }
  void At(double when, std::function<void()> action) {
    events_.emplace(when, std::move(action));
  }
  double Lognormal(double mean, double spread, double max_value) {
    std::lognormal_distribution<double> draw(
        std::log(mean) - spread * spread / 2, spread);
    return std::min(max_value, draw(random_));
  }

  void ScheduleArrival(bool is_long) {
    std::exponential_distribution<double> gap(is_long ? kLongPerSecond
                                                      : kShortPerSecond);
    At(now_ + gap(random_), [this, is_long] {
      Place(is_long ? MakeLong() : MakeShort());
      ScheduleArrival(is_long);
    });
  }
  simulated_request MakeShort() {
    return {.prompt_tokens = 198 + Lognormal(628, 0.8, 3'310),
            .shared_tokens = 198,
            .prefix = kPrefixes + 1 + random_() % kShortPrefixes,
            .events = static_cast<int>(1 + Lognormal(42, 0.6, 136)),
            .first_event_target = 0.5};
  }
  simulated_request MakeLong() {
    std::uniform_real_distribution<double> uniform(0, 1);
    const uint64_t prefix =
        uniform(random_) < options_.hot_share ? 0 : random_() % kPrefixes;
    return {.is_long = true,
            .prompt_tokens = 6'300 + Lognormal(2'890, 0.9, 39'600),
            .shared_tokens = 6'300,
            .prefix = prefix + 1,
            .events = static_cast<int>(1 + Lognormal(7, 1, 30)),
            .first_event_target = 0.8};
  }

  void Place(simulated_request item) {
    item.arrived = now_;
    item.daemon = random_() % daemons_.size();
    simulated_daemon& daemon = *daemons_[item.daemon];
    daemon.classifier.CountPrompt(Now(), item.prompt_tokens);
    const std::vector<prefix_level> levels = {
        {.hash = item.prefix,
         .tokens = static_cast<uint32_t>(item.shared_tokens)},
        {.hash = random_(),
         .tokens = static_cast<uint32_t>(item.prompt_tokens)}};
    const eligible_replicas eligible =
        daemon.table.ListEligible(Now(), "m", {}, {});
    const bool is_long = daemon.classifier.IsLong(Now(), item.prompt_tokens);
    const placement chosen = daemon.policy.Choose(
        {.now = Now(),
         .levels = levels,
         .prompt_tokens = static_cast<uint32_t>(item.prompt_tokens),
         .eligible = eligible.indices,
         .has_free_slot = eligible.has_free_slot,
         .replicas = daemon.table,
         .prefixes = daemon.prefixes,
         .reuse_weight = 3,
         .short_share = options_.reserves_engines
                            ? daemon.classifier.ShortShare(
                                  Now(), daemon.table.CountSlots("m"))
                            : 0,
         .is_long = is_long});
    item.engine = chosen.index;
    item.expected =
        std::max(0.0, item.prompt_tokens - chosen.expected_cached_tokens);
    daemon.classifier.CountPrefill(Now(), is_long, item.expected);
    daemon.table.OnDispatch(item.engine, item.expected);
    daemon.prefixes.Touch(
        levels.front().hash,
        {.index = chosen.index, .incarnation = 0, .used_at = Now()});
    simulated_engine& engine = engines_[item.engine];
    const bool is_cached = !engine.cached.insert(item.prefix).second;
    item.prefill_remaining =
        item.prompt_tokens - (is_cached ? item.shared_tokens : 0);
    engine.prefill_queue.push_back(item);
    if (!std::exchange(engine.is_stepping, true)) {
      Step(engine);
    }
  }

  /// Prefills one chunk of the queue and generates one token of each running
  /// request.
  void Step(simulated_engine& engine) {
    double chunk = kPrefillChunkTokens;
    std::vector<simulated_request> prefilled;
    while (chunk > 0 && !engine.prefill_queue.empty()) {
      simulated_request& first = engine.prefill_queue.front();
      const double prefill_tokens = std::min(chunk, first.prefill_remaining);
      first.prefill_remaining -= prefill_tokens;
      chunk -= prefill_tokens;
      if (first.prefill_remaining <= 0) {
        prefilled.push_back(first);
        engine.prefill_queue.pop_front();
      }
    }
    const double took =
        kStepSeconds +
        kStepSecondsPerRequest * static_cast<double>(engine.running.size()) +
        (kPrefillChunkTokens - chunk) / kPrefillTokensPerSecond;
    At(now_ + took, [this, &engine, prefilled] {
      for (simulated_request& item : engine.running) {
        if (++item.tokens % kTokensPerEvent == 0) {
          OnEvent(item);
        }
      }
      std::erase_if(engine.running, [this](const simulated_request& item) {
        const bool is_over = item.tokens >= item.events * kTokensPerEvent;
        if (is_over) {
          OnEnd(item);
        }
        return is_over;
      });
      engine.running.insert(engine.running.end(), prefilled.begin(),
                            prefilled.end());
      engine.is_stepping =
          !engine.running.empty() || !engine.prefill_queue.empty();
      if (engine.is_stepping) {
        Step(engine);
      }
    });
  }

  void OnEvent(simulated_request& item) {
    if (item.first_event < 0) {
      item.first_event = now_;
      daemons_[item.daemon]->table.OnFirstByte(item.engine, item.expected);
    } else {
      item.longest_gap = std::max(item.longest_gap, now_ - item.last_event);
    }
    item.last_event = now_;
  }

  void OnEnd(const simulated_request& item) {
    daemons_[item.daemon]->table.OnEnd(item.engine);
    if (item.arrived < kWarmUpSeconds) {
      return;
    }
    const bool is_late =
        item.first_event - item.arrived > item.first_event_target ||
        item.longest_gap > kMaxEventGapSeconds;
    late_counter& counter = item.is_long ? longs : shorts;
    ++counter.count;
    counter.late += is_late ? 1 : 0;
    static constexpr double kLargePromptTokens = 13'000;
    if (item.prompt_tokens > kLargePromptTokens) {
      ++largest.count;
      largest.late += is_late ? 1 : 0;
    }
  }

  void ExchangeReports() {
    for (size_t i = 0; i < daemons_.size(); ++i) {
      const peer_placements report{
          .peer = std::to_string(i),
          .mix = daemons_[i]->classifier.LocalMix(Now()),
          .backlogs = daemons_[i]->table.ListBacklogs()};
      for (size_t j = 0; j < daemons_.size(); ++j) {
        if (i != j) {
          daemons_[j]->table.OnPeerPlacements(Now(), report);
          daemons_[j]->classifier.OnPeer(Now(), report.peer, report.mix);
        }
      }
    }
    At(now_ + kPeerReportSeconds, [this] { ExchangeReports(); });
  }

  options options_;
  std::mt19937_64 random_{7};
  double now_ = 0;
  std::multimap<double, std::function<void()>> events_;
  std::vector<std::unique_ptr<simulated_daemon>> daemons_;
  std::vector<simulated_engine> engines_;
};

struct fleet_pair {
  simulated_fleet reserved;
  simulated_fleet mixed;
};

/// Simulates the same load with and without engines reserved for short prompts.
fleet_pair RunBoth(simulated_fleet::options opts) {
  opts.reserves_engines = true;
  fleet_pair pair{.reserved = simulated_fleet(opts),
                  .mixed = simulated_fleet([&] {
                    opts.reserves_engines = false;
                    return opts;
                  }())};
  pair.reserved.Run();
  pair.mixed.Run();
  std::printf(
      "late, reserved and mixed: short %.3f %.3f, long %.3f %.3f, largest "
      "%.3f %.3f\n",
      pair.reserved.shorts.Share(), pair.mixed.shorts.Share(),
      pair.reserved.longs.Share(), pair.mixed.longs.Share(),
      pair.reserved.largest.Share(), pair.mixed.largest.Share());
  return pair;
}

TEST(stream_pauses_test, ShortPromptsAreNotDelayedByLongPrompts) {
  const fleet_pair pair = RunBoth({});
  EXPECT_LE(pair.reserved.shorts.Share(), 0.04);
  EXPECT_GT(pair.mixed.shorts.Share(), 5 * pair.reserved.shorts.Share());
  // Long prompts are hardly later for it, not even the largest ones.
  EXPECT_LE(pair.reserved.longs.Share(), pair.mixed.longs.Share() + 0.03);
  EXPECT_LE(pair.reserved.largest.Share(), pair.mixed.largest.Share() + 0.05);
}

TEST(stream_pauses_test, ReservingEnginesHelpsWithAQuarterOfThemMissing) {
  const fleet_pair pair = RunBoth({.missing_engines = 15});
  EXPECT_LE(pair.reserved.shorts.Share(), pair.mixed.shorts.Share());
  EXPECT_LE(pair.reserved.longs.Share(), pair.mixed.longs.Share() + 0.05);
}

TEST(stream_pauses_test, HotLongPrefixDoesNotDelayShortPrompts) {
  const fleet_pair pair = RunBoth({.hot_share = 0.3});
  EXPECT_LE(pair.reserved.shorts.Share(), 0.04);
  EXPECT_LE(pair.reserved.longs.Share(), pair.mixed.longs.Share() + 0.03);
}

}  // namespace
}  // namespace cuminswitch
