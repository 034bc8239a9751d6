// Refusals of an upstream that one daemon learns and the others act on.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Protocol/shard_directory.h"
#include "cuminswitch/Support/hash.h"
#include "take_action.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time in which each daemon gets the reports of all others.
constexpr duration kRotation = milliseconds(250);
/// Requests of the whole fleet in a second.
constexpr int kRate = 160;
constexpr duration kInterval = duration(seconds(1)) / kRate;
constexpr size_t kUpstreams = 6;
/// The upstream that every daemon prefers.
const std::string kFirst = "u0";

configuration MakeConfiguration() {
  configuration config;
  config.services = {{.name = "s", .repeatable = true}};
  config.models = {{.name = "s/m", .version = "2"}};
  for (size_t i = 0; i < kUpstreams; ++i) {
    config.upstreams.push_back({.name = "u" + std::to_string(i),
                                .serves = {"s", "s/m"},
                                .max_in_flight = 9});
  }
  config.workspaces = {
      {.name = "w", .uses = {"s", "s/m"}, .max_in_flight = 100}};
  return config;
}

/// A fleet whose daemons all serve.
class full_fleet : public shard_directory {
 public:
  explicit full_fleet(size_t size) : size_(size) {}
  const member* FindOwner(shard_number /*shard*/) const override {
    return nullptr;
  }
  size_t CountServing() const override { return size_; }

 private:
  size_t size_;
};

struct daemon {
  daemon(size_t number, size_t fleet, bool is_capacity_scarce, time_point now)
      : members(fleet),
        router(
            {.self = {.host = "h" + std::to_string(number), .incarnation = 1},
             .replicas = {.old_weights_time = seconds(60)},
             .refuse_without_upstream = true,
             .is_capacity_scarce = is_capacity_scarce},
            members) {
    auto config = std::make_shared<configuration>(MakeConfiguration());
    router.OnConfiguration(now, config, out);
    for (const upstream_spec& spec : config->upstreams) {
      Report(now, spec.name, "2");
    }
  }

  void Report(time_point now,
              const std::string& upstream,
              const std::string& version) {
    router.OnUpstreamReport(now,
                            {.upstream = upstream,
                             .reachable = true,
                             .incarnation = 1,
                             .started = 1,
                             .models = {{.name = "s/m", .version = version}}},
                            out);
  }

  void SendRequest(time_point now, const std::string& target = "s") {
    router.OnRequest(now,
                     {.request = ++last_request,
                      .workspace = "w",
                      .target = target,
                      .time_limit = seconds(2),
                      .repeats = repeat_rule::kRepeatable},
                     out);
  }

  /// Ends each attempt at once: those at \p refusing with \p refusal, the
  /// others with a response. Returns the number of attempts at \p refusing.
  size_t EndAttempts(time_point now,
                     const std::string& refusing,
                     upstream_refusal refusal) {
    size_t refused = 0;
    while (const auto sent = TakeAction<dispatch_attempt>(out)) {
      upstreams.push_back(sent->upstream);
      if (sent->upstream != refusing) {
        router.OnResponse(now, sent->attempt, {});
        router.OnAttemptEnded(
            now, {.attempt = sent->attempt, .result = outcome::kAnswered}, out);
        continue;
      }
      ++refused;
      if (refusal == upstream_refusal::kNone) {
        router.OnResponse(now, sent->attempt, {});
        router.OnAttemptEnded(
            now, {.attempt = sent->attempt, .result = outcome::kAnswered}, out);
        continue;
      }
      const bool is_mismatch = refusal == upstream_refusal::kMismatch;
      router.OnAttemptEnded(
          now,
          {.attempt = sent->attempt,
           .result = outcome::kNotRun,
           .refused_busy = is_mismatch,
           .is_mismatch = is_mismatch,
           .unreachable = refusal == upstream_refusal::kUnreachable},
          out);
    }
    return refused;
  }

