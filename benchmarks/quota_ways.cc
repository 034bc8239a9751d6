// Compares the policies that enforce a quota across a fleet, in virtual time:
// what each admits and refuses. Prints a row for each policy, fleet size and
// load.
#include <cstdio>
#include <numeric>
#include <string>

#include "quota_fleet.h"

namespace cuminswitch {
namespace {

/// Units per second of the quota.
constexpr double kRate = 150'000;
/// Seconds of the sliding window in which the most admitted units are counted.
constexpr double kWindow = 8;

struct played_case {
  const char* name;
  /// Offered load, as a multiple of the quota.
  double load;
  /// All requests go to three hosts at a time.
  bool is_concentrated = false;
  /// Shares of the daemons that are killed or partitioned.
  double killed = 0;
  double partitioned = 0;
};

constexpr played_case kCases[] = {
    {.name = "0.9 of the limit", .load = 0.9},
    {.name = "0.9, on three hosts", .load = 0.9, .is_concentrated = true},
    {.name = "0.9, half killed", .load = 0.9, .killed = 0.5},
    {.name = "10 times the limit", .load = 10},
    {.name = "10 times, 0.4 partitioned", .load = 10, .partitioned = 0.4},
    {.name = "10 times, all killed", .load = 10, .killed = 1},
};

void Play(quota_mode mode, size_t size, const played_case& item) {
  quota_fleet fleet({.daemons = size, .mode = mode});
  fleet.SetLimit(kRate, kRate, 0);
  const quota_fleet::load quiet{
      .rate = [](double) { return 0.0; },
      .choose = [](double, std::mt19937_64&) { return size_t{0}; }};
  fleet.Run(5, quiet);
  fleet.At(12, [&] {
    std::vector<size_t> killed_daemons(
        static_cast<size_t>(item.killed * static_cast<double>(size)));
    std::iota(killed_daemons.begin(), killed_daemons.end(), 0);
    fleet.Kill(killed_daemons, 1);
    fleet.Partition(
        static_cast<size_t>(item.partitioned * static_cast<double>(size)));
  });
  fleet.Run(25, {.rate = [&](double) { return item.load * kRate; },
                 .choose =
                     [&](double now, std::mt19937_64& random) {
                       const size_t hosts = item.is_concentrated ? 3 : size;
                       const size_t first =
                           item.is_concentrated
                               ? static_cast<size_t>(now / 2) * 13
                               : 0;
                       return (first + random() % hosts) % size;
                     }});
  std::printf("%-5s %4zu  %-30s %6.2f %8.1f%% %10.2f %12zu\n",
              mode == quota_mode::kOwner ? "owner" : "even", size, item.name,
              fleet.MostWithin(kWindow) / kRate, fleet.RefusedShare() * 100,
              fleet.admitted() / kRate / 25, fleet.messages());
}

}  // namespace
}  // namespace cuminswitch

int main() {
  std::printf(
      "way  hosts  load                           most in 8 s  refused  "
      "admitted  messages\n"
      "                                           (in seconds of the limit; "
      "refused of all sent)\n");
  for (const size_t size : {8, 68, 300}) {
    for (const cuminswitch::played_case& item : cuminswitch::kCases) {
      cuminswitch::Play(cuminswitch::quota_mode::kOwner, size, item);
      cuminswitch::Play(cuminswitch::quota_mode::kEven, size, item);
    }
  }
  return 0;
}
