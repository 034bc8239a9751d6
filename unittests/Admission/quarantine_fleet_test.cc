// Crashing requests and fleets of many daemons, in virtual time: how many
// upstreams end, and who is refused that should not be.
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

/// Daemons that tell one another in beats. Each beat reaches a peer with some
/// delay, or is lost.
class quarantine_fleet {
 public:
  struct options {
    size_t daemons = 8;
    /// Within this time a daemon's beats have gone to all peers once.
    duration round = milliseconds(120);
    /// What stands is told again after so long.
    duration standing = milliseconds(1500);
    double loss = 0;
    uint64_t seed = 1;
  };

  explicit quarantine_fleet(const options& opts)
      : options_(opts),
        random_(opts.seed),
        tables_(opts.daemons),
        next_beat_(opts.daemons, time_point()),
        told_standing_(opts.daemons, time_point()),
        began_(opts.daemons, time_point()) {}

  time_point now() const { return now_; }
  size_t Draw(size_t count) { return random_() % count; }
  /// Daemons from this one on neither tell nor hear; for none, the size.
  void CutFrom(size_t first) { cut_from_ = first; }
  void Restart(size_t daemon) {
    tables_[daemon] = request_quarantine();
    began_[daemon] = now_;
  }
  duration Age(size_t daemon) const { return now_ - began_[daemon]; }

  void Advance(duration step) {
    now_ += step;
    for (size_t daemon = 0; daemon < tables_.size(); ++daemon) {
      if (now_ >= next_beat_[daemon]) {
        next_beat_[daemon] = now_ + options_.round;
        Tell(daemon);
      }
    }
    while (!mail_.empty() && mail_.top().at <= now_) {
      const letter& item = mail_.top();
      tables_[item.to].OnUpdate(now_, *item.news);
      mail_.pop();
    }
  }

  bool IsHeldBack(size_t daemon, const hash128& request) const {
    return tables_[daemon].TimeLeft(now_, request).has_value();
  }
  /// A run that was sent \p took ago breaks off.
  void Crash(size_t daemon,
             const hash128& request,
             uint64_t upstream,
             duration took = milliseconds(10)) {
    tables_[daemon].OnCrash(now_, request, upstream, now_ - took);
  }
  void Complete(size_t daemon, const hash128& request, duration took) {
    tables_[daemon].OnCompleted(now_, request, now_ - took);
  }

 private:
  struct letter {
    time_point at{};
    size_t to = 0;
    std::shared_ptr<const quarantine_update> news;
    bool operator<(const letter& other) const { return at > other.at; }
  };

  void Tell(size_t daemon) {
    const auto news =
        std::make_shared<quarantine_update>(tables_[daemon].TakeUpdate(now_));
    if (now_ - told_standing_[daemon] >= options_.standing) {
      told_standing_[daemon] = now_;
      for (const crash_report& item : tables_[daemon].ListActiveCrashes(now_)) {
        news->crashes.push_back(item);
      }
    }
    if (news->IsEmpty()) {
      return;
    }
    for (size_t peer = 0; peer < tables_.size(); ++peer) {
      const bool is_cut = (peer >= cut_from_) != (daemon >= cut_from_);
      const bool is_lost =
          std::uniform_real_distribution<double>()(random_) < options_.loss;
      if (peer == daemon || is_cut || is_lost) {
        continue;
      }
      // A round goes to some peers at a time.
      const duration delay(static_cast<int64_t>(
          random_() % static_cast<uint64_t>(options_.round.count())));
      mail_.push({.at = now_ + delay, .to = peer, .news = news});
    }
  }

  options options_;
  std::mt19937_64 random_;
  std::vector<request_quarantine> tables_;
  std::vector<time_point> next_beat_;
  std::vector<time_point> told_standing_;
  std::vector<time_point> began_;
  std::priority_queue<letter> mail_;
  size_t cut_from_ = SIZE_MAX;
  time_point now_{seconds(1)};
};

constexpr hash128 kCrashing{.high = 1, .low = 1};
constexpr duration kStep = milliseconds(10);
/// Retries are counted from then on after the third crash.
constexpr duration kContactTime = seconds(3);

struct outcome_counts {
  size_t crashes = 0;
  /// Sent later than `kContactTime` after the third crash.
  size_t late_sends = 0;
  size_t refused_sound = 0;
};

/// One request comes \p rate times a second at daemons of chance for \p time,
/// and crashes whoever runs it.
outcome_counts Play(quarantine_fleet& fleet,
                    size_t daemons,
                    double rate,
                    duration time,
                    const std::function<void(duration)>& on_step = {}) {
  outcome_counts counts;
  const time_point began = fleet.now();
  time_point third{};
  uint64_t upstream = 0;
  double due = 0;
  while (fleet.now() - began < time) {
    fleet.Advance(kStep);
    if (on_step) {
      on_step(fleet.now() - began);
    }
    for (due += rate * ToSeconds(kStep); due >= 1; due -= 1) {
      const size_t daemon = fleet.Draw(daemons);
      if (fleet.IsHeldBack(daemon, kCrashing)) {
        continue;
      }
      const bool is_late = counts.crashes >= 3 &&
                           fleet.now() - third > kContactTime &&
                           fleet.Age(daemon) > kContactTime;
      counts.late_sends += is_late ? 1 : 0;
      fleet.Crash(daemon, kCrashing, ++upstream);
      if (++counts.crashes == 3) {
        third = fleet.now();
      }
    }
  }
  return counts;
}

