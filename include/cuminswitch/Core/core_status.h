/// \file
/// State and counters of one daemon, for its status and metrics pages.
#ifndef CUMINSWITCH_CORE_CORE_STATUS_H_
#define CUMINSWITCH_CORE_CORE_STATUS_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cuminswitch/Protocol/ids.h"
#include "cuminswitch/Protocol/member.h"
#include "cuminswitch/Routing/cache_planner.h"

namespace cuminswitch {

/// Counts since the daemon's start.
struct core_counters {
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  /// Requests refused because no upstream was available or the estimated wait
  /// was too long.
  uint64_t shed = 0;
  /// Those of them that yielded to more urgent requests.
  uint64_t yielded = 0;
  /// Streams that could not be resumed because no upstream had their software
  /// version.
  uint64_t version_gone = 0;
  uint64_t retries = 0;
  /// Postponements of responses that had begun.
  uint64_t postponed = 0;
  /// Slots asked for at upstreams, and those not granted.
  uint64_t reservations = 0;
  uint64_t reservations_refused = 0;
  /// Attempts at upstreams that refused earlier ones, of this daemon or a peer.
  uint64_t refusal_trials = 0;
  /// Results of attempts that had been given up before.
  uint64_t late_answers = 0;
  uint64_t platform_calls = 0;
  uint64_t peer_messages = 0;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  /// Tokens of shared prefixes of dispatched requests, by `prefix_origin`.
  std::array<uint64_t, kPrefixOrigins> prefix_tokens{};
};

/// State of one upstream as known to the daemon.
struct upstream_status {
  std::string name;
  bool reachable = false;
  bool leaving = false;
  bool reported = false;
  uint64_t incarnation = 0;
  uint32_t in_flight = 0;
  double limit = 0;
  double prefill_rate = 0;
  double retention_seconds = 0;
  /// Advertised rate limit in requests per second for all daemons, if any.
  std::optional<double> rate_limit;
  /// Rejections per second that it survives, if it advertises that.
  std::optional<uint32_t> rejection_limit;
  /// Requests that it rejected because it was full.
  uint64_t rejections = 0;
};

/// The retry budget of one target, as of its last use.
struct retry_status {
  std::string target;
  uint32_t retries = 0;
  double allowed = 0;
};

struct core_status {
  core_counters counters;
  generation_number generation = 0;
  std::vector<member> members;
  std::vector<upstream_status> upstreams;
  std::vector<shard_number> shards;
  /// Upstreams that refuse requests, as this daemon or a peer has observed.
  size_t refusing_upstreams = 0;
  size_t waiting = 0;
  size_t running = 0;
  size_t known_prefixes = 0;
  /// The share of the engines that is reserved for short prompts, 0 to 1.
  double short_share = 0;
  /// Requests that were running at an upstream when it crashed, and those of
  /// them that are quarantined.
  size_t suspected_requests = 0;
  size_t quarantined_requests = 0;
  std::vector<retry_status> retries;
  /// Number of daemons among which this one divides the fleet's retry budget.
  size_t budget_daemons = 0;
  bool stopping = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_CORE_CORE_STATUS_H_
