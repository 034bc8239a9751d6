#include "cuminswitch/Admission/workspace_limiter.h"

#include <algorithm>
#include <cassert>

namespace cuminswitch {

/// Reports older than this are ignored: their daemon may have failed.
static constexpr duration kUsageLifetime = std::chrono::seconds(3);
/// Most workspaces in a heartbeat, so that its size stays bounded.
static constexpr size_t kMaxReported = 32;

bool workspace_limiter::IsWithinLimit(time_point now,
                                      uint64_t workspace_hash,
                                      uint32_t limit) const {
  uint64_t total = InFlight(workspace_hash);
  for (const auto& [host, usage] : peers_) {
    if (now - usage.at > kUsageLifetime) {
      continue;
    }
    const auto found = usage.in_flight.find(workspace_hash);
    if (found != usage.in_flight.end()) {
      total += found->second;
    }
  }
  return total < limit;
}

void workspace_limiter::OnStart(uint64_t workspace_hash) {
  ++local_[workspace_hash];
}

void workspace_limiter::OnEnd(uint64_t workspace_hash) {
  const auto found = local_.find(workspace_hash);
  assert(found != local_.end() && "a request ended that was never started");
  if (--found->second == 0) {
    local_.erase(found);
  }
}

void workspace_limiter::OnPeerUsage(time_point now,
                                    const std::string& host,
                                    const std::vector<workspace_use>& usage) {
  peer_usage& entry = peers_[host];
  entry.at = now;
  entry.in_flight.clear();
  for (const workspace_use& use : usage) {
    entry.in_flight[use.workspace_hash] = use.in_flight;
  }
}

std::vector<workspace_use> workspace_limiter::ListUsage() const {
  std::vector<workspace_use> usage;
  usage.reserve(local_.size());
  for (const auto& [hash, in_flight] : local_) {
    usage.push_back({.workspace_hash = hash, .in_flight = in_flight});
  }
  std::sort(usage.begin(), usage.end(),
            [](const workspace_use& a, const workspace_use& b) {
              return a.in_flight > b.in_flight;
            });
  usage.resize(std::min(usage.size(), kMaxReported));
  return usage;
}

uint32_t workspace_limiter::InFlight(uint64_t workspace_hash) const {
  const auto found = local_.find(workspace_hash);
  return found == local_.end() ? 0 : found->second;
}

}  // namespace cuminswitch