  full_fleet members;
  request_router router;
  action_list out;
  request_id last_request = 0;
  /// Where attempts went.
  std::vector<std::string> upstreams;
};

/// Daemons with virtual time that send one another their observations.
class test_fleet {
 public:
  explicit test_fleet(size_t size, bool is_capacity_scarce = true) {
    for (size_t i = 0; i < size; ++i) {
      daemons_.push_back(
          std::make_unique<daemon>(i, size, is_capacity_scarce, now_));
    }
    now_ += seconds(10);
  }

  /// Plays the load for \p time while \p refusing refuses; returns the number
  /// of refused attempts.
  size_t Play(duration time,
              const std::string& refusing,
              upstream_refusal refusal) {
    size_t refused = 0;
    for (const time_point end = now_ + time; now_ < end; ++step_) {
      now_ += kInterval;
      daemon& next = *daemons_[step_ % daemons_.size()];
      next.SendRequest(now_);
      refused += next.EndAttempts(now_, refusing, refusal);
      if (now_ >= next_report_) {
        next_report_ = now_ + kRotation;
        ExchangeReports();
      }
    }
    return refused;
  }

  void ExchangeReports() {
    for (size_t from = 0; from < daemons_.size(); ++from) {
      auto report = daemons_[from]->router.ListObservations(now_);
      for (upstream_observation& item : report) {
        item.age += report_delay;
      }
      for (size_t to = 0; to < daemons_.size(); ++to) {
        const bool is_cut = from < cut_daemons || to < cut_daemons;
        const bool is_lost = Hash64("lost", ++messages_) % 100 < lost_percent;
        if (from != to && !is_cut && !is_lost) {
          daemons_[to]->router.OnPeerObservations(now_, report);
        }
      }
    }
  }

  /// Adds a daemon that knows nothing yet.
  daemon& Start() {
    daemons_.push_back(std::make_unique<daemon>(
        daemons_.size(), daemons_.size() + 1, true, now_));
    return *daemons_.back();
  }

  time_point now() const { return now_; }

  /// Daemons without contact with their peers.
  size_t cut_daemons = 0;
  uint64_t lost_percent = 0;
  duration report_delay{0};

 private:
  time_point now_{seconds(1)};
  time_point next_report_{};
  size_t step_ = 0;
  uint64_t messages_ = 0;
  std::vector<std::unique_ptr<daemon>> daemons_;
};

/// Refusals that callers may pay for in three seconds: the daemons together try
/// the upstream every 100 ms, and those that try before they have heard of one
/// another.
constexpr size_t kFewTrials = 90;

class pooled_refusal_test : public testing::TestWithParam<size_t> {};

// Guards against each daemon of a fleet finding out by itself that an upstream
// has other weights than its entry says.
TEST_P(pooled_refusal_test, MismatchIsTriedByFew) {
  test_fleet fleet(GetParam());
  EXPECT_LE(fleet.Play(seconds(3), kFirst, upstream_refusal::kMismatch),
            kFewTrials);
  // It serves again: trials notice it, and all use it soon.
  fleet.Play(seconds(2), "", {});
  const size_t used = fleet.Play(seconds(1), kFirst, {});
  EXPECT_GE(used, kRate / 2U);
}

// Shows that the bound tells pooled refusals from those that each daemon learns
// alone.
TEST_P(pooled_refusal_test, MismatchIsTriedByAllWithoutPooling) {
  test_fleet fleet(GetParam(), false);
  EXPECT_GT(fleet.Play(seconds(3), kFirst, upstream_refusal::kMismatch),
            2 * kFewTrials);
}

// Guards against the same for an upstream that is gone.
TEST_P(pooled_refusal_test, UnreachableUpstreamIsTriedByFew) {
  test_fleet fleet(GetParam());
  EXPECT_LE(fleet.Play(seconds(3), kFirst, upstream_refusal::kUnreachable),
            kFewTrials);
}

