// Compares the policies that enforce an upstream's advertised rate limit across
// a fleet, in virtual time: the most requests in any 4 s against the bound of
// one and a half times the limit plus five requests (`AllowedByLimit`), and the
// share of the limit that is used. Prints a row for each policy, fleet size,
// limit and load.
#include <algorithm>
#include <cstdio>
#include <numeric>
#include <vector>

#include "StandIn/limit_bound.h"
#include "cuminswitch/Admission/upstream_limits.h"
#include "quota_fleet.h"

namespace cuminswitch {
namespace {

/// Virtual seconds of each run.
constexpr double kSeconds = 40;

struct played_case {
  const char* name;
  /// Offered requests, as a multiple of the limit.
  double load = 5;
  /// No requests in the first half of the run.
  bool is_wave = false;
  /// Requests wait for this upstream instead of going to another one.
  bool waits = false;
  /// Shares of the daemons that are killed or partitioned.
  double killed = 0;
  double partitioned = 0;
  /// Share of the messages that is lost.
  double loss = 0;
};

constexpr played_case kCases[] = {
    {.name = "5 times the limit"},
    {.name = "nothing, then 50 times", .load = 50, .is_wave = true},
    {.name = "0.9 of the limit, waiting", .load = 0.9, .waits = true},
    {.name = "5 times, waiting", .waits = true},
    {.name = "5 times, a fifth killed", .killed = 0.2},
    {.name = "5 times, 0.4 partitioned", .partitioned = 0.4},
    {.name = "5 times, 3 in 100 lost", .loss = 0.03},
};

void Play(quota_mode mode, size_t size, double rate, const played_case& item) {
  quota_fleet fleet({.daemons = size,
                     .mode = mode,
                     .fallback = quota_fallback::kRefuse,
                     .loss = item.loss});
  const quota_limit quota = QuotaOfLimit(rate);
  fleet.SetLimit(quota.rate, quota.burst, 0);
  fleet.At(12, [&] {
    std::vector<size_t> killed_daemons(
        static_cast<size_t>(item.killed * static_cast<double>(size)));
    std::iota(killed_daemons.begin(), killed_daemons.end(), 0);
    fleet.Kill(killed_daemons, 1);
    fleet.Partition(
        static_cast<size_t>(item.partitioned * static_cast<double>(size)));
  });
  fleet.Run(kSeconds,
            {.rate =
                 [&](double now) {
                   const bool is_quiet = item.is_wave && now < kSeconds / 2;
                   return is_quiet ? 0 : item.load * rate;
                 },
             .choose = [&](double,
                           std::mt19937_64& random) { return random() % size; },
             .uses_send_slots = true,
             .waits = item.waits});
  const double busy = item.is_wave ? kSeconds / 2 : kSeconds;
  const double allowed = AllowedByLimit(rate);
  const double most = fleet.MostWithin(kLimitWindow.count());
  std::printf("%-5s %4zu %6.1f  %-28s %8.0f of %6.0f%s %8.2f %10zu\n",
              mode == quota_mode::kOwner ? "owner" : "even", size, rate,
              item.name, most, allowed, most > allowed ? "!" : " ",
              fleet.admitted() / rate / busy, fleet.messages());
}

}  // namespace
}  // namespace cuminswitch

int main() {
  std::printf(
      "way  hosts  limit  load                         most in 4 s       used"
      "   messages\n");
  for (const size_t size : {1, 8, 68, 300, 600}) {
    for (const double rate : {0.2, 1.0, 5.0, 200.0}) {
      for (const cuminswitch::played_case& item : cuminswitch::kCases) {
        cuminswitch::Play(cuminswitch::quota_mode::kOwner, size, rate, item);
        cuminswitch::Play(cuminswitch::quota_mode::kEven, size, rate, item);
      }
    }
  }
  return 0;
}
