// Requests that crash upstreams, in fleets of many daemons and virtual time:
// how many upstreams crash, and how many harmless requests are refused.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <string_view>
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
  request_quarantine& At(size_t daemon) { return quarantines_[daemon]; }

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

/// Requests that share parts of their prompts, some of which crash every
/// upstream that begins to execute a request with them. Upstreams execute
/// several requests at a time, and are back some seconds after a crash.
class shared_part_traffic {
 public:
  struct options {
    size_t daemons = 8;
    size_t upstreams = 12;
    /// Requests a second with each crashing part, and other requests a second.
    double crashing_rate = 4;
    double sound_rate = 25;
    size_t crashing_parts = 1;
    /// Whether the first part of prompts, which nearly all others share, is
    /// what crashes upstreams.
    bool crashes_under_first_part = false;
    /// Whether it is single requests, sent again and again, that crash
    /// upstreams, and no part of their prompts. Each is replaced by another
    /// after some seconds.
    bool crashes_under_requests = false;
    /// Whether requests with the crashing parts completed at first.
    bool completed_before = false;
  };
  struct part_counts {
    size_t crashes = 0;
    size_t late_sends = 0;
    time_point fifth_crash_at{};
  };

  shared_part_traffic(quarantine_fleet& fleet, const options& opts)
      : fleet_(fleet),
        options_(opts),
        counts_(opts.crashing_parts),
        starts_(opts.upstreams),
        back_at_(opts.upstreams) {
    for (uint64_t& start : starts_) {
      start = ++last_start_;
    }
  }

  /// Time that sound requests take.
  static constexpr duration kSoundTime = milliseconds(800);
  /// Time from when a request is sent until it crashes its upstream.
  static constexpr duration kCrashTime = milliseconds(60);
  static constexpr duration kRestartTime = seconds(3);
  /// A daemon must not send a crashing part later than this after the fifth
  /// crash.
  static constexpr duration kMaxSendTime = seconds(4);
  static constexpr duration kServedTime = seconds(8);
  static constexpr duration kRequestLifetime = seconds(3);

  const std::vector<part_counts>& counts() const { return counts_; }
  size_t sound_sent() const { return sound_sent_; }
  size_t sound_refused() const { return sound_refused_; }

  /// Sends requests for \p time; those with a crashing part only if
  /// \p has_crashing.
  void Run(duration time, bool has_crashing) {
    const time_point end = fleet_.now() + time;
    const bool sends_part = has_crashing || options_.completed_before;
    does_crash_ = has_crashing;
    while (fleet_.now() < end) {
      fleet_.Advance(kStep);
      if (fleet_.now() >= next_expiry_) {
        next_expiry_ = fleet_.now() + seconds(1);
        for (size_t daemon = 0; daemon < options_.daemons; ++daemon) {
          fleet_.At(daemon).Expire(fleet_.now());
        }
      }
      EndExecutions();
      for (due_sound_ += options_.sound_rate * ToSeconds(kStep);
           due_sound_ >= 1; due_sound_ -= 1) {
        SendSound();
      }
      for (size_t part = 0; sends_part && part < counts_.size(); ++part) {
        due_crashing_ += options_.crashing_rate * ToSeconds(kStep);
        if (due_crashing_ >= 1) {
          due_crashing_ -= 1;
          SendCrashing(part);
        }
      }
    }
  }

  /// Crashes all upstreams, one every \p interval, with no request as the
  /// cause.
  void CrashAll(duration interval) {
    for (size_t upstream = 0; upstream < options_.upstreams; ++upstream) {
      CrashUpstream(upstream);
      Run(interval, false);
    }
  }

 private:
  static constexpr size_t kNone = SIZE_MAX;
  struct execution {
    size_t daemon = 0;
    size_t upstream = 0;
    hash128 request;
    std::vector<hash128> parts;
    time_point sent{};
    /// Which crashing part it has, if any.
    size_t crashing = kNone;
  };

  static hash128 Part(std::string_view kind, size_t number) {
    return DigestPart("s", std::string(kind) + std::to_string(number));
  }
  hash128 NewRequest() { return {.high = 7, .low = ++last_request_}; }

