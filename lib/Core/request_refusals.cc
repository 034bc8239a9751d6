// Requests that end without an upstream's response, and the responses to their
// callers.
#include <algorithm>
#include <cmath>
#include <utility>

#include "cuminswitch/Admission/load_shedder.h"
#include "cuminswitch/Admission/urgency_shedder.h"
#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/status_code.h"
#include "router_constants.h"

namespace cuminswitch {

static constexpr size_t kMaxAbandonedStarts = 4096;
static constexpr uint32_t kMaxRetryAfterSeconds = 120;
/// Margins for the estimates of a request's work or response time, and of its
/// wait for a permit.
static constexpr double kWorkMargin = 1.5;
static constexpr double kPermitWaitMargin = 1.5;

double request_router::SecondsForResponse(const request& item,
                                          duration first_byte) {
  if (item.info.prompt_tokens > 0 || item.arrivals > 0) {
    return 0;
  }
  return std::min(kWorkMargin * ToSeconds(first_byte),
                  ToSeconds(item.info.time_limit) / 2);
}

double request_router::MaxWaitSeconds(time_point now,
                                      const request& item) const {
  const double left = ToSeconds(item.deadline - now);
  const std::string& target = item.info.target;
  if (replicas_.PermitWait(now, target) == duration(0)) {
    const duration first_byte = replicas_.ShortestFirstByte(target);
    return std::max(0.0, left - SecondsForResponse(item, first_byte));
  }
  // With permits, requests run as soon as they are sent: what begins too late
  // to end before its deadline uses a slot in vain.
  return (left - kWorkMargin * ToSeconds(replicas_.PermitWork(target))) /
         kPermitWaitMargin;
}

double request_router::EstimateWaitSeconds(time_point now,
                                           const request& item) const {
  const double permit_wait =
      ToSeconds(replicas_.PermitWait(now, item.info.target));
  const auto meter = drain_meters_.find(item.info.target);
  // A daemon that has just started has measured no rate. If the rate were
  // assumed to be low, requests that only wait for the first load reports would
  // be refused.
  if (meter == drain_meters_.end() || !meter->second.HasMeasured()) {
    return permit_wait;
  }
  const double rate = meter->second.RatePerSecond(now);
  const auto ahead = static_cast<double>(queue_.CountAhead(MakeWaiting(item)));
  return std::max(permit_wait, ahead / rate);
}

uint32_t request_router::EstimateRetryAfter(time_point now,
                                            const request& item) const {
  // The earliest time at which a request like this one would be accepted: when
  // enough of the requests ahead have been served.
  const double wait = EstimateWaitSeconds(now, item);
  const double retry_after = wait - ToSeconds(item.info.time_limit) / 2;
  return std::clamp<uint32_t>(
      static_cast<uint32_t>(std::ceil(std::max(0.0, retry_after))), 1,
      kMaxRetryAfterSeconds);
}

double request_router::HashFraction(const request& item) {
  return static_cast<double>(Hash64(item.info.target, item.info.request)) /
         static_cast<double>(UINT64_MAX);
}

bool request_router::ShedIfLate(time_point now,
                                const request& item,
                                const placement& chosen,
                                double local_queue_seconds,
                                action_list& out) {
  // A request that was sent before, or resumes a stream, is not refused: part
  // of its work is done, or it was granted a retry.
  if (item.arrivals > 0 || item.software != kAnySoftware ||
      item.info.prompt_tokens == 0) {
    return false;
  }
  const double capacity_seconds =
      chosen.must_wait ? replicas_.EstimateSecondsToFreeSlot(now, chosen.index)
                       : 0;
  const double prefill_seconds =
      (item.info.prompt_tokens - chosen.expected_cached_tokens) /
      replicas_[chosen.index].prefill_rate;
  expected_wait wait{.upstream = {},
                     .waited = now - ArrivedAt(item),
                     .local_queue = FromSeconds(local_queue_seconds),
                     .capacity = FromSeconds(capacity_seconds),
                     .upstream_queue = FromSeconds(
                         EstimateTurnSeconds(now, item, chosen.index)),
                     .prefill = FromSeconds(prefill_seconds),
                     .prediction_error = replicas_.MeanPredictionError(
                         now, item.info.target, PriorityOf(item)),
                     .target = item.info.target_latency};
  const shedding_query query{
      .waited = wait.waited,
      .expected = wait.Remaining(),
      .target = item.info.target_latency,
      .caller_idle_timeout = item.info.caller_idle_timeout,
      .priority = PriorityOf(item)};
  double chance = 0;
  bool is_yielding = false;
  if (options_.is_capacity_scarce) {
    const urgency_query urgency = DescribeUrgency(now, item, wait);
    chance = ScarcityChance(urgency);
    is_yielding = IsYielding(urgency);
  } else {
    chance = RefusalChance(query);
  }
  if (HashFraction(item) >= chance) {
    return false;
  }
  ++counters_.shed;
  counters_.yielded += is_yielding ? 1 : 0;
  // Only the log uses these, so they are not computed for accepted requests.
  wait.upstream = replicas_[chosen.index].spec.name;
  wait.peer_data_age = replicas_.OldestPeerBacklog(now);
  Refuse(item.info.request,
         {.status = status_code::kTooManyRequests,
          .message = is_yielding ? "more urgent requests wait"
                                 : "it would be served too late",
          .retry_after = RefusedRetryAfter(query),
          .wait = wait},
         out);
  return true;
}

bool request_router::IsQuarantined(time_point now, const request& item) {
  const hash128* part =
      quarantine_.FindQuarantined(now, item.info.part_digests);
  return quarantine_
      .RetryDelay(now, part == nullptr ? item.info.request_digest : *part)
      .has_value();
}

bool request_router::RefuseIfQuarantined(time_point now,
                                         request& item,
                                         action_list& out) {
  if (item.is_trial) {
    return false;
  }
  const hash128* part =
      quarantine_.FindQuarantined(now, item.info.part_digests);
  const std::optional<duration> left = quarantine_.RetryDelay(
      now, part == nullptr ? item.info.request_digest : *part);
  if (!left) {
    return false;
  }
  if (part != nullptr && !item.may_have_run &&
      quarantine_.TryStartTrial(now, *part)) {
    item.is_trial = true;
    return false;
  }
  Refuse(item.info.request,
         {.status = item.may_have_run ? status_code::kBadGateway
                                      : status_code::kUnavailable,
          .retry_after_seconds = static_cast<uint32_t>(ToSeconds(*left)) + 1,
          .message = part == nullptr
                         ? "upstreams crash under this request"
                         : "upstreams crash under a part of this prompt",
          .retry_after = *left,
          .quarantined_part =
              part == nullptr ? std::nullopt : std::optional(*part)},
         out);
  return true;
}

bool request_router::RefuseIfVersionGone(
    time_point now,
    request& item,
    std::span<const replica_index> excluded,
    action_list& out) {
  if (item.software == kAnySoftware || HasUpstream(now, item, excluded)) {
    return false;
  }
  if (RefuseOrPostpone(
          now, item,
          {.status = status_code::kUnavailable,
           .retry_after_seconds = 1,
           .message = "no upstream has the stream's software version",
           .retry_after = kUpstreamRetryAfter},
          out)) {
    ++counters_.version_gone;
  }
  return true;
}

outcome request_router::ClassifyRefused(const request& item) {
  if (item.may_have_run) {
    return outcome::kUnknown;
  }
  // "Not run" is a statement about the key, not about this request alone.
  // Unless the start was granted, or the caller has never sent the key, an
  // earlier request with the key may have run without this daemon's knowledge.
  const bool key_is_new = item.epoch != 0 || item.info.is_first_attempt;
  return item.once && !key_is_new ? outcome::kUnknown : outcome::kNotRun;
}

void request_router::Refuse(request_id id,
                            const refusal& why,
                            action_list& out) {
  request& item = requests_.at(id);
  const outcome result = ClassifyRefused(item);
  const bool requested_start =
      item.once && item.config != nullptr && item.workspace != nullptr;
  if (requested_start && !item.may_have_run) {
    // Nothing ran under the key, and nothing will, since the request ends here.
    ReleaseStart(item, out);
    abandoned_starts_[id] = {.shard = static_cast<shard_number>(
                                 item.key.high % options_.shard_count),
                             .key = item.key,
                             .host = options_.self.host,
                             .incarnation = options_.self.incarnation,
                             .request = id};
    if (abandoned_starts_.size() > kMaxAbandonedStarts) {
      abandoned_starts_.erase(abandoned_starts_.begin());
    }
  } else if (item.epoch != 0) {
    ReportFinish(item, outcome::kUnknown, {}, out);
  }
  ++(result == outcome::kNotRun ? counters_.not_run : counters_.unknown);
  out.push_back(local_response{.request = id,
                               .result = result,
                               .status = why.status,
                               .retry_after_seconds = why.retry_after_seconds,
                               .retry_after = why.retry_after,
                               .message = why.message,
                               .recorded = {},
                               .wait = why.wait,
                               .quarantined_part = why.quarantined_part});
  Erase(id);
}

}  // namespace cuminswitch
