// Attempts of a flow: dispatch, reservation, stalls and results.
#include <algorithm>
#include <utility>

#include "cuminswitch/Edge/request_flow.h"
#include "cuminswitch/Edge/slot_reservation.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Http1/upstream_pool.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

static constexpr uint32_t kFirstFailureStatus = 400;
/// The connect time-out. A host that is alive accepts within a few round trips;
/// waiting for the retransmission of a lost opening packet would cost a second.
static constexpr std::chrono::milliseconds kConnectTimeout{400};
/// Maximum idle time of a pooled connection for a request that may not be
/// repeated. On a connection that the upstream has closed meanwhile it would be
/// unknown whether the request was executed, so only recently used ones are
/// reused.
static constexpr std::chrono::milliseconds kMaxIdleNotRepeatable{1'500};
/// Maximum idle time of a pooled connection for other requests.
static constexpr std::chrono::milliseconds kMaxIdle{60'000};
/// A repeatable request is retried at another upstream when no bytes have
/// arrived for the route's target latency times `kStallTargetFactor`
/// (`kStreamStallTargetFactor` for streams) or, after the first event of a
/// stream, for the maximum event gap times `kStallGapFactor`. A plain service
/// responds within a sixth of its stall timeout; an engine under load is late
/// without having failed.
static constexpr int kStallTargetFactor = 2;
static constexpr int kStreamStallTargetFactor = 4;
static constexpr int kStallGapFactor = 3;
/// A sound upstream may be silent for a second or somewhat more within a
/// response. Another one would have to compute the response up to this point
/// again.
static constexpr duration kMaxSoundSilence = std::chrono::milliseconds(2500);
/// The stall timeout is at least this many times the current mean wait for the
/// first byte. In an overloaded fleet, requests would otherwise be taken from
/// engines that are about to respond.
static constexpr int kStallMeanFactor = 4;
/// The share of the route's timeout that may pass before the first byte. A
/// longer stall timeout would leave no time for the retry that it is for.
static constexpr double kMaxStallShare = 2.0 / 3;

void request_flow::Dispatch(time_point now, const dispatch_attempt& action) {
  dispatch_ = action;
  sent_at_ = now;
  last_read_at_ = now;
  has_attempt_begun_ = false;
  is_sent_ = false;
  ++runs_;
  response_ = response_state(with_.pool.account());
  splitter_.DropPartial();
  unfinished_bytes_ = 0;
  if (action.reservation > duration(0)) {
    Reserve();
  } else {
    Send(now, {});
  }
}

void request_flow::Reserve() {
  // What the upstream has cached already occupies its memory.
  const double cached = std::min<double>(dispatch_.prompt_tokens,
                                         dispatch_.expected_cached_tokens);
  const uint32_t tokens = dispatch_.prompt_tokens -
                          static_cast<uint32_t>(cached) +
                          options_.request.max_output_tokens;
  reservation_ = std::make_unique<slot_reservation>(
      slot_reservation::options{
          .to = dispatch_.address,
          .call = with_.protocol.WriteReservation(dispatch_.upstream, tokens,
                                                  dispatch_.reservation)},
      with_.base, with_.pool, with_.protocol,
      [this](const reservation_result& result) { OnReservationEnd(result); });
}

void request_flow::OnReservationEnd(const reservation_result& result) {
  CallLater(
      with_.base,
      [ended = std::shared_ptr<slot_reservation>(std::move(reservation_))] {});
  const time_point now = ReadBootClock();
  const bool is_late = dispatch_.last_start && now >= *dispatch_.last_start;
  if (!result.id.empty() && !is_late && with_.owner.MayStillSend(*this)) {
    Send(now, result.id);
    return;
  }
  if (result.is_unreachable) {
    is_on_new_connection_ = true;
    with_.owner.OnConnectionLost(*this);
  } else if (result.is_silent) {
    with_.owner.OnUpstreamSilent(*this);
  }
  response_.head.status = result.status;
  const bool is_mismatch = result.status == status_code::kMisdirected;
  ProcessAttemptResult(result.is_unreachable ? attempt_result::kNotConnected
                       : is_mismatch         ? attempt_result::kMismatch
                                             : attempt_result::kNotReserved);
}

void request_flow::DropReservation() {
  if (reservation_ != nullptr) {
    reservation_.reset();
    --runs_;
  }
}

std::chrono::milliseconds request_flow::MaxConnectionIdle() const {
  // All attempts at a request have the same id. An upstream may send a response
  // twice, and on the connection of an earlier attempt the second copy could
  // not be told from the response to this one.
  const bool was_sent_there = std::find(sent_to_.begin(), sent_to_.end(),
                                        dispatch_.address) != sent_to_.end();
  if (dispatch_.after_failure || was_sent_there) {
    return std::chrono::milliseconds(0);
  }
  return options_.route->MayRepeat() ? kMaxIdle : kMaxIdleNotRepeatable;
}

void request_flow::Send(time_point now, const std::string& reservation) {
  ++attempts_;
  is_sent_ = true;
  dispatch_attributes attributes{
      .upstream = dispatch_.upstream,
      .workspace = options_.workspace,
      .time_left = std::max(duration(0), options_.deadline - now),
      .rank = options_.rank,
      .cache_scope = std::nullopt,
      .cache_source = std::nullopt,
      .cache_sink = std::nullopt,
      .weights_version = dispatch_.weights_version,
      .last_event = splitter_.last_id(),
      .reservation = reservation};
  if (options_.uses_cache) {
    attributes.cache_scope = dispatch_.cache_scope;
    attributes.cache_source = dispatch_.cache_source;
    attributes.cache_sink = dispatch_.cache_sink;
  }
  const message_head& head = options_.exchange->Head();
  call_ = with_.pool.Start(
      {.to = dispatch_.address,
       .method = head.method,
       .target = head.target,
       .headers = with_.protocol.WriteRequest(head, attributes),
       .body = options_.exchange->Body(),
       .connect_timeout = kConnectTimeout,
       .max_idle = MaxConnectionIdle()},
      *this);
  sent_to_.push_back(dispatch_.address);
  is_on_new_connection_ = !call_->IsOnReusedConnection();
  RestartStallTimer();
}

void request_flow::RestartStallTimer() {
  const route_spec& route = *options_.route;
  // The timer of the previous attempt would otherwise end this one.
  stall_timer_.Cancel();
  if (!route.MayRepeat() || attempts_ >= route.max_attempts) {
    return;
  }
  stall_timer_.Start(StallTimeout());
}

duration request_flow::StallTimeout() const {
  const route_spec& route = *options_.route;
  if (has_attempt_begun_) {
    return std::max<duration>(route.max_event_gap * kStallGapFactor,
                              kMaxSoundSilence);
  }
  const duration target =
      route.target_latency *
      (route.IsStream() ? kStreamStallTargetFactor : kStallTargetFactor);
  const duration latest =
      FromSeconds(ToSeconds(route.timeout) * kMaxStallShare);
  return std::max(std::min(target, latest),
                  dispatch_.mean_first_byte * kStallMeanFactor);
}

void request_flow::OnStall() {
  if (has_ended_ || call_ == nullptr || is_paused_) {
    return;
  }
  if (!with_.owner.ReserveRetry(*this)) {
    // Without another upstream the request would only fail, and its response
    // may still arrive.
    stall_timer_.Start(StallTimeout());
    return;
  }
  call_.reset();
  end_cause_ = call_end_cause::kStallTimeout;
  with_.owner.OnAttemptStalled(*this);
  ProcessAttemptResult(attempt_result::kStalled);
}

void request_flow::EndOversizedAttempt() {
  call_.reset();
  stall_timer_.Cancel();
  end_cause_ = call_end_cause::kTooLarge;
  unfinished_bytes_ = splitter_.UnfinishedSize();
  ProcessAttemptResult(attempt_result::kUnrelated);
}

void request_flow::CancelAttempt() {
  may_have_run_ = may_have_run_ || call_ != nullptr;
  stall_timer_.Cancel();
  DropReservation();
  call_.reset();
}

/// Whether the head is a success response that belongs to \p attempt.
static bool IsVerifiedSuccess(const message_head& head,
                              const response_attributes& attributes,
                              const std::string& attempt) {
  static constexpr uint32_t kFirstSuccessStatus = 200;
  static constexpr uint32_t kEndOfSuccessStatus = 300;
  return head.status >= kFirstSuccessStatus &&
         head.status < kEndOfSuccessStatus && attributes.is_signed &&
         attributes.attempt == attempt && !head.Has("Content-Encoding");
}

bool request_flow::IsForwarding() const {
  return options_.route->IsStream() &&
         IsVerifiedSuccess(response_.head, response_.attributes,
                           options_.request.attempt);
}

/// Whether the body is a stream of events. A stream's upstream may also send
/// another kind of body, which only the framing can show to be complete.
static bool IsEventStream(const message_head& head) {
  static constexpr std::string_view kEventStream = "text/event-stream";
  const std::string_view type = head.Find("Content-Type");
  return type.empty() ||
         IsSameFieldName(type.substr(0, kEventStream.size()), kEventStream);
}

bool request_flow::IsTruncatedStream() const {
  if (!IsForwarding() || !IsEventStream(response_.head)) {
    return false;
  }
  // An upstream that crashes closes its connections in an orderly way too.
  const bool is_unmarked =
      response_.head.ends_with_connection && !response_.has_events;
  return is_unmarked || splitter_.UnfinishedSize() > 0;
}

attempt_result request_flow::Classify(upstream_call_result end) const {
  switch (end) {
    case upstream_call_result::kNotConnected:
      return attempt_result::kNotConnected;
    case upstream_call_result::kBroken:
      return attempt_result::kBroken;
    case upstream_call_result::kMalformed:
      return attempt_result::kUnrelated;
    case upstream_call_result::kComplete:
      break;
  }
  const response_attributes& attributes = response_.attributes;
  if (attributes.is_mismatch) {
    return attempt_result::kMismatch;
  }
  if (attributes.was_not_run) {
    return attempt_result::kRefused;
  }
  if (IsTruncatedStream()) {
    return attempt_result::kBroken;
  }
  if (IsVerifiedSuccess(response_.head, attributes, options_.request.attempt)) {
    return attempt_result::kSuccess;
  }
  return response_.head.status >= kFirstFailureStatus
             ? attempt_result::kFailure
             : attempt_result::kUnrelated;
}

void request_flow::OnCallEnd(upstream_call_result end) {
  // The call is still on the stack, so it must not be destroyed before the end
  // of this function.
  const std::unique_ptr<upstream_call> ended = std::move(call_);
  end_cause_ = ended->EndCause();
  stall_timer_.Cancel();
  unfinished_bytes_ = splitter_.UnfinishedSize();
  attempt_result result = Classify(end);
  if (result == attempt_result::kBroken &&
      ReadBootClock() >= options_.deadline) {
    result = attempt_result::kExpired;
  }
  if (result == attempt_result::kBroken ||
      result == attempt_result::kNotConnected) {
    with_.owner.OnConnectionLost(*this);
  }
  ProcessAttemptResult(result);
}

void request_flow::ProcessAttemptResult(attempt_result result) {
  const response_progress progress =
      is_head_sent_ ? response_progress::kBegun : response_progress::kNothing;
  const attempt_disposition disposition =
      ClassifyAttempt(result, progress, options_.route->MayRepeat());
  if (disposition.result == outcome::kNotRun) {
    --runs_;
  } else {
    may_have_run_ = true;
  }
  if (result != attempt_result::kSuccess) {
    with_.owner.OnFlowAttemptFailed(*this, result, response_.head.status);
  }
  switch (disposition.action) {
    case attempt_action::kForward:
      SendCompleteResponse();
      break;
    case attempt_action::kRetryOrForward:
      retained_failure_ = std::move(response_);
      break;
    case attempt_action::kRetry:
      break;
    case attempt_action::kReportUnknown:
      ReplyLocally({.result = outcome::kUnknown,
                    .status = status_code::kBadGateway,
                    .reason = "answer_broken"});
      break;
    case attempt_action::kAbort:
      AbortResponse("answer_broken");
      break;
  }
  ReportAttemptEnd(result, disposition);
}

void request_flow::ReportAttemptEnd(attempt_result result,
                                    const attempt_disposition& disposition) {
  // For a forwarded failure the router only needs to know that it was executed.
  const bool is_final = has_ended_;
  const bool is_not_reserved = result == attempt_result::kNotReserved;
  const bool was_withdrawn =
      is_not_reserved && response_.head.status == status_code::kOk;
  const bool was_not_granted =
      is_not_reserved && response_.head.status != 0 && !was_withdrawn;
  with_.owner.OnFlowEvent(attempt_ended{
      .attempt = dispatch_.attempt,
      .result = disposition.result,
      .refused_busy = result == attempt_result::kRefused ||
                      result == attempt_result::kMismatch || was_not_granted,
      .is_mismatch = result == attempt_result::kMismatch,
      .unreachable = result == attempt_result::kNotConnected,
      .was_not_sent = !is_sent_,
      .was_withdrawn = was_withdrawn,
      .failed_in_run = result == attempt_result::kFailure ||
                       result == attempt_result::kExpired,
      .connection_lost = result == attempt_result::kBroken,
      .is_unframed = response_.head.ends_with_connection,
      .response_started = is_final,
      .response = {}});
}

}  // namespace cuminswitch