  /// Sends a request unless its daemon refuses it; returns whether it was sent
  /// or no upstream could take it.
  bool Send(const hash128& request,
            const std::vector<hash128>& parts,
            size_t crashing) {
    const size_t daemon = fleet_.Draw(options_.daemons);
    if (fleet_.IsQuarantined(daemon, request)) {
      return false;
    }
    const hash128* refused =
        fleet_.At(daemon).FindQuarantined(fleet_.now(), parts);
    if (refused != nullptr &&
        !fleet_.At(daemon).TryStartTrial(fleet_.now(), *refused)) {
      return false;
    }
    const size_t upstream = fleet_.Draw(options_.upstreams);
    if (fleet_.now() < back_at_[upstream]) {
      return true;
    }
    running_.push_back({.daemon = daemon,
                        .upstream = upstream,
                        .request = request,
                        .parts = parts,
                        .sent = fleet_.now(),
                        .crashing = crashing});
    if (crashing != kNone && counts_[crashing].crashes >= 5 &&
        fleet_.now() - counts_[crashing].fifth_crash_at > kMaxSendTime) {
      ++counts_[crashing].late_sends;
    }
    return true;
  }

  void SendSound() {
    const size_t first = options_.crashes_under_first_part ? 1 : 0;
    const bool is_sent =
        Send(NewRequest(),
             {Part("first", first), Part("tool", fleet_.Draw(3)),
              Part("session", fleet_.Draw(40))},
             kNone);
    if (last_crash_at_ != time_point() &&
        fleet_.now() - last_crash_at_ > kServedTime) {
      ++sound_sent_;
      sound_refused_ += is_sent ? 0 : 1;
    }
  }

  void SendCrashing(size_t part) {
    std::vector<hash128> parts = {Part("first", 0),
                                  Part("tool", fleet_.Draw(3)),
                                  Part("session", fleet_.Draw(40))};
    hash128 request = NewRequest();
    if (options_.crashes_under_requests) {
      const auto number = static_cast<size_t>(fleet_.now().time_since_epoch() /
                                              kRequestLifetime);
      parts = {Part("first", 0), Part("tool", number % 3),
               Part("session", number % 40)};
      request = {.high = 9, .low = number};
    } else if (!options_.crashes_under_first_part) {
      parts.insert(parts.begin() + 2, Part("crash", part));
    }
    Send(request, parts, does_crash_ ? part : kNone);
  }

  void EndExecutions() {
    for (size_t i = 0; i < running_.size(); ++i) {
      if (running_[i].crashing != kNone &&
          fleet_.now() - running_[i].sent >= kCrashTime) {
        const size_t part = running_[i].crashing;
        CrashUpstream(running_[i].upstream);
        if (++counts_[part].crashes == 5) {
          counts_[part].fifth_crash_at = fleet_.now();
        }
        i = 0;
      }
    }
    std::erase_if(running_, [this](const execution& item) {
      const bool is_over = fleet_.now() - item.sent >= kSoundTime;
      if (is_over && item.crashing == kNone) {
        fleet_.At(item.daemon)
            .OnCompleted(fleet_.now(), item.request, item.sent);
        fleet_.At(item.daemon)
            .OnPartsCompleted(fleet_.now(), item.parts, item.sent);
      }
      return is_over;
    });
  }

  void CrashUpstream(size_t upstream) {
    std::erase_if(running_, [&](const execution& item) {
      if (item.upstream != upstream) {
        return false;
      }
      fleet_.At(item.daemon)
          .OnCrash(fleet_.now(), item.request, starts_[upstream], item.sent,
                   item.parts);
      return true;
    });
    starts_[upstream] = ++last_start_;
    back_at_[upstream] = fleet_.now() + kRestartTime;
    last_crash_at_ = fleet_.now();
  }

  quarantine_fleet& fleet_;
  options options_;
  std::vector<part_counts> counts_;
  std::vector<execution> running_;
  std::vector<uint64_t> starts_;
  std::vector<time_point> back_at_;
  time_point next_expiry_{};
  time_point last_crash_at_{};
  bool does_crash_ = false;
  double due_sound_ = 0;
  double due_crashing_ = 0;
  uint64_t last_start_ = 0;
  uint64_t last_request_ = 0;
  size_t sound_sent_ = 0;
  size_t sound_refused_ = 0;
};

class crashing_part_fleet : public crashing_fleet {
 protected:
  static constexpr uint64_t kSeeds = 5;

