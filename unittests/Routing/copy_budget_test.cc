// What daemons ask of a cache store's link together.
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

/// Tokens that \p daemons get copied in ten seconds when each asks for 6,000
/// tokens ten times a second.
double CopiedIn10Seconds(size_t daemons, bool is_near) {
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

// Symptom: each contract review waits two seconds, on a day without trouble.
// Sequence: 60 engines lose their caches; 63 daemons have all prefixes copied
// from three stores; the links are full from then on. Cause: no daemon knew
// what the others asked for.
TEST(copy_budget_test, TheFleetTogetherKeepsToABound) {
  // Ten seconds, and two that were saved up, at twice the rate, where nothing
  // has been learnt; and one copy more for each daemon, which is made from a
  // small rest.
  const double bound = 12 * 2 * kStore.copy_rate + 63 * 6'000;
  EXPECT_LE(CopiedIn10Seconds(63, true), bound);
  EXPECT_GE(CopiedIn10Seconds(63, true), 0.3 * bound);
}

TEST(copy_budget_test, FarCopiesTakeTheLinkForTwiceAsLong) {
  // Each daemon's part is several copies.
  constexpr size_t kDaemons = 160;
  const double far = CopiedIn10Seconds(kDaemons, false);
  EXPECT_NEAR(far, CopiedIn10Seconds(kDaemons, true) / 2, 0.2 * far);
}

/// A fleet that asks a store's link for copies under virtual time. Engines lack
/// what they ask for with some chance, and only that is carried.
class link_of_a_fleet {
 public:
  explicit link_of_a_fleet(size_t daemons) : budgets_(daemons) {
    for (copy_budget& budget : budgets_) {
      budget.SetFleetSize(daemons);
    }
  }

  /// Plays \p seconds in which 300 requests a second with 6,000 shared tokens
  /// arrive, of which a quarter is expected to be lacking; in truth engines
  /// lack them with chance \p lacking. Returns the middle of the waits for
  /// copies that were carried in the last ten seconds.
  duration Play(int seconds, double lacking) {
    std::vector<duration> waits;
    for (int i = 0; i < 300 * seconds; ++i) {
      now_ += std::chrono::microseconds(1'000'000 / 300);
      copy_budget& budget = budgets_[random_() % budgets_.size()];
      const bool is_copied = budget.TrySpend(now_, kStore, true, 1'500);
      const bool is_carried = is_copied && IsLacking(lacking);
      const duration wait = is_carried ? Carry(6'000) : duration(0);
      budget.OnFirstByte(
          is_copied ? std::optional(kStore.address) : std::nullopt, wait);
      if (i >= 300 * (seconds - 10) && is_carried) {
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
  bool IsLacking(double chance) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < chance;
  }

  /// Copies go one after the other; one that would wait for more than two
  /// seconds is given up on then.
  duration Carry(double tokens) {
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

// Symptom: an overloaded fleet of 80 engines stays late for good, with two
// fifths of its reading time used. Sequence: a quarter of the engines crash;
// the others push prefixes out and lack most of what they ask for. Cause: the
// share of the link that daemons asked for was a constant, five times its rate,
// which fits engines that have four fifths of it after all.
TEST(copy_budget_test, AFullLinkIsAskedForLess) {
  link_of_a_fleet fleet(95);
  fleet.Play(60, 0.05);
  EXPECT_LT(fleet.Play(30, 0.4), std::chrono::milliseconds(500));
  EXPECT_LT(fleet.MeanShare(), 1.5);
}

// Symptom: engines compute again what a store has, while its link is idle.
TEST(copy_budget_test, AnIdleLinkIsAskedForMore) {
  link_of_a_fleet fleet(95);
  EXPECT_LT(fleet.Play(60, 0.05), std::chrono::milliseconds(200));
  EXPECT_GT(fleet.MeanShare(), 4);
}

// Symptom: engines that crashed are made up for by fewer copies, so that the
// others compute even more. Cause: slow engines were taken for a full link.
TEST(copy_budget_test, SlowEnginesAreNotTakenForAFullLink) {
  copy_budget budget;
  budget.TrySpend(kStart, kStore, true, 1);
  for (int i = 0; i < 100; ++i) {
    budget.OnFirstByte(std::nullopt, std::chrono::seconds(1));
    budget.OnFirstByte(kStore.address, std::chrono::seconds(1));
  }
  EXPECT_GT(budget.LinkShare(kStore.address), 1.2);
}

TEST(copy_budget_test, AnUnknownRateIsNotBounded) {
  copy_budget budget;
  const cache_store_spec unknown{.address = {"10.0.0.9", 9}};
  for (int i = 0; i < 1'000; ++i) {
    EXPECT_TRUE(budget.TrySpend(kStart, unknown, true, 1e6));
  }
}

TEST(copy_budget_test, HasPlentyOnlyWhileHalfIsLeft) {
  copy_budget budget;
  EXPECT_TRUE(budget.IsHalfFull(kStart, kStore));
  budget.TrySpend(kStart, kStore, true, 6 * kStore.copy_rate);
  EXPECT_FALSE(budget.IsHalfFull(kStart, kStore));
  EXPECT_TRUE(budget.IsHalfFull(kStart + std::chrono::seconds(2), kStore));
}

}  // namespace
}  // namespace cuminswitch
