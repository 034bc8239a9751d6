// What a workspace gets of its quota from fleets of many daemons, and what the
// fleet lets through in all.
#include <gtest/gtest.h>

#include <cmath>
#include <numeric>

#include "quota_fleet.h"

namespace cuminswitch {
namespace {

// The aim: in any window of 8 s no more than a tenth over (rate x window +
// burst), and a slack that some requests take.
constexpr double kWindow = 8;
constexpr double kOver = 0.1;
constexpr double kSlack = 110'000;
constexpr double kRate = 150'000;

double Allowed(double rate, double burst) {
  return (rate * kWindow + burst) * (1 + kOver) + kSlack;
}

auto Steady(double rate) {
  return [rate](double) { return rate; };
}

auto Anywhere(size_t daemons) {
  return [daemons](double, std::mt19937_64& random) {
    return std::uniform_int_distribution<size_t>(0, daemons - 1)(random);
  };
}

/// On three hosts, others every two seconds.
auto Gathered(size_t daemons) {
  return [daemons](double now, std::mt19937_64& random) {
    const auto turn = static_cast<size_t>(now / 2);
    const size_t place = std::uniform_int_distribution<size_t>(0, 2)(random);
    return (turn * 13 + place) % daemons;
  };
}

class quota_fleet_sizes : public testing::TestWithParam<size_t> {};
INSTANTIATE_TEST_SUITE_P(Daemons,
                         quota_fleet_sizes,
                         testing::Values(1, 8, 68, 300, 600));

TEST_P(quota_fleet_sizes, ABeginAtTenTimesTheLimitStaysWithinIt) {
  quota_fleet fleet({.daemons = GetParam()});
  fleet.SetLimit(kRate, kRate, 0);
  fleet.Run(
      20,
      {.rate = [](double now) { return now < 5 ? 0.9 * kRate : 10 * kRate; },
       .choose = Anywhere(GetParam())});
  EXPECT_LE(fleet.MostWithin(kWindow), Allowed(kRate, kRate));
  EXPECT_GE(fleet.admitted(), 0.9 * 20 * kRate * 0.9);
}

TEST_P(quota_fleet_sizes, GatheredArrivalsThatMoveStayWithinIt) {
  quota_fleet fleet({.daemons = GetParam()});
  fleet.SetLimit(kRate, kRate, 0);
  fleet.Run(20, {.rate = Steady(5 * kRate), .choose = Gathered(GetParam())});
  EXPECT_LE(fleet.MostWithin(kWindow), Allowed(kRate, kRate));
}

TEST_P(quota_fleet_sizes, WhatIsBelowTheLimitIsTaken) {
  for (const bool is_gathered : {false, true}) {
    for (const bool is_wave : {false, true}) {
      quota_fleet fleet({.daemons = GetParam()});
      fleet.SetLimit(kRate, kRate, 0);
      // The fleet has been up for a while.
      fleet.Run(5, {.rate = Steady(0), .choose = Anywhere(GetParam())});
      fleet.Run(30, {.rate =
                         [&](double now) {
                           const double swing =
                               is_wave ? 0.1 * std::sin(now * 0.571) : 0.0;
                           return (0.9 + swing) * kRate;
                         },
                     .choose =
                         [&](double now, std::mt19937_64& random) {
                           return is_gathered
                                      ? Gathered(GetParam())(now, random)
                                      : Anywhere(GetParam())(now, random);
                         }});
      EXPECT_LE(fleet.RefusedShare(), 0.01)
          << "gathered " << is_gathered << ", in waves " << is_wave;
    }
  }
}

// An owner that dies must neither let its workspace go unserved nor let it
// begin anew with a whole burst.
TEST_P(quota_fleet_sizes, DaemonsThatAreKilledCostLittle) {
  quota_fleet fleet({.daemons = GetParam()});
  fleet.SetLimit(kRate, kRate, 0);
  for (size_t i = 0; i < GetParam() && i < 20; ++i) {
    fleet.At(2 + static_cast<double>(i), [&fleet, i] {
      const std::vector<size_t> victim{i * fleet.size() / 20};
      fleet.Kill(victim, 1);
    });
  }
  fleet.Run(25, {.rate = Steady(0.9 * kRate), .choose = Anywhere(GetParam())});
  EXPECT_LE(fleet.RefusedShare(), 0.05);
  EXPECT_LE(fleet.MostWithin(kWindow), Allowed(kRate, kRate));
}

TEST_P(quota_fleet_sizes, ACutLeavesTheSumWithinTheLimit) {
  for (const double part : {0.2, 0.4}) {
    quota_fleet fleet({.daemons = GetParam()});
    fleet.SetLimit(kRate, kRate, 0);
    const auto cut =
        static_cast<size_t>(part * static_cast<double>(GetParam()));
    fleet.At(6, [&fleet, cut] { fleet.Cut(cut); });
    fleet.At(20, [&fleet] { fleet.Heal(); });
    fleet.Run(30, {.rate = Steady(8 * kRate), .choose = Anywhere(GetParam())});
    EXPECT_LE(fleet.MostWithin(kWindow), Allowed(kRate, kRate)) << part;
  }
}

// What was admitted before is forgotten by those that were killed.
TEST_P(quota_fleet_sizes, AHerdThatIsKilledDoesNotGetTheBurstAgain) {
  for (const double part : {0.5, 1.0}) {
    quota_fleet fleet({.daemons = GetParam()});
    fleet.SetLimit(kRate, kRate, 0);
    std::vector<size_t> herd(
        static_cast<size_t>(std::ceil(part * static_cast<double>(GetParam()))));
    std::iota(herd.begin(), herd.end(), 0);
    fleet.At(5, [&fleet, herd] { fleet.Kill(herd, 1); });
    fleet.Run(16, {.rate = Steady(10 * kRate), .choose = Anywhere(GetParam())});
    EXPECT_LE(fleet.MostWithin(kWindow), Allowed(kRate, kRate)) << part;
  }
}

TEST_P(quota_fleet_sizes, ALimitThatIsLoweredHoldsOneWindowLater) {
  quota_fleet fleet({.daemons = GetParam()});
  fleet.SetLimit(10 * kRate, 10 * kRate, 0);
  quota_fleet::load callers{.rate = Steady(5 * kRate),
                            .choose = Anywhere(GetParam())};
  fleet.Run(5, callers);
  fleet.SetLimit(kRate, kRate, 3);
  fleet.Run(3, callers);
  const double before = fleet.admitted();
  fleet.Run(kWindow, callers);
  EXPECT_LE(fleet.admitted() - before, Allowed(kRate, kRate));
  // And raised again it is used at once.
  fleet.SetLimit(10 * kRate, 10 * kRate, 0);
  const double lowered = fleet.admitted();
  fleet.Run(4, callers);
  EXPECT_GE(fleet.admitted() - lowered, 0.9 * 4 * 5 * kRate);
}

TEST(QuotaFleet, WhoKeepsToItsRetryAfterIsSeldomRefusedAgain) {
  quota_fleet fleet({.daemons = 68});
  fleet.SetLimit(kRate, kRate, 0);
  fleet.Run(30, {.rate = Steady(1.5 * kRate), .choose = Anywhere(68)});
  ASSERT_GT(fleet.came_back(), 50U);
  EXPECT_LE(static_cast<double>(fleet.refused_again()),
            0.05 * static_cast<double>(fleet.came_back()));
}

// Even parts are the fallback; alone they lose most of a workspace's requests
// that are below its limit, since one prompt weighs more than a part.
TEST(QuotaFleet, EvenPartsHoldTheSumAndRefuseWhatIsBelowTheLimit) {
  quota_fleet fleet({.daemons = 68, .way = quota_way::kEven});
  fleet.SetLimit(kRate, kRate, 0);
  fleet.Run(30, {.rate = Steady(0.9 * kRate), .choose = Anywhere(68)});
  EXPECT_LE(fleet.MostWithin(kWindow), Allowed(kRate, kRate));
  EXPECT_GT(fleet.RefusedShare(), 0.01);
}

/// Troubles at random times; returns the share that was refused.
double PlayRandom(uint64_t seed, double load) {
  std::mt19937_64 random(seed);
  const auto any = [&](double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  };
  const size_t sizes[] = {3, 8, 30, 68};
  const size_t size = sizes[random() % 4];
  quota_fleet fleet(
      {.daemons = size,
       .seed = seed,
       .detection_seconds = any(0.5, 1.3 + 0.0225 * static_cast<double>(size)),
       .loss = any(0, 0.02),
       .clock_skew = 0.001});
  fleet.SetLimit(kRate, kRate, 0);
  const size_t troubles = 1 + random() % 4;
  for (size_t i = 0; i < troubles; ++i) {
    const double at = any(1, 20);
    const uint64_t kind = random() % 3;
    const auto part =
        static_cast<size_t>(any(0.05, 1) * static_cast<double>(size));
    fleet.At(at, [&fleet, kind, part] {
      std::vector<size_t> some(part);
      std::iota(some.begin(), some.end(), 0);
      if (kind == 0) {
        fleet.Kill(some, 1);
      } else if (kind == 1) {
        fleet.Cut(std::min(part, fleet.size() * 2 / 5));
      } else {
        fleet.Heal();
      }
    });
  }
  fleet.Run(25, {.rate = Steady(load * kRate), .choose = Anywhere(size)});
  EXPECT_LE(fleet.MostWithin(kWindow), Allowed(kRate, kRate))
      << "seed " << seed << ", load " << load << ", daemons " << size;
  return fleet.RefusedShare();
}

TEST(QuotaFleet, RandomTroublesLeaveTheSumWithinTheLimit) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    PlayRandom(seed, seed % 2 == 0 ? 10 : 2);
  }
}

}  // namespace
}  // namespace cuminswitch