/// Daemons, and the time in which a round of beats reaches all.
struct fleet_size {
  size_t daemons;
  duration round;
};
class crashing_fleet : public testing::TestWithParam<fleet_size> {
 protected:
  quarantine_fleet::options Options() const {
    return {.daemons = GetParam().daemons, .round = GetParam().round};
  }
};
INSTANTIATE_TEST_SUITE_P(Sizes,
                         crashing_fleet,
                         testing::Values(fleet_size{1, milliseconds(120)},
                                         fleet_size{8, milliseconds(120)},
                                         fleet_size{68, milliseconds(400)},
                                         fleet_size{300, milliseconds(1500)}));

TEST_P(crashing_fleet, NothingIsSentLateHoweverOftenItComes) {
  for (const double rate : {1.0, 8.0, 50.0}) {
    quarantine_fleet fleet(Options());
    const auto counts = Play(fleet, GetParam().daemons, rate, seconds(20));
    EXPECT_EQ(counts.late_sends, 0U) << rate << " a second";
    // Those that come before the news of the third.
    const double unknown = 3 + 2 * rate * ToSeconds(GetParam().round);
    EXPECT_LE(static_cast<double>(counts.crashes), unknown + 2)
        << rate << " a second";
  }
}

TEST_P(crashing_fleet, NothingIsSentLateWhileBeatsAreLostAndDaemonsRestart) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    quarantine_fleet::options options = Options();
    options.loss = 0.2;
    options.seed = seed;
    quarantine_fleet fleet(options);
    duration next = seconds(2);
    const auto counts =
        Play(fleet, options.daemons, 8, seconds(15), [&](duration at) {
          // One that was alone knew all there was to know.
          if (at >= next && options.daemons > 1) {
            next += seconds(1);
            fleet.Restart(fleet.Draw(options.daemons));
          }
        });
    EXPECT_EQ(counts.late_sends, 0U) << "seed " << seed;
  }
}

TEST_P(crashing_fleet, EachSideOfACutKeepsToItself) {
  quarantine_fleet fleet(Options());
  fleet.CutFrom(GetParam().daemons * 3 / 5);
  const auto counts = Play(fleet, GetParam().daemons, 8, seconds(20));
  EXPECT_LE(counts.late_sends, 3U);
}

// Whole services crash together, and nobody's request is the reason.
TEST(quarantine_fleet_test, ServicesThatCrashAtOnceGetNoRequestRefused) {
  constexpr size_t kDaemons = 8;
  constexpr size_t kUpstreams = 12;
  constexpr size_t kPopular = 20;
  constexpr uint64_t kInFlight = 120;
  quarantine_fleet fleet({.daemons = kDaemons});
  uint64_t start = 0;
  uint64_t next_request = 100;
  size_t refused = 0;
  size_t asked = 0;
  std::vector<hash128> broken;
  const auto send = [&](const hash128& request) {
    const size_t daemon = fleet.Draw(kDaemons);
    ++asked;
    refused += fleet.IsHeldBack(daemon, request) ? 1 : 0;
    return daemon;
  };
  const auto choose = [&]() -> hash128 {
    // Half of the traffic is many callers that send the same.
    return fleet.Draw(2) == 0 ? hash128{.high = 2, .low = fleet.Draw(kPopular)}
                              : hash128{.high = 3, .low = ++next_request};
  };
  for (int time = 0; time < 5; ++time) {
    for (int step = 0; step < 350; ++step) {
      fleet.Advance(kStep);
      const hash128 request = choose();
      fleet.Complete(send(request), request, milliseconds(200));
    }
    std::vector<hash128> again = std::exchange(broken, {});
    while (again.size() < kInFlight) {
      again.push_back(choose());
    }
    for (const hash128& request : again) {
      fleet.Crash(send(request), request, start + fleet.Draw(kUpstreams),
                  milliseconds(200));
      // Some come back while the next crash is near.
      if (fleet.Draw(4) == 0) {
        broken.push_back(request);
      }
    }
    start += kUpstreams;
  }
  EXPECT_GT(asked, 2000U);
  EXPECT_LE(refused, asked / 200);
}

// Those that run beside a crashing request break off with it, and go on
// elsewhere, some of them along with it.
TEST(quarantine_fleet_test, ThoseThatRunBesideACrashingRequestAreServed) {
  constexpr size_t kDaemons = 8;
  constexpr size_t kBeside = 40;
  size_t refused = 0;
  size_t asked = 0;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    quarantine_fleet fleet({.daemons = kDaemons, .seed = seed});
    std::vector<hash128> beside;
    for (uint64_t id = 0; id < kBeside; ++id) {
      beside.push_back({.high = 5, .low = id});
    }
    for (uint64_t upstream = 1; upstream <= 4; ++upstream) {
      for (const hash128& request : beside) {
        fleet.Crash(fleet.Draw(kDaemons), request, upstream);
      }
      fleet.Crash(fleet.Draw(kDaemons), kCrashing, upstream);
      // A quarter goes where the crashing one goes next.
      std::erase_if(beside, [&](const hash128&) { return fleet.Draw(4) != 0; });
      for (int i = 0; i < 50; ++i) {
        fleet.Advance(kStep);
      }
    }
    for (uint64_t id = 0; id < kBeside; ++id) {
      ++asked;
      refused += fleet.IsHeldBack(fleet.Draw(kDaemons), {.high = 5, .low = id})
                     ? 1
                     : 0;
    }
  }
  EXPECT_LE(refused, asked / 20);
}

}  // namespace
}  // namespace cuminswitch
