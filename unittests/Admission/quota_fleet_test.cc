// How much of its quota a workspace gets from fleets of many daemons, and how
// much the fleet admits in total, in virtual time.
#include <gtest/gtest.h>

#include <cmath>
#include <numeric>

#include "quota_fleet.h"

namespace cuminswitch {
namespace {

// The requirement: in any window of 8 s at most a tenth more than (rate x
// window + burst), and a slack of some requests.
constexpr double kWindowSeconds = 8;
constexpr double kTolerance = 0.1;
constexpr double kSlackUnits = 110'000;
constexpr double kUnitsPerSecond = 150'000;

double Allowed(double rate, double burst) {
  return (rate * kWindowSeconds + burst) * (1 + kTolerance) + kSlackUnits;
}

auto Steady(double rate) {
  return [rate](double) { return rate; };
}

auto Anywhere(size_t daemons) {
  return [daemons](double, std::mt19937_64& random) {
    return std::uniform_int_distribution<size_t>(0, daemons - 1)(random);
  };
}

/// Chooses among three daemons; every two seconds among three others.
auto OnThreeHosts(size_t daemons) {
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

TEST_P(quota_fleet_sizes, KeepsTheLimitWhenLoadJumpsToTenTimesIt) {
  quota_fleet fleet({.daemons = GetParam()});
  fleet.SetLimit(kUnitsPerSecond, kUnitsPerSecond, 0);
  fleet.Run(20, {.rate =
                     [](double now) {
                       return now < 5 ? 0.9 * kUnitsPerSecond
                                      : 10 * kUnitsPerSecond;
                     },
                 .choose = Anywhere(GetParam())});
  EXPECT_LE(fleet.MostWithin(kWindowSeconds),
            Allowed(kUnitsPerSecond, kUnitsPerSecond));
  EXPECT_GE(fleet.admitted(), 0.9 * 20 * kUnitsPerSecond * 0.9);
}

TEST_P(quota_fleet_sizes, KeepsTheLimitWhenArrivalsMoveBetweenHosts) {
  quota_fleet fleet({.daemons = GetParam()});
  fleet.SetLimit(kUnitsPerSecond, kUnitsPerSecond, 0);
  fleet.Run(20, {.rate = Steady(5 * kUnitsPerSecond),
                 .choose = OnThreeHosts(GetParam())});
  EXPECT_LE(fleet.MostWithin(kWindowSeconds),
            Allowed(kUnitsPerSecond, kUnitsPerSecond));
}

TEST_P(quota_fleet_sizes, AdmitsLoadBelowTheLimit) {
  for (const bool is_concentrated : {false, true}) {
    for (const bool is_wave : {false, true}) {
      quota_fleet fleet({.daemons = GetParam()});
      fleet.SetLimit(kUnitsPerSecond, kUnitsPerSecond, 0);
      // The fleet has been up for a while.
      fleet.Run(5, {.rate = Steady(0), .choose = Anywhere(GetParam())});
      fleet.Run(30, {.rate =
                         [&](double now) {
                           const double swing =
                               is_wave ? 0.1 * std::sin(now * 0.571) : 0.0;
                           return (0.9 + swing) * kUnitsPerSecond;
                         },
                     .choose =
                         [&](double now, std::mt19937_64& random) {
                           return is_concentrated
                                      ? OnThreeHosts(GetParam())(now, random)
                                      : Anywhere(GetParam())(now, random);
                         }});
      EXPECT_LE(fleet.RefusedShare(), 0.01)
          << "concentrated " << is_concentrated << ", in waves " << is_wave;
    }
  }
}

// After the failure of an owner, its workspace must neither be refused nor get
// a whole burst again.
TEST_P(quota_fleet_sizes, KeepsTheLimitAndServesWhenDaemonsAreKilled) {
  quota_fleet fleet({.daemons = GetParam()});
  fleet.SetLimit(kUnitsPerSecond, kUnitsPerSecond, 0);
  for (size_t i = 0; i < GetParam() && i < 20; ++i) {
    fleet.At(2 + static_cast<double>(i), [&fleet, i] {
      const std::vector<size_t> victim{i * fleet.size() / 20};
      fleet.Kill(victim, 1);
    });
  }
  fleet.Run(25, {.rate = Steady(0.9 * kUnitsPerSecond),
                 .choose = Anywhere(GetParam())});
  EXPECT_LE(fleet.RefusedShare(), 0.05);
  EXPECT_LE(fleet.MostWithin(kWindowSeconds),
            Allowed(kUnitsPerSecond, kUnitsPerSecond));
}

TEST_P(quota_fleet_sizes, KeepsTheLimitAcrossANetworkPartition) {
  for (const double part : {0.2, 0.4}) {
    quota_fleet fleet({.daemons = GetParam()});
    fleet.SetLimit(kUnitsPerSecond, kUnitsPerSecond, 0);
    const auto cut =
        static_cast<size_t>(part * static_cast<double>(GetParam()));
    fleet.At(6, [&fleet, cut] { fleet.Partition(cut); });
    fleet.At(20, [&fleet] { fleet.Heal(); });
    fleet.Run(30, {.rate = Steady(8 * kUnitsPerSecond),
                   .choose = Anywhere(GetParam())});
    EXPECT_LE(fleet.MostWithin(kWindowSeconds),
              Allowed(kUnitsPerSecond, kUnitsPerSecond))
        << part;
  }
}

// Killed daemons lose the count of what they admitted.
TEST_P(quota_fleet_sizes, DoesNotGrantTheBurstAgainAfterMassKills) {
  for (const double part : {0.5, 1.0}) {
    quota_fleet fleet({.daemons = GetParam()});
    fleet.SetLimit(kUnitsPerSecond, kUnitsPerSecond, 0);
    std::vector<size_t> killed(
        static_cast<size_t>(std::ceil(part * static_cast<double>(GetParam()))));
    std::iota(killed.begin(), killed.end(), 0);
    fleet.At(5, [&fleet, killed] { fleet.Kill(killed, 1); });
    fleet.Run(16, {.rate = Steady(10 * kUnitsPerSecond),
                   .choose = Anywhere(GetParam())});
    EXPECT_LE(fleet.MostWithin(kWindowSeconds),
              Allowed(kUnitsPerSecond, kUnitsPerSecond))
        << part;
  }
}

TEST_P(quota_fleet_sizes, AppliesALoweredLimitWithinOneWindow) {
  quota_fleet fleet({.daemons = GetParam()});
  fleet.SetLimit(10 * kUnitsPerSecond, 10 * kUnitsPerSecond, 0);
  quota_fleet::load callers{.rate = Steady(5 * kUnitsPerSecond),
                            .choose = Anywhere(GetParam())};
  fleet.Run(5, callers);
  fleet.SetLimit(kUnitsPerSecond, kUnitsPerSecond, 3);
  fleet.Run(3, callers);
  const double before = fleet.admitted();
  fleet.Run(kWindowSeconds, callers);
  EXPECT_LE(fleet.admitted() - before,
            Allowed(kUnitsPerSecond, kUnitsPerSecond));
  // A raised limit is used at once.
  fleet.SetLimit(10 * kUnitsPerSecond, 10 * kUnitsPerSecond, 0);
  const double lowered = fleet.admitted();
  fleet.Run(4, callers);
  EXPECT_GE(fleet.admitted() - lowered, 0.9 * 4 * 5 * kUnitsPerSecond);
}

TEST(QuotaFleet, SeldomRefusesCallersThatObserveRetryAfter) {
  quota_fleet fleet({.daemons = 68});
  fleet.SetLimit(kUnitsPerSecond, kUnitsPerSecond, 0);
  fleet.Run(30,
            {.rate = Steady(1.5 * kUnitsPerSecond), .choose = Anywhere(68)});
  ASSERT_GT(fleet.came_back(), 50U);
  EXPECT_LE(static_cast<double>(fleet.refused_again()),
            0.05 * static_cast<double>(fleet.came_back()));
}

// Even shares are only the fallback: by themselves they refuse most of a
// workspace's requests below its limit, since one prompt weighs more than a
// share.
TEST(QuotaFleet, EvenSharesKeepTheLimitButRefuseLoadBelowIt) {
  quota_fleet fleet({.daemons = 68, .mode = quota_mode::kEven});
  fleet.SetLimit(kUnitsPerSecond, kUnitsPerSecond, 0);
  fleet.Run(30,
            {.rate = Steady(0.9 * kUnitsPerSecond), .choose = Anywhere(68)});
  EXPECT_LE(fleet.MostWithin(kWindowSeconds),
            Allowed(kUnitsPerSecond, kUnitsPerSecond));
  EXPECT_GT(fleet.RefusedShare(), 0.01);
}

/// Runs a fleet with faults at random times; returns the share of requests that
/// were refused.
double RunWithRandomFaults(uint64_t seed, double load) {
  std::mt19937_64 random(seed);
  const auto draw = [&](double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  };
  const size_t sizes[] = {3, 8, 30, 68};
  const size_t size = sizes[random() % 4];
  quota_fleet fleet(
      {.daemons = size,
       .seed = seed,
       .detection_seconds = draw(0.5, 1.3 + 0.0225 * static_cast<double>(size)),
       .loss = draw(0, 0.02),
       .clock_skew = 0.001});
  fleet.SetLimit(kUnitsPerSecond, kUnitsPerSecond, 0);
  const size_t faults = 1 + random() % 4;
  for (size_t i = 0; i < faults; ++i) {
    const double at = draw(1, 20);
    const uint64_t kind = random() % 3;
    const auto part =
        static_cast<size_t>(draw(0.05, 1) * static_cast<double>(size));
    fleet.At(at, [&fleet, kind, part] {
      std::vector<size_t> some(part);
      std::iota(some.begin(), some.end(), 0);
      if (kind == 0) {
        fleet.Kill(some, 1);
      } else if (kind == 1) {
        fleet.Partition(std::min(part, fleet.size() * 2 / 5));
      } else {
        fleet.Heal();
      }
    });
  }
  fleet.Run(25,
            {.rate = Steady(load * kUnitsPerSecond), .choose = Anywhere(size)});
  EXPECT_LE(fleet.MostWithin(kWindowSeconds),
            Allowed(kUnitsPerSecond, kUnitsPerSecond))
      << "seed " << seed << ", load " << load << ", daemons " << size;
  return fleet.RefusedShare();
}

TEST(QuotaFleet, KeepsTheLimitUnderRandomFaults) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    RunWithRandomFaults(seed, seed % 2 == 0 ? 10 : 2);
  }
}

}  // namespace
}  // namespace cuminswitch
