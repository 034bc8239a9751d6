// Retry budget of a fleet whose daemons restart, in virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <tuple>
#include <vector>

#include "cuminswitch/Admission/retry_budget.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

/// The bound over the fleet, and the part of its share that a daemon earns.
constexpr double kShare = 0.2;
constexpr double kShareUsed = 0.8 * kShare;
constexpr double kBurst = 54;
constexpr milliseconds kWindow{10'000};
constexpr milliseconds kStep{50};

/// Daemons that always have more requests to retry than the budget allows.
class retry_fleet {
 public:
  explicit retry_fleet(size_t daemons) : daemons_(daemons) {
    for (size_t i = 0; i < daemons; ++i) {
      Start(i, daemons);
    }
    Run(kWindow + 2 * kStep, 0);
  }

  /// Restarts the daemon; it knows of \p known daemons at first.
  void Start(size_t number, size_t known) {
    daemons_[number].emplace(
        retry_budget::options{.share = kShareUsed,
                              .start_share = kShare - kShareUsed,
                              .burst = kBurst,
                              .is_shared = true,
                              .started_at = now_});
    daemons_[number]->SetFleetSize(static_cast<double>(known));
  }
  void Kill(size_t number) { daemons_[number].reset(); }

  /// Each daemon gets a request with probability \p rate in each step, and
  /// retries as often as its budget allows if \p has_failures.
  void Run(milliseconds span, double rate, bool has_failures = true) {
    const time_point end = now_ + span;
    for (; now_ < end; now_ += kStep) {
      requests_.push_back(0);
      retries_.push_back(0);
      for (std::optional<retry_budget>& budget : daemons_) {
        const bool has_request =
            std::uniform_real_distribution<>()(random_) < rate;
        // Callers send requests to a killed daemon as well.
        requests_.back() += has_request ? 1 : 0;
        if (!budget || rate == 0) {
          continue;
        }
        if (has_request) {
          budget->OnFirstAttempt(now_);
        }
        while (has_failures && budget->TrySpend(now_)) {
          ++retries_.back();
        }
      }
    }
  }

  /// Returns the most retries in any window beyond the share of the requests.
  /// Requests are counted in that window, in the one before it, and in the one
  /// half a window before; the largest count is used.
  double MostBeyondShare() const {
    const auto length = static_cast<size_t>(kWindow / kStep);
    const auto sum = [&](const std::vector<int>& counts, size_t from) {
      const size_t to = std::min(counts.size(), from + length);
      int total = 0;
      for (size_t i = from; i < to; ++i) {
        total += counts[i];
      }
      return total;
    };
    double most = 0;
    for (size_t from = 0; from < retries_.size(); ++from) {
      const size_t before = from - std::min(from, length);
      const size_t half = from - std::min(from, length / 2);
      const int requests = std::max(
          {sum(requests_, from), sum(requests_, before), sum(requests_, half)});
      most = std::max(most, sum(retries_, from) - kShare * requests);
    }
    return most;
  }
  int retries() const {
    int total = 0;
    for (const int count : retries_) {
      total += count;
    }
    return total;
  }
  std::mt19937_64& random() { return random_; }

 private:
  std::vector<std::optional<retry_budget>> daemons_;
  std::vector<int> requests_;
  std::vector<int> retries_;
  time_point now_{std::chrono::seconds(1000)};
  std::mt19937_64 random_{7};
};

class retry_fleet_test : public testing::TestWithParam<size_t> {};
INSTANTIATE_TEST_SUITE_P(Daemons,
                         retry_fleet_test,
                         testing::Values(1, 2, 6, 7, 33, 68));

// Guards against a restart that renews a daemon's share of the burst.
TEST_P(retry_fleet_test, RestartsDoNotRenewTheBurst) {
  for (int phase = 0; phase < 10; ++phase) {
    retry_fleet fleet(GetParam());
    fleet.Run(milliseconds(1000 + 700 * phase), 0.5);
    for (int kill = 0; kill < 4; ++kill) {
      for (size_t i = 0; i < GetParam(); ++i) {
        fleet.Start(i, GetParam());
      }
      fleet.Run(milliseconds(900 + 400 * phase), 0.5);
    }
    fleet.Run(milliseconds(12'000), 0.5);
    EXPECT_LE(fleet.MostBeyondShare(), kBurst) << phase;
  }
}

// Guards against a restart right after a daemon has spent all that it had
// saved: the next process earned the same share once more within the window.
TEST_P(retry_fleet_test, RestartsDoNotRepeatSavedRetries) {
  for (int phase = 0; phase < 10; ++phase) {
    retry_fleet fleet(GetParam());
    fleet.Run(milliseconds(12'000), 1, false);
    fleet.Run(milliseconds(100 + 300 * phase), 1);
    for (int kill = 0; kill < 3; ++kill) {
      for (size_t i = 0; i < GetParam(); ++i) {
        fleet.Start(i, GetParam());
      }
      fleet.Run(milliseconds(3'000), 1);
    }
    fleet.Run(milliseconds(12'000), 1);
    EXPECT_LE(fleet.MostBeyondShare(), kBurst) << phase;
  }
}

// Guards against a newly started daemon that knows no others yet and takes the
// whole burst for its share.
TEST_P(retry_fleet_test, KeepsTheBudgetBeforePeersAreKnown) {
  retry_fleet fleet(GetParam());
  for (size_t i = 0; i < GetParam(); ++i) {
    fleet.Start(i, 1);
  }
  fleet.Run(milliseconds(9'000), 0.1);
  EXPECT_LE(fleet.MostBeyondShare(), kBurst);
}

TEST_P(retry_fleet_test, KeepsTheBudgetUnderRandomKills) {
  for (int run = 0; run < 5; ++run) {
    retry_fleet fleet(GetParam());
    for (int i = 0; i < 60; ++i) {
      const size_t number = fleet.random()() % GetParam();
      if (fleet.random()() % 2 == 0) {
        fleet.Kill(number);
      } else {
        fleet.Start(number, GetParam());
      }
      fleet.Run(milliseconds(50 + fleet.random()() % 800), 0.3);
    }
    EXPECT_LE(fleet.MostBeyondShare(), kBurst) << run;
  }
}

// Without restarts, callers get the whole burst.
TEST_P(retry_fleet_test, GrantsTheWholeBurstAWindowAfterTheStart) {
  retry_fleet fleet(GetParam());
  fleet.Run(milliseconds(1000), 1e-9);
  EXPECT_GE(fleet.retries(),
            static_cast<int>(kBurst / static_cast<double>(GetParam())) *
                static_cast<int>(GetParam()));
}

}  // namespace
}  // namespace cuminswitch
