#include "cuminswitch/Edge/address_claims.h"

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Within this time, requests show in most cases that the upstream is there.
static constexpr duration kRequestTime = std::chrono::milliseconds(300);
/// Range over which the probes of a fleet are spread, for each daemon: an
/// upstream accepts a limited number of connections.
static constexpr duration kSpreadPerDaemon = std::chrono::milliseconds(2);
/// Interval between probes that get no response, and their number. A process
/// that listens at the address responds unless it is suspended.
static constexpr duration kRetryInterval = std::chrono::seconds(1);
static constexpr int kMaxProbes = 5;

void address_claims::Add(time_point now, uint64_t upstream, size_t fleet_size) {
  const uint64_t slot = CombineHash(self_, upstream) % (fleet_size + 1);
  claims_[upstream] = {.next_probe =
                           now + kRequestTime +
                           kSpreadPerDaemon * static_cast<int64_t>(slot)};
}

std::vector<uint64_t> address_claims::TakeDue(time_point now) {
  std::vector<uint64_t> due;
  for (auto& [upstream, item] : claims_) {
    if (now >= item.next_probe) {
      item.next_probe = now + kRetryInterval;
      ++item.probes;
      due.push_back(upstream);
    }
  }
  std::erase_if(claims_, [](const auto& item) {
    return item.second.probes >= kMaxProbes;
  });
  return due;
}

}  // namespace cuminswitch