TEST_P(pooled_refusal_test, HoldsWithAThirdCutAndReportsLateOrLost) {
  test_fleet fleet(GetParam());
  fleet.cut_daemons = GetParam() / 3;
  fleet.lost_percent = 50;
  fleet.report_delay = milliseconds(200);
  EXPECT_LE(fleet.Play(seconds(3), kFirst, upstream_refusal::kMismatch),
            kFewTrials);
}

TEST_P(pooled_refusal_test, NewDaemonKnowsWithinARotation) {
  test_fleet fleet(GetParam());
  fleet.Play(seconds(1), kFirst, upstream_refusal::kMismatch);
  daemon& fresh = fleet.Start();
  fleet.ExchangeReports();
  fresh.SendRequest(fleet.now());
  EXPECT_EQ(fresh.EndAttempts(fleet.now(), kFirst, {}), 0U);
}

INSTANTIATE_TEST_SUITE_P(fleets, pooled_refusal_test, testing::Values(8, 72));

// Guards against requests refused although an upstream could have tried them.
TEST(pooled_refusals_test, UpstreamsThatAllRefuseAreStillTried) {
  daemon alone(0, 1, true, time_point(seconds(1)));
  std::vector<upstream_observation> refusals;
  for (size_t i = 0; i < kUpstreams; ++i) {
    refusals.push_back({.upstream = Hash64("u" + std::to_string(i)),
                        .incarnation = 1,
                        .refusal = upstream_refusal::kMismatch});
  }
  const time_point now(seconds(9));
  alone.router.OnPeerObservations(now, refusals);
  alone.SendRequest(now);
  alone.EndAttempts(now, "", {});
  EXPECT_EQ(alone.upstreams.size(), 1U);
}

// Guards against an engine that is refused by all until its entry arrives,
// although it must have the newest weights.
TEST(pooled_refusals_test, MismatchOfOldWeightsLeadsToTheNewest) {
  daemon alone(0, 1, true, time_point(seconds(1)));
  time_point now(seconds(9));
  for (size_t i = 0; i < kUpstreams; ++i) {
    alone.Report(now, "u" + std::to_string(i), "1");
  }
  alone.SendRequest(now, "s/m");
  const auto first = *TakeAction<dispatch_attempt>(alone.out);
  EXPECT_EQ(first.weights_version, "1");
  alone.router.OnAttemptEnded(now,
                              {.attempt = first.attempt,
                               .result = outcome::kNotRun,
                               .refused_busy = true,
                               .is_mismatch = true},
                              alone.out);
  alone.EndAttempts(now, "", {});
  // The entry is sent again before the upstream renews it.
  alone.Report(now, first.upstream, "1");
  now += milliseconds(100);
  alone.SendRequest(now, "s/m");
  const auto second = *TakeAction<dispatch_attempt>(alone.out);
  EXPECT_EQ(second.upstream, first.upstream);
  EXPECT_EQ(second.weights_version, "2");
}

// Guards against changed decisions in deployments that call for none of this.
TEST(pooled_refusals_test, WithoutScarceCapacityDecisionsAreUnchanged) {
  const time_point start(seconds(1));
  daemon told(0, 8, false, start);
  daemon untold(0, 8, false, start);
  for (int millis = 0; millis < 3000; millis += 20) {
    const time_point now = start + seconds(8) + milliseconds(millis);
    told.router.OnPeerObservations(
        now, std::vector<upstream_observation>{
                 {.upstream = Hash64("u1"),
                  .incarnation = 1,
                  .running = 5,
                  .slots = 9,
                  .refusal = upstream_refusal::kMismatch}});
    for (daemon* item : {&told, &untold}) {
      item->SendRequest(now);
      item->EndAttempts(now, kFirst, upstream_refusal::kMismatch);
    }
  }
  EXPECT_EQ(told.upstreams, untold.upstreams);
  EXPECT_TRUE(told.router.ListObservations(start + seconds(11)).empty());
}

}  // namespace
}  // namespace cuminswitch
