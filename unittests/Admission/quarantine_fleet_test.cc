// Requests that crash upstreams, in fleets of many daemons and virtual time:
// how many upstreams crash, and how many harmless requests are refused.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "cuminswitch/Admission/request_quarantine.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Daemons that send each other updates in heartbeats. Each heartbeat reaches a
/// peer with some delay, or is lost.
class quarantine_fleet {
 public:
  struct options {
    size_t daemons = 8;
    /// Length of a heartbeat round, in which a daemon sends to each peer once.
    duration round = milliseconds(120);
    /// Interval at which active crashes are sent again.
    duration resend_interval = milliseconds(1500);
    /// Share of heartbeats that are lost.
    double loss = 0;
    uint64_t seed = 1;
  };

  explicit quarantine_fleet(const options& opts)
      : options_(opts),
        random_(opts.seed),
        quarantines_(opts.daemons),
        next_heartbeat_(opts.daemons, time_point()),
        last_resent_at_(opts.daemons, time_point()),
        started_at_(opts.daemons, time_point()) {}

  time_point now() const { return now_; }
  size_t Draw(size_t count) { return random_() % count; }
  /// Partitions the network between the daemons below \p first and those from
  /// it on.
  void PartitionFrom(size_t first) { partition_start_ = first; }
  void Restart(size_t daemon) {
    quarantines_[daemon] = request_quarantine();
    started_at_[daemon] = now_;
  }
  duration Age(size_t daemon) const { return now_ - started_at_[daemon]; }

  void Advance(duration step) {
    now_ += step;
    for (size_t daemon = 0; daemon < quarantines_.size(); ++daemon) {
      if (now_ >= next_heartbeat_[daemon]) {
        next_heartbeat_[daemon] = now_ + options_.round;
        SendHeartbeat(daemon);
      }
    }
    while (!in_flight_.empty() && in_flight_.top().at <= now_) {
      const message& item = in_flight_.top();
      quarantines_[item.to].OnUpdate(now_, *item.update);
      in_flight_.pop();
    }
  }

  bool IsQuarantined(size_t daemon, const hash128& request) const {
    return quarantines_[daemon].TimeLeft(now_, request).has_value();
  }
  /// Ends an execution that was sent \p took ago without a response.
  void Crash(size_t daemon,
             const hash128& request,
             uint64_t upstream,
             duration took = milliseconds(10)) {
    quarantines_[daemon].OnCrash(now_, request, upstream, now_ - took);
  }
  void Complete(size_t daemon, const hash128& request, duration took) {
    quarantines_[daemon].OnCompleted(now_, request, now_ - took);
  }

 private:
  struct message {
    time_point at{};
    size_t to = 0;
    std::shared_ptr<const quarantine_update> update;
    bool operator<(const message& other) const { return at > other.at; }
  };

  void SendHeartbeat(size_t daemon) {
    const auto update = std::make_shared<quarantine_update>(
        quarantines_[daemon].TakeUpdate(now_));
    if (now_ - last_resent_at_[daemon] >= options_.resend_interval) {
      last_resent_at_[daemon] = now_;
      for (const crash_report& item :
           quarantines_[daemon].ListActiveCrashes(now_)) {
        update->crashes.push_back(item);
      }
    }
    if (update->IsEmpty()) {
      return;
    }
    for (size_t peer = 0; peer < quarantines_.size(); ++peer) {
      const bool is_partitioned =
          (peer >= partition_start_) != (daemon >= partition_start_);
      const bool is_lost =
          std::uniform_real_distribution<double>()(random_) < options_.loss;
      if (peer == daemon || is_partitioned || is_lost) {
        continue;
      }
      // A round reaches the peers one after the other.
      const duration delay(static_cast<int64_t>(
          random_() % static_cast<uint64_t>(options_.round.count())));
      in_flight_.push({.at = now_ + delay, .to = peer, .update = update});
    }
  }

