#include "cuminswitch/Edge/request_log.h"

#include <string>

#include "cuminswitch/Admission/quota_policy.h"
#include "cuminswitch/Edge/request_flow.h"
#include "cuminswitch/Edge/stream_origin_registry.h"
#include "cuminswitch/Http1/caller_connection_end.h"

namespace cuminswitch {

static constexpr double kPercent = 100;

log_line DescribePlacement(time_point now,
                           const request_flow& flow,
                           const dispatch_attempt& action) {
  log_line line("attempt_placed");
  line.Add("id", flow.request().attempt)
      .Add("upstream", action.upstream)
      .Add("weights", action.weights_version)
      .Add("software", action.software_version)
      .Add("earlier_attempts", action.earlier_attempts)
      .Add("waited_ms", now - flow.arrived())
      .Add("prompt_tokens", action.prompt_tokens)
      .Add("expected_cached",
           static_cast<uint64_t>(action.expected_cached_tokens))
      .Add("prefix", action.prefix_origin)
      .Add("expected_queue_ms", action.expected_queue);
  if (!flow.request().parts.empty()) {
    line.Add("cache_scope", action.cache_scope);
  }
  if (action.last_start) {
    line.Add("last_start_ms", *action.last_start - now);
  }
  if (action.reservation > duration(0)) {
    line.Add("reservation_ms", action.reservation);
  }
  if (flow.request().has_last_event) {
    line.Add("resumes", flow.request().resumed_attempt);
  }
  if (action.earlier_attempts > 0) {
    line.Add("retries_used", action.retries_used)
        .Add("retries_allowed", static_cast<uint64_t>(action.retries_allowed));
  }
  if (action.cache_source) {
    line.Add("copies_from", action.cache_source->ToString());
  }
  if (action.cache_sink) {
    line.Add("saves_to", action.cache_sink->ToString());
  }
  return line;
}

/// Adds how the upstream's response was delimited, and whether it ended inside
/// an event.
static void AddFraming(const request_flow& flow, log_line& line) {
  if (flow.response_head().status == 0) {
    return;
  }
  line.Add("framing", FramingName(flow.response_head()));
  if (flow.unfinished_bytes() > 0) {
    line.Add("unfinished_bytes",
             static_cast<uint64_t>(flow.unfinished_bytes()));
  }
}

/// Adds what stays the same when the caller sends the request again, and what
/// other requests may share.
static void AddDigests(const request_flow& flow, log_line& line) {
  line.Add("digest", ToHex(flow.digest()));
  std::string parts;
  for (const hash128& part : flow.part_digests()) {
    parts += (parts.empty() ? "" : ",") + ToHex(part);
  }
  if (!parts.empty()) {
    line.Add("parts", parts);
  }
}

log_line DescribeAttemptFailure(time_point now,
                                const request_flow& flow,
                                attempt_result result,
                                uint32_t status) {
  log_line line("attempt_failed");
  line.Add("id", flow.request().attempt)
      .Add("upstream", flow.upstream())
      .Add("answer", ToString(result))
      .Add("status", status);
  AddFraming(flow, line);
  if (result == attempt_result::kBroken || result == attempt_result::kStalled) {
    AddDigests(flow, line);
  }
  return line.Add("ended_by", ToString(flow.end_cause()))
      .Add("silent_ms", now - flow.last_read_at())
      .Add("sent_ms", now - flow.sent_at())
      .Add("response_begun", flow.has_response_begun());
}

/// Adds the estimate behind a refusal because the response would be late.
static void AddWait(const expected_wait& wait, log_line& line) {
  line.Add("best_upstream", wait.upstream)
      .Add("expected_ms", wait.Remaining())
      .Add("expected_turn_ms", wait.local_queue)
      .Add("expected_room_ms", wait.capacity)
      .Add("expected_queue_ms", wait.upstream_queue)
      .Add("expected_reading_ms", wait.prefill)
      .Add("expected_excess_ms", wait.prediction_error)
      .Add("news_age_ms", wait.peer_data_age)
      .Add("target_ms", wait.target);
  if (wait.more_urgent_wait > 0) {
    line.Add("urgent_wait", wait.more_urgent_wait)
        .Add("pressure_age_ms", wait.pressure_age);
  }
}

log_line DescribeEnd(time_point now,
                     const request_flow& flow,
                     const flow_result& end) {
  log_line line("request_ended");
  line.Add("id", flow.request().attempt)
      .Add("route", flow.route().name)
      .Add("workspace", flow.workspace())
      .Add("outcome", ToString(end.result))
      .Add("status", end.status)
      .Add("reason", end.reason)
      .Add("upstream", flow.upstream())
      .Add("took_ms", now - flow.arrived());
  if (flow.first_byte_at()) {
    line.Add("first_byte_ms", *flow.first_byte_at() - flow.arrived())
        .Add("longest_pause_ms", flow.longest_event_gap());
  }
  if (flow.route().IsStream()) {
    AddFraming(flow, line);
  }
  if (end.result != outcome::kAnswered) {
    AddDigests(flow, line);
  }
  if (end.quarantined_part) {
    line.Add("part", ToHex(*end.quarantined_part));
  }
  if (end.retry_after > duration(0)) {
    line.Add("retry_after_ms", end.retry_after);
  }
  if (end.wait != nullptr) {
    AddWait(*end.wait, line);
  }
  return line.Add("truncated", IsTruncated(flow, end))
      .Add("time_left_ms", flow.deadline() - now)
      .Add("attempts", flow.attempts())
      .Add("arrival_configuration", flow.config().version);
}

log_line DescribeCut(const caller_connection_end& end) {
  return log_line("caller_connection_closed")
      .Add("id", end.last_request)
      .Add("cause", ToString(end.cause))
      .Add("unsent_bytes", uint64_t{end.unsent_bytes})
      .Add("unread_bytes", uint64_t{end.unread_bytes})
      .Add("request_open", end.is_request_open);
}

log_line DescribeResumption(const request_flow& flow,
                            const found_origin& found,
                            std::string_view source) {
  return log_line("stream_resumed")
      .Add("id", flow.request().attempt)
      .Add("resumes", flow.request().resumed_attempt)
      .Add("from", source)
      .Add("peers_asked", found.asked);
}

log_line DescribeQuotaRefusal(const request_flow& flow,
                              const quota_request& request,
                              const quota_decision& decision) {
  log_line line("quota_refused");
  line.Add("id", flow.request().attempt)
      .Add("workspace", flow.workspace())
      .Add("configuration", request.limit.version)
      .Add("rate", static_cast<int64_t>(request.limit.rate))
      .Add("burst", static_cast<int64_t>(request.limit.burst))
      .Add("weight", static_cast<int64_t>(request.weight))
      .Add("left", static_cast<int64_t>(decision.level))
      .Add("left_age_ms", decision.age)
      .Add("share_percent", static_cast<int64_t>(decision.share * kPercent))
      .Add("decided_by", ToString(decision.source))
      .Add("retry_after_ms", decision.retry_after);
  return line;
}

log_line DescribePermit(
    const request_flow& flow,
    std::string_view upstream,
    const upstream_limit_admission::permit_result& decided) {
  const quota_decision& decision = decided.decision;
  log_line line(decision.is_admitted ? "limit_granted" : "limit_turned_away");
  line.Add("id", flow.request().attempt)
      .Add("upstream", upstream)
      .Add("requests_per_s", decided.permit.rate)
      .Add("limit_age_ms", decided.permit.limit_age)
      .Add("left", decision.level)
      .Add("left_age_ms", decision.age)
      .Add("share_percent", static_cast<int64_t>(decision.share * kPercent))
      .Add("decided_by", ToString(decision.source));
  if (!decision.is_admitted) {
    line.Add("turn_ms", decision.retry_after);
  }
  return line;
}

}  // namespace cuminswitch
