// Tests of the load that all daemons together put on a cache store's link.
#include "cuminswitch/Routing/copy_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

#include "cuminswitch/Config/configuration.h"

namespace cuminswitch {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
const cache_store_spec kStore{.address = {"10.0.0.9", 9},
                              .failure_domain = "x",
                              .copy_rate = 300'000};

/// Returns the tokens that \p daemons daemons may copy in 10 s when each
/// requests 6,000 tokens ten times per second.
double CountCopiedIn10Seconds(size_t daemons, bool is_near) {
  std::vector<copy_budget> budgets(daemons);
  double copied = 0;
  for (copy_budget& budget : budgets) {
    budget.SetFleetSize(daemons);
    for (int i = 0; i < 100; ++i) {
      const time_point now = kStart + std::chrono::milliseconds(100 * i);
      copied += budget.TrySpend(now, kStore, is_near, 6'000) ? 6'000 : 0;
    }
  }
  return copied;
}

// Guards against links that stay saturated, with requests waiting 2 s for each
// long prefix, after the cause has passed: 60 engines lost their caches, and 63
// daemons had all prefixes copied from three stores. No daemon knew what the
// others requested.
TEST(copy_budget_test, AllDaemonsTogetherStayWithinABound) {
  // 10 s plus a burst of 2 s at twice the link rate, which is the initial link
  // share; plus one copy for each daemon, since a copy may overdraw the budget.
  const double bound = 12 * 2 * kStore.copy_rate + 63 * 6'000;
  EXPECT_LE(CountCopiedIn10Seconds(63, true), bound);
  EXPECT_GE(CountCopiedIn10Seconds(63, true), 0.3 * bound);
}

TEST(copy_budget_test, CopiesAcrossFailureDomainsCostTwiceAsMuch) {
  // Each daemon's share allows several copies.
  constexpr size_t kDaemons = 160;
  const double far = CountCopiedIn10Seconds(kDaemons, false);
  EXPECT_NEAR(far, CountCopiedIn10Seconds(kDaemons, true) / 2, 0.2 * far);
}

/// Simulates a fleet that copies over one store's link, in virtual time.
/// Engines lack a requested prefix with a given probability, and only missing
/// prefixes are transferred.
class simulated_fleet {
 public:
  explicit simulated_fleet(size_t daemons) : budgets_(daemons) {
    for (copy_budget& budget : budgets_) {
      budget.SetFleetSize(daemons);
    }
  }

  /// Simulates \p seconds with 300 requests per second of 6,000 shared tokens
  /// each. A quarter of the tokens is expected to be missing at the engine; the
  /// actual probability of a missing prefix is \p miss_chance. Returns the
  /// median wait of the copies that were transferred in the last 10 s.
  duration Run(int seconds, double miss_chance) {
    std::vector<duration> waits;
    for (int i = 0; i < 300 * seconds; ++i) {
      now_ += std::chrono::microseconds(1'000'000 / 300);
      copy_budget& budget = budgets_[random_() % budgets_.size()];
      const bool is_copied = budget.TrySpend(now_, kStore, true, 1'500);
      const bool is_transferred = is_copied && IsMissing(miss_chance);
      const duration wait = is_transferred ? Transfer(6'000) : duration(0);
      budget.OnFirstByte(
          is_copied ? std::optional(kStore.address) : std::nullopt, wait);
      if (i >= 300 * (seconds - 10) && is_transferred) {
        waits.push_back(wait);
      }
    }
    std::sort(waits.begin(), waits.end());
    return waits.empty() ? duration(0) : waits[waits.size() / 2];
  }

  double MeanShare() const {
    double sum = 0;
    for (const copy_budget& budget : budgets_) {
      sum += budget.LinkShare(kStore.address);
    }
    return sum / static_cast<double>(budgets_.size());
  }

 private:
  bool IsMissing(double chance) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < chance;
  }

  /// Transfers copies one after the other. A copy that would wait for more than
  /// 2 s is abandoned after 2 s.
  duration Transfer(double tokens) {
    free_at_ = std::max(free_at_, now_);
    const duration wait = free_at_ - now_;
    if (wait > std::chrono::seconds(2)) {
      return std::chrono::seconds(2);
    }
    free_at_ += FromSeconds(tokens / kStore.copy_rate);
    return free_at_ - now_;
  }

  std::vector<copy_budget> budgets_;
  std::mt19937 random_{7};
  time_point now_ = kStart;
  time_point free_at_ = kStart;
};

// Guards against a fleet of 80 engines that does not recover from overload,
// although only two fifths of its prefill capacity are used. A quarter of the
// engines crash; the others evict prefixes and lack most of those that they
// request. The link share was a constant of five times the link rate, which is
// right only while engines have four fifths of the requested prefixes cached.
TEST(copy_budget_test, LowersTheShareOfASaturatedLink) {
  simulated_fleet fleet(95);
  fleet.Run(60, 0.05);
  EXPECT_LT(fleet.Run(30, 0.4), std::chrono::milliseconds(500));
  EXPECT_LT(fleet.MeanShare(), 1.5);
}

// Guards against engines that recompute prefixes which a store has, while its
// link is idle.
TEST(copy_budget_test, RaisesTheShareOfAnIdleLink) {
  simulated_fleet fleet(95);
  EXPECT_LT(fleet.Run(60, 0.05), std::chrono::milliseconds(200));
  EXPECT_GT(fleet.MeanShare(), 4);
}

// Guards against fewer copies after engine crashes, which make the remaining
// engines compute even more: slow engines were mistaken for a saturated link.
TEST(copy_budget_test, SlowEnginesDoNotLowerTheLinkShare) {
  copy_budget budget;
  budget.TrySpend(kStart, kStore, true, 1);
  for (int i = 0; i < 100; ++i) {
    budget.OnFirstByte(std::nullopt, std::chrono::seconds(1));
    budget.OnFirstByte(kStore.address, std::chrono::seconds(1));
  }
  EXPECT_GT(budget.LinkShare(kStore.address), 1.2);
}

TEST(copy_budget_test, DoesNotLimitALinkOfUnknownRate) {
  copy_budget budget;
  const cache_store_spec unknown{.address = {"10.0.0.9", 9}};
  for (int i = 0; i < 1'000; ++i) {
    EXPECT_TRUE(budget.TrySpend(kStart, unknown, true, 1e6));
  }
}

TEST(copy_budget_test, IsHalfFullOnlyWhileHalfOfTheBurstIsLeft) {
  copy_budget budget;
  EXPECT_TRUE(budget.IsHalfFull(kStart, kStore));
  budget.TrySpend(kStart, kStore, true, 6 * kStore.copy_rate);
  EXPECT_FALSE(budget.IsHalfFull(kStart, kStore));
  EXPECT_TRUE(budget.IsHalfFull(kStart + std::chrono::seconds(2), kStore));
}

}  // namespace
}  // namespace cuminswitch