  options options_;
  std::mt19937_64 random_;
  std::vector<request_quarantine> quarantines_;
  std::vector<time_point> next_heartbeat_;
  std::vector<time_point> last_resent_at_;
  std::vector<time_point> started_at_;
  std::priority_queue<message> in_flight_;
  size_t partition_start_ = SIZE_MAX;
  time_point now_{seconds(1)};
};

constexpr hash128 kCrashing{.high = 1, .low = 1};
constexpr duration kStep = milliseconds(10);
/// Time after the third crash by which no daemon may send the request. A newly
/// started daemon has as long to receive the crashes.
constexpr duration kPropagationTime = seconds(3);

struct outcome_counts {
  size_t crashes = 0;
  /// Sent later than `kPropagationTime` after the third crash.
  size_t late_sends = 0;
  size_t refused_harmless = 0;
};

/// Sends one request \p rate times per second to random daemons for \p time. It
/// crashes each upstream that runs it.
outcome_counts Simulate(quarantine_fleet& fleet,
                        size_t daemons,
                        double rate,
                        duration time,
                        const std::function<void(duration)>& on_step = {}) {
  outcome_counts counts;
  const time_point started_at = fleet.now();
  time_point third_crash_at{};
  uint64_t upstream = 0;
  double due = 0;
  while (fleet.now() - started_at < time) {
    fleet.Advance(kStep);
    if (on_step) {
      on_step(fleet.now() - started_at);
    }
    for (due += rate * ToSeconds(kStep); due >= 1; due -= 1) {
      const size_t daemon = fleet.Draw(daemons);
      if (fleet.IsQuarantined(daemon, kCrashing)) {
        continue;
      }
      const bool is_late = counts.crashes >= 3 &&
                           fleet.now() - third_crash_at > kPropagationTime &&
                           fleet.Age(daemon) > kPropagationTime;
      counts.late_sends += is_late ? 1 : 0;
      fleet.Crash(daemon, kCrashing, ++upstream);
      if (++counts.crashes == 3) {
        third_crash_at = fleet.now();
      }
    }
  }
  return counts;
}

/// Number of daemons, and length of their heartbeat round.
struct fleet_shape {
  size_t daemons;
  duration round;
};
class crashing_fleet : public testing::TestWithParam<fleet_shape> {
 protected:
  quarantine_fleet::options Options() const {
    return {.daemons = GetParam().daemons, .round = GetParam().round};
  }
};
INSTANTIATE_TEST_SUITE_P(Sizes,
                         crashing_fleet,
                         testing::Values(fleet_shape{1, milliseconds(120)},
                                         fleet_shape{8, milliseconds(120)},
                                         fleet_shape{68, milliseconds(400)},
                                         fleet_shape{300, milliseconds(1500)}));

TEST_P(crashing_fleet, StopsSendingAtEveryRequestRate) {
  for (const double rate : {1.0, 8.0, 50.0}) {
    quarantine_fleet fleet(Options());
    const auto counts = Simulate(fleet, GetParam().daemons, rate, seconds(20));
    EXPECT_EQ(counts.late_sends, 0U) << rate << " a second";
    // Requests that arrive before the update with the third crash.
    const double before_update = 3 + 2 * rate * ToSeconds(GetParam().round);
    EXPECT_LE(static_cast<double>(counts.crashes), before_update + 2)
        << rate << " a second";
  }
}

TEST_P(crashing_fleet, StopsSendingDespiteHeartbeatLossAndRestarts) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    quarantine_fleet::options options = Options();
    options.loss = 0.2;
    options.seed = seed;
    quarantine_fleet fleet(options);
    duration next = seconds(2);
    const auto counts =
        Simulate(fleet, options.daemons, 8, seconds(15), [&](duration at) {
          // In a fleet of one, a restart would lose all recorded crashes.
          if (at >= next && options.daemons > 1) {
            next += seconds(1);
            fleet.Restart(fleet.Draw(options.daemons));
          }
        });
    EXPECT_EQ(counts.late_sends, 0U) << "seed " << seed;
  }
}

