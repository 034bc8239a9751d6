/// \file
/// What one daemon knows of one upstream.
#ifndef CUMINSWITCH_ROUTING_REPLICA_H_
#define CUMINSWITCH_ROUTING_REPLICA_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Protocol/core_event.h"
#include "cuminswitch/Routing/outlier_detector.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Prompt tokens a second that a replica is taken to compute while no answer of
/// its target has told more: a model of 70 billion weights on one accelerator.
inline constexpr double kFirstPrefillRate = 8000;

/// An upstream with this daemon's exact counts and its last load report.
struct replica {
  upstream_spec spec;
  uint64_t name_hash = 0;

  /// From the last report.
  bool reported = false;
  bool reachable = true;
  bool leaving = false;
  uint64_t incarnation = 0;
  uint64_t started = 0;
  std::vector<loaded_model> models;
  time_point reported_at{};
  /// Other daemons' requests, as the last report had them: its totals less
  /// this daemon's own at that time.
  uint32_t others_in_flight = 0;
  uint32_t others_waiting = 0;
  /// Prompt tokens that other daemons' requests wait for, as they last told.
  double others_pending_tokens = 0;

  /// Exact: this daemon's attempts, and those without a first byte yet.
  uint32_t in_flight = 0;
  uint32_t waiting = 0;
  /// Prompt tokens sent whose first byte has not come, less expected hits.
  double pending_tokens = 0;

  /// Prompt tokens that a request makes it compute, on average over answers.
  double computed_per_request = 500;
  /// Prompt tokens computed per second, estimated from answers.
  double prefill_rate = kFirstPrefillRate;
  /// Whether an answer of its own has told the rate.
  bool is_rate_measured = false;
  /// How long an unused prefix stays cached, estimated from answers.
  double retention_seconds = 10;
  /// Adaptive limit on this daemon's requests in flight.
  double limit = 16;
  /// When the limit was last lowered.
  time_point lowered_at{};
  /// How long a plain request waits for its first byte, on average.
  double first_byte_seconds = 0;
  /// How long an answer takes from its first byte to its end, on average.
  double answer_seconds = 0.3;
  /// Requests that wait in this daemon for room here.
  uint32_t queued_here = 0;
  /// It names a limit, and this daemon's next turn comes no earlier.
  time_point limited_until{};
  /// It refused a request of this daemon and wants none before this.
  time_point backoff_until{};
  /// One of its answers said that it leaves. The list may say so later, or not.
  bool says_leaving = false;
  /// Between two of this daemon's turns there.
  duration limit_turn{0};
  /// No attempt goes there before this.
  time_point ejected_until{};
  uint32_t failures_in_row = 0;
  outlier_detector answers;
  /// Its weights are being changed.
  bool changing = false;
  /// When it was first seen in its present incarnation, for slow start.
  time_point warm_since{};

  /// By its own word it takes no request of this daemon before this.
  time_point ClosedUntil() const {
    return std::max(limited_until, backoff_until);
  }
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_REPLICA_H_