  void RunWith(shared_part_traffic::options options, bool has_history = true) {
    options.daemons = GetParam().daemons;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      quarantine_fleet::options shape = Options();
      shape.seed = seed;
      quarantine_fleet fleet(shape);
      shared_part_traffic traffic(fleet, options);
      traffic.Run(has_history ? seconds(10) : seconds(0), false);
      traffic.Run(seconds(20), true);
      for (const auto& part : traffic.counts()) {
        EXPECT_LE(part.late_sends, 3U) << "seed " << seed;
        crashes_ += part.crashes;
        late_sends_ += part.late_sends;
      }
      EXPECT_LE(traffic.sound_refused(), traffic.sound_sent() / 10)
          << "seed " << seed;
      refused_ += traffic.sound_refused();
      sent_ += traffic.sound_sent();
    }
    std::cout << options.daemons << " daemons: " << crashes_
              << " upstreams crashed, " << late_sends_ << " sends late, "
              << refused_ << " of " << sent_ << " sound requests refused\n";
  }

 private:
  size_t crashes_ = 0;
  size_t late_sends_ = 0;
  size_t refused_ = 0;
  size_t sent_ = 0;
};
INSTANTIATE_TEST_SUITE_P(Sizes,
                         crashing_part_fleet,
                         testing::Values(fleet_shape{8, milliseconds(120)},
                                         fleet_shape{68, milliseconds(400)},
                                         fleet_shape{300, milliseconds(1500)}));

// Guards against a prompt part that crashes upstreams in ever new requests.
TEST_P(crashing_part_fleet, StopsSendingAPartOfDifferentRequests) {
  RunWith({});
}

// Guards against a shared part that is refused since nothing has completed yet.
TEST_P(crashing_part_fleet, ServesSharedPartsInANewFleet) {
  RunWith({}, false);
}

// Guards against one crashing part that hides another.
TEST_P(crashing_part_fleet, StopsSendingTwoPartsAtOnce) {
  RunWith({.crashing_parts = 2});
}

// Guards against a first part that is thought sound since many requests have
// it.
TEST_P(crashing_part_fleet, StopsSendingACrashingFirstPart) {
  RunWith({.crashes_under_first_part = true});
}

// Guards against a part that is missed since its crashes are far apart.
TEST_P(crashing_part_fleet, StopsSendingARarePart) {
  RunWith({.crashing_rate = 0.7});
}

// Guards against parts that are quarantined since few upstreams are left.
TEST_P(crashing_part_fleet, StopsSendingAFrequentPart) {
  RunWith({.crashing_rate = 20});
}

// Guards against shared parts that stay quarantined after all upstreams crashed
// for another reason, since no request with them is sent any more.
TEST_P(crashing_part_fleet, ServesSharedPartsAfterAllUpstreamsCrashed) {
  for (const duration interval : {milliseconds(60), milliseconds(200)}) {
    quarantine_fleet fleet(Options());
    shared_part_traffic traffic(
        fleet, {.daemons = GetParam().daemons,
                .sound_rate = 3 * static_cast<double>(GetParam().daemons)});
    traffic.Run(seconds(10), false);
    traffic.CrashAll(interval);
    traffic.Run(seconds(20), false);
    EXPECT_GT(traffic.sound_sent(), 200U);
    EXPECT_LE(traffic.sound_refused(), traffic.sound_sent() / 4)
        << "every " << interval.count() << " us";
  }
}

// Guards against shared parts that are quarantined since whole requests with
// them crash upstreams.
TEST_P(crashing_part_fleet, ServesPartsOfCrashingRequests) {
  const double few =
      std::max(2.0, 0.03 * static_cast<double>(GetParam().daemons));
  for (const double rate : {few, 25.0}) {
    for (uint64_t seed = 1; seed <= 2; ++seed) {
      quarantine_fleet::options shape = Options();
      shape.seed = seed;
      quarantine_fleet fleet(shape);
      shared_part_traffic traffic(fleet, {.daemons = GetParam().daemons,
                                          .sound_rate = rate,
                                          .crashes_under_requests = true});
      traffic.Run(seconds(10), false);
      traffic.Run(seconds(20), true);
      traffic.Run(seconds(20), false);
      EXPECT_GT(traffic.sound_sent(), 20U);
      EXPECT_LE(traffic.sound_refused(), traffic.sound_sent() / 10)
          << rate << " a second, seed " << seed;
    }
  }
}

// Guards against a crashing part that completed before and is tried too often.
TEST_P(crashing_part_fleet, StopsSendingAPartThatCompletedBefore) {
  RunWith({.completed_before = true});
}

}  // namespace
}  // namespace cuminswitch