TEST_P(crashing_fleet, QuarantinesOnEachSideOfANetworkPartition) {
  quarantine_fleet fleet(Options());
  fleet.PartitionFrom(GetParam().daemons * 3 / 5);
  const auto counts = Simulate(fleet, GetParam().daemons, 8, seconds(20));
  EXPECT_LE(counts.late_sends, 3U);
}

// All upstreams of a service crash together, and no request is the cause.
TEST(quarantine_fleet_test, RefusesNoRequestsAfterMassCrashes) {
  constexpr size_t kDaemons = 8;
  constexpr size_t kUpstreams = 12;
  constexpr size_t kPopular = 20;
  constexpr uint64_t kInFlight = 120;
  quarantine_fleet fleet({.daemons = kDaemons});
  uint64_t start = 0;
  uint64_t next_request = 100;
  size_t refused = 0;
  size_t sent_count = 0;
  std::vector<hash128> aborted;
  const auto send = [&](const hash128& request) {
    const size_t daemon = fleet.Draw(kDaemons);
    ++sent_count;
    refused += fleet.IsQuarantined(daemon, request) ? 1 : 0;
    return daemon;
  };
  const auto choose = [&]() -> hash128 {
    // Half of the traffic are popular requests, which many callers send.
    return fleet.Draw(2) == 0 ? hash128{.high = 2, .low = fleet.Draw(kPopular)}
                              : hash128{.high = 3, .low = ++next_request};
  };
  for (int time = 0; time < 5; ++time) {
    for (int step = 0; step < 350; ++step) {
      fleet.Advance(kStep);
      const hash128 request = choose();
      fleet.Complete(send(request), request, milliseconds(200));
    }
    std::vector<hash128> retried = std::exchange(aborted, {});
    while (retried.size() < kInFlight) {
      retried.push_back(choose());
    }
    for (const hash128& request : retried) {
      fleet.Crash(send(request), request, start + fleet.Draw(kUpstreams),
                  milliseconds(200));
      // Some are sent again when the next mass crash is near.
      if (fleet.Draw(4) == 0) {
        aborted.push_back(request);
      }
    }
    start += kUpstreams;
  }
  EXPECT_GT(sent_count, 2000U);
  EXPECT_LE(refused, sent_count / 200);
}

// Requests that run beside a crashing one are aborted with it and retried at
// other upstreams, some of them again beside the crashing one.
TEST(quarantine_fleet_test, ServesRequestsThatRanBesideACrashingOne) {
  constexpr size_t kDaemons = 8;
  constexpr size_t kBystanders = 40;
  size_t refused = 0;
  size_t sent_count = 0;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    quarantine_fleet fleet({.daemons = kDaemons, .seed = seed});
    std::vector<hash128> bystanders;
    for (uint64_t id = 0; id < kBystanders; ++id) {
      bystanders.push_back({.high = 5, .low = id});
    }
    for (uint64_t upstream = 1; upstream <= 4; ++upstream) {
      for (const hash128& request : bystanders) {
        fleet.Crash(fleet.Draw(kDaemons), request, upstream);
      }
      fleet.Crash(fleet.Draw(kDaemons), kCrashing, upstream);
      // A quarter runs at the next upstream of the crashing request.
      std::erase_if(bystanders,
                    [&](const hash128&) { return fleet.Draw(4) != 0; });
      for (int i = 0; i < 50; ++i) {
        fleet.Advance(kStep);
      }
    }
    for (uint64_t id = 0; id < kBystanders; ++id) {
      ++sent_count;
      refused +=
          fleet.IsQuarantined(fleet.Draw(kDaemons), {.high = 5, .low = id}) ? 1
                                                                            : 0;
    }
  }
  EXPECT_LE(refused, sent_count / 20);
}

}  // namespace
}  // namespace cuminswitch
