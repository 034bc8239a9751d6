/// \file
/// A daemon's state for one upstream.
#ifndef CUMINSWITCH_ROUTING_REPLICA_H_
#define CUMINSWITCH_ROUTING_REPLICA_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Protocol/core_event.h"
#include "cuminswitch/Routing/outlier_detector.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Assumed prefill rate in prompt tokens per second until a response from a
/// replica of the same target gives an estimate: that of a model with 70
/// billion weights on one accelerator.
inline constexpr double kInitialPrefillRate = 8000;

/// An upstream with this daemon's exact counts and the last load report.
struct replica {
  upstream_spec spec;
  uint64_t name_hash = 0;
  /// `kAnySoftware` if its software version is unknown.
  software_tag software = kAnySoftware;

  /// State from the last report.
  bool reported = false;
  bool reachable = true;
  bool leaving = false;
  uint64_t incarnation = 0;
  uint64_t started = 0;
  /// The incarnation of the last report, if refusals or responses have shown
  /// that the replica has other weights by now; otherwise 0.
  uint64_t reported_incarnation = 0;
  std::vector<loaded_model> models;
  time_point reported_at{};
  /// Other daemons' requests: the totals of the last report minus this daemon's
  /// own requests at that time.
  uint32_t others_in_flight = 0;
  uint32_t others_waiting = 0;
  /// Prompt tokens of other daemons' requests that wait for their first byte,
  /// as last reported by these daemons.
  double others_pending_tokens = 0;
  /// The times of these reports in seconds, each multiplied by its tokens.
  double others_token_seconds = 0;
  /// Moving average of `others_pending_tokens` up to `others_averaged_at`.
  double mean_others_pending_tokens = 0;
  time_point others_averaged_at{};

  /// This daemon's attempts in flight, and those of them without a first byte
  /// yet; both exact.
  uint32_t in_flight = 0;
  uint32_t waiting = 0;
  /// Prompt tokens of this daemon's attempts without a first byte, minus the
  /// expected cache hits.
  double pending_tokens = 0;

  /// Moving average of the prompt tokens that the replica computes per request.
  double computed_per_request = 500;
  /// Prompt tokens computed per second, estimated from responses.
  double prefill_rate = kInitialPrefillRate;
  /// Whether a response of this replica has been used to estimate the rate.
  bool is_rate_measured = false;
  /// Time for which an unused prefix stays cached, estimated from the cached
  /// tokens that responses report.
  double retention_seconds = 10;
  /// Adaptive limit on this daemon's requests in flight.
  double limit = 16;
  /// When the limit was last lowered.
  time_point limit_lowered_at{};
  /// Moving average of the time to first byte of requests without a prompt, in
  /// seconds.
  double first_byte_seconds = 0;
  /// Moving average of the time from the first to the last byte of a response,
  /// in seconds.
  double response_seconds = 0.3;
  /// Requests in this daemon that wait for a free slot at the replica.
  uint32_t queued_locally = 0;
  /// The replica advertises a rate limit, and this daemon's next send slot is
  /// not before this time.
  time_point limited_until{};
  /// Rejections per second that the replica survives, if it advertises that it
  /// does not survive more. Each request to it needs a permit then.
  std::optional<uint32_t> rejection_limit;
  /// Requests that the replica executes concurrently by its last response; 0 if
  /// it did not state that.
  uint32_t stated_slots = 0;
  /// Permits that were granted to this daemon, and those of them that are kept
  /// for requests which await a permit of another kind.
  uint32_t permits = 0;
  uint32_t kept_permits = 0;
  /// Estimated time until a request that arrives now gets a permit, as of
  /// `permit_wait_at`.
  duration permit_wait{0};
  time_point permit_wait_at{};
  /// Moving average of the time to first byte of requests that were sent with a
  /// permit, in seconds: they do not queue at the replica. 0 if unknown.
  double permit_work_seconds = 0;
  /// Until when requests that this daemon cancelled count as in flight: the
  /// replica may go on with them.
  std::vector<time_point> cancelled_until;
  /// No permit is wanted before this time, since one was not used.
  time_point permit_wanted_from{};
  /// Requests that the replica rejected because it was full.
  uint64_t rejections = 0;
  /// When the first request arrived that waits for the replica.
  time_point first_queued{};
  /// The replica refused a request of this daemon and asked for backoff until
  /// this time.
  time_point backoff_until{};
  /// A response of the replica announced that it is leaving. The upstream list
  /// may say so later or not at all.
  bool announced_leaving = false;
  /// Time between two of this daemon's send slots at the replica.
  duration send_interval{0};
  /// The replica is ejected until this time and gets no attempts.
  time_point ejected_until{};
  uint32_t failures_in_row = 0;
  outlier_detector responses;
  /// The replica's weights are being changed.
  bool changing = false;
  /// The replica serves, but may begin to change its weights at any time.
  bool may_change = false;
  /// When the replica was first seen in its current incarnation, for slow
  /// start.
  time_point slow_start_since{};

  /// Returns the time until which the replica accepts no request of this daemon
  /// because of its rate limit or a backoff that it asked for.
  time_point UnavailableUntil() const {
    return std::max(limited_until, backoff_until);
  }
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_REPLICA_H_
