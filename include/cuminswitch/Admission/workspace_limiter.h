/// \file
/// Limits the requests in flight of a workspace over the whole fleet.
#ifndef CUMINSWITCH_ADMISSION_WORKSPACE_LIMITER_H_
#define CUMINSWITCH_ADMISSION_WORKSPACE_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cuminswitch/Protocol/peer_message.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Adds the exact count of this daemon's requests to the last reports of the
/// other daemons. Reports are late, so the fleet may exceed a limit for about
/// one heartbeat round; it returns below the limit without coordination.
class workspace_limiter {
 public:
  /// Whether one more request is within \p limit.
  bool IsWithinLimit(time_point now,
                     uint64_t workspace_hash,
                     uint32_t limit) const;
  void OnStart(uint64_t workspace_hash);
  void OnEnd(uint64_t workspace_hash);
  /// Applies a report of \p host, which replaces its previous one.
  void OnPeerUsage(time_point now,
                   const std::string& host,
                   const std::vector<workspace_use>& usage);
  /// Returns this daemon's largest counts in descending order, at most 32.
  std::vector<workspace_use> ListUsage() const;
  /// Returns this daemon's requests in flight.
  uint32_t InFlight(uint64_t workspace_hash) const;

 private:
  struct peer_usage {
    time_point at{};
    std::unordered_map<uint64_t, uint32_t> in_flight;
  };

  /// This daemon's requests in flight, by workspace hash.
  std::unordered_map<uint64_t, uint32_t> local_;
  /// By host.
  std::map<std::string, peer_usage> peers_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_WORKSPACE_LIMITER_H_
