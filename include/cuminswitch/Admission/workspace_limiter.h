/// \file
/// Limits a workspace's requests in flight over a fleet of which each daemon
/// sees a part.
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

/// Counts this daemon's requests exactly and adds what others last reported.
/// Reports are late, so the fleet may pass a limit for about one heartbeat
/// round; it comes back under it without any coordination.
class workspace_limiter {
 public:
  /// Whether one more request fits under \p limit.
  bool HasRoom(time_point now, uint64_t workspace_hash, uint32_t limit) const;
  void OnStart(uint64_t workspace_hash);
  void OnEnd(uint64_t workspace_hash);
  /// Takes in what \p host reports; replaces its last report.
  void OnPeerUsage(time_point now,
                   const std::string& host,
                   const std::vector<workspace_use>& usage);
  /// Returns this daemon's counts, the largest ones first.
  std::vector<workspace_use> ListUsage() const;
  uint32_t InFlight(uint64_t workspace_hash) const;

 private:
  struct peer_usage {
    time_point at{};
    std::unordered_map<uint64_t, uint32_t> in_flight;
  };

  std::unordered_map<uint64_t, uint32_t> own_;
  std::map<std::string, peer_usage> peers_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_WORKSPACE_LIMITER_H_
