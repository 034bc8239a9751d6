#include "cuminswitch/Edge/request_flow.h"

#include <algorithm>
#include <utility>

#include "cuminswitch/Edge/retry_after.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Http1/upstream_pool.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

static constexpr uint32_t kFirstFailure = 400;
/// Unsent bytes to a caller at which the upstream is not read any further.
static constexpr size_t kMaxCallerBacklog = 64UL << 10;
/// The same where much is held for slow callers already.
static constexpr size_t kTightCallerBacklog = 4UL << 10;
/// An upstream's own answer at its deadline should come before ours.
static constexpr duration kDeadlineSlack = std::chrono::milliseconds(20);
/// The longest wait for a connection; a host that lives accepts within a few
/// round trips, a lost opening packet costs a second.
static constexpr std::chrono::milliseconds kConnectTimeout{400};
/// A request that may not be repeated takes only a connection that was used
/// just now: one that its upstream has closed meanwhile would leave in doubt
/// whether the request ran.
static constexpr std::chrono::milliseconds kMaxIdleForOnce{1'500};
static constexpr std::chrono::milliseconds kMaxIdle{60'000};
/// A request that may run again elsewhere goes there when its upstream has been
/// silent for so many times the time in which an answer is worth everything,
/// or, within a stream, the longest pause. A plain service answers in a sixth
/// of that time; an engine under load is late without being dead.
static constexpr int kTargetsToStall = 2;
static constexpr int kStreamTargetsToStall = 4;
static constexpr int kPausesToStall = 3;
/// Nor is an upstream left before this many times the wait that is usual now:
/// in an overloaded fleet requests would be taken from engines that are about
/// to answer.
static constexpr int kUsualWaitsToStall = 4;
/// When to come back after a wait that was in vain.
static constexpr duration kQueueRetryAfter = std::chrono::milliseconds(500);

request_flow::request_flow(options opts, const parts& with)
    : options_(std::move(opts)),
      with_(with),
      timer_(with.base, [this] { OnDeadline(); }),
      stall_timer_(with.base, [this] { OnStall(); }) {}

request_flow::~request_flow() {
  if (!has_ended_ && options_.exchange != nullptr) {
    options_.exchange->SetListener(nullptr);
  }
}

void request_flow::Start() {
  options_.exchange->SetListener(this);
  timer_.Start(std::max(duration(0), options_.deadline - options_.arrived) +
               kDeadlineSlack);
}

void request_flow::Dispatch(time_point now, const dispatch_attempt& action) {
  attempt_ = action.attempt;
  upstream_ = action.upstream;
  address_ = action.address;
  usual_first_byte_ = action.mean_first_byte;
  sent_at_ = now;
  ++attempts_;
  ++runs_;
  answer_ = {};
  splitter_.DropPartial();
  dispatch_attributes attributes{
      .upstream = action.upstream,
      .workspace = options_.workspace,
      .time_left = std::max(duration(0), options_.deadline - now),
      .rank = options_.rank,
      .cache_scope = std::nullopt,
      .cache_source = std::nullopt,
      .cache_sink = std::nullopt,
      .weights_version = action.weights_version,
      .last_event = splitter_.last_id()};
  if (options_.uses_cache) {
    attributes.cache_scope = action.cache_scope;
    attributes.cache_source = action.cache_source;
    attributes.cache_sink = action.cache_sink;
  }
  const message_head& head = options_.exchange->Head();
  call_ = with_.pool.Start(
      {.to = action.address,
       .method = head.method,
       .target = head.target,
       .headers = with_.protocol.WriteRequest(head, attributes),
       .body = options_.exchange->Body(),
       .connect_timeout = kConnectTimeout,
       .max_idle = action.after_failure          ? std::chrono::milliseconds(0)
                   : options_.route->MayRepeat() ? kMaxIdle
                                                 : kMaxIdleForOnce},
      *this);
  AwaitBytes();
}

void request_flow::AwaitBytes() {
  const route_spec& route = *options_.route;
  // A timer of the attempt before would cut this one.
  stall_timer_.Cancel();
  if (!route.MayRepeat() || attempts_ >= route.max_attempts) {
    return;
  }
  stall_timer_.Start(StallTime());
}

duration request_flow::StallTime() const {
  const route_spec& route = *options_.route;
  if (first_byte_at_) {
    return route.max_event_gap * kPausesToStall;
  }
  const duration target =
      route.target_latency *
      (route.IsStream() ? kStreamTargetsToStall : kTargetsToStall);
  return std::max(target, usual_first_byte_ * kUsualWaitsToStall);
}

void request_flow::OnStall() {
  if (has_ended_ || call_ == nullptr || is_paused_) {
    return;
  }
  if (!with_.owner.CanPlaceElsewhere(*this)) {
    // With nowhere to go the request would only be given up on; its answer may
    // yet come.
    stall_timer_.Start(StallTime());
    return;
  }
  call_.reset();
  with_.owner.OnConnectionLost(address_);
  Judge(attempt_result::kStalled);
}

void request_flow::CancelAttempt() {
  may_have_run_ = true;
  stall_timer_.Cancel();
  call_.reset();
}

void request_flow::OnResponseHead(const message_head& head) {
  answer_.head = head;
  answer_.attributes = with_.protocol.ReadAnswer(head);
  with_.owner.OnFlowFeedback(
      *this, SelectFeedback(answer_.attributes, options_.request.attempt));
}

/// Whether the head is of a success that can be this attempt's.
static bool IsGenuineSuccess(const message_head& head,
                             const response_attributes& attributes,
                             const std::string& attempt) {
  static constexpr uint32_t kFirstSuccess = 200;
  static constexpr uint32_t kPastSuccess = 300;
  return head.status >= kFirstSuccess && head.status < kPastSuccess &&
         attributes.is_signed && attributes.attempt == attempt &&
         !head.Has("Content-Encoding");
}

bool request_flow::IsForwarding() const {
  return options_.route->IsStream() &&
         IsGenuineSuccess(answer_.head, answer_.attributes,
                          options_.request.attempt);
}

void request_flow::OnResponseBody(std::string_view data) {
  AwaitBytes();
  if (!IsForwarding()) {
    answer_.body.append(data);
    return;
  }
  const std::string_view events = splitter_.Add(data);
  if (!events.empty()) {
    Forward(events);
  }
}

void request_flow::Forward(std::string_view data) {
  const time_point now = ReadBootClock();
  if (!first_byte_at_) {
    first_byte_at_ = now;
    with_.owner.OnFlowEvent(attempt_first_byte{.attempt = attempt_});
  } else {
    longest_pause_ = std::max<duration>(longest_pause_, now - forwarded_at_);
  }
  forwarded_at_ = now;
  if (!is_head_sent_) {
    SendAnswerHead(std::nullopt);
  }
  options_.exchange->SendBody(data);
  const size_t most =
      with_.pool.account().IsTight() ? kTightCallerBacklog : kMaxCallerBacklog;
  if (options_.exchange->PendingBytes() > most && call_ != nullptr) {
    is_paused_ = true;
    call_->PauseReading();
  }
}

void request_flow::OnCallerDrained() {
  if (std::exchange(is_paused_, false) && call_ != nullptr) {
    call_->ResumeReading();
  }
}

void request_flow::SendAnswerHead(std::optional<uint64_t> length) {
  is_head_sent_ = true;
  http_headers headers;
  for (const http_header& item : answer_.head.headers) {
    if (!IsConnectionField(answer_.head, item.name)) {
      headers.push_back(item);
    }
  }
  options_.exchange->SendHead(answer_.head.status, headers,
                              {.content_length = length});
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
  const response_attributes& attributes = answer_.attributes;
  const bool is_other = !attributes.attempt.empty() &&
                        attributes.attempt != options_.request.attempt;
  if (is_other) {
    return attempt_result::kUnrelated;
  }
  if (attributes.is_mismatch) {
    return attempt_result::kMismatch;
  }
  if (attributes.was_not_run) {
    return attempt_result::kRefused;
  }
  if (IsGenuineSuccess(answer_.head, attributes, options_.request.attempt)) {
    return attempt_result::kSuccess;
  }
  return answer_.head.status >= kFirstFailure ? attempt_result::kFailure
                                              : attempt_result::kUnrelated;
}

void request_flow::OnCallEnd(upstream_call_result end) {
  // The call is on the stack; it is destroyed with the next one or the flow.
  const std::unique_ptr<upstream_call> ended = std::move(call_);
  stall_timer_.Cancel();
  if (end == upstream_call_result::kBroken ||
      end == upstream_call_result::kNotConnected) {
    with_.owner.OnConnectionLost(address_);
  }
  Judge(Classify(end));
}

void request_flow::Judge(attempt_result answer) {
  const response_progress progress =
      is_head_sent_ ? response_progress::kBegun : response_progress::kNothing;
  const attempt_disposition verdict =
      ClassifyAttempt(answer, progress, options_.route->MayRepeat());
  if (verdict.result == outcome::kNotRun) {
    --runs_;
  } else {
    may_have_run_ = true;
  }
  if (answer != attempt_result::kSuccess) {
    with_.owner.OnFlowAttemptFailed(*this, answer, answer_.head.status);
  }
  switch (verdict.action) {
    case attempt_action::kForward:
      DeliverWhole();
      break;
    case attempt_action::kRetryOrForward:
      kept_failure_ = std::move(answer_);
      break;
    case attempt_action::kRetry:
      break;
    case attempt_action::kReportUnknown:
      ReplyOwn({.result = outcome::kUnknown,
                .status = status_code::kBadGateway,
                .reason = "answer_broken"});
      break;
    case attempt_action::kAbort:
      CutOff("answer_broken");
      break;
  }
  TellRouter(answer, verdict);
}

void request_flow::TellRouter(attempt_result answer,
                              const attempt_disposition& verdict) {
  // A failure that is handed on ran to its end, which is all the router needs.
  const bool is_final = has_ended_;
  with_.owner.OnFlowEvent(
      attempt_ended{.attempt = attempt_,
                    .result = verdict.result,
                    .refused_busy = answer == attempt_result::kRefused ||
                                    answer == attempt_result::kMismatch,
                    .unreachable = answer == attempt_result::kNotConnected,
                    .failed_in_run = answer == attempt_result::kFailure,
                    .broke_off = answer == attempt_result::kBroken,
                    .answer_begun = is_final,
                    .answer = {}});
}

void request_flow::DeliverWhole() {
  if (!first_byte_at_) {
    first_byte_at_ = ReadBootClock();
    with_.owner.OnFlowEvent(attempt_first_byte{.attempt = attempt_});
  }
  if (IsForwarding()) {
    const std::string_view rest = splitter_.TakeRest();
    if (!is_head_sent_) {
      SendAnswerHead(std::nullopt);
    }
    options_.exchange->SendBody(rest);
  } else {
    SendAnswerHead(answer_.body.size());
    options_.exchange->SendBody(answer_.body);
  }
  options_.exchange->Finish();
  End({.result = outcome::kAnswered,
       .status = answer_.head.status,
       .reason = "answered"});
}

void request_flow::DeliverKept() {
  answer_ = std::move(*kept_failure_);
  SendAnswerHead(answer_.body.size());
  options_.exchange->SendBody(answer_.body);
  options_.exchange->Finish();
  End({.result = outcome::kAnswered,
       .status = answer_.head.status,
       .reason = "upstream_failure"});
}

void request_flow::GiveUp(const local_response& action) {
  if (has_ended_) {
    return;
  }
  if (is_head_sent_) {
    CutOff("no_upstream_to_go_on");
    return;
  }
  if (kept_failure_) {
    DeliverKept();
    return;
  }
  if (action.result == outcome::kNotRun && !may_have_run_) {
    duration wait = action.retry_after;
    if (wait == duration(0)) {
      wait = std::chrono::seconds(action.retry_after_seconds);
    }
    ReplyOwn({.result = outcome::kNotRun,
              .status = action.status,
              .reason = action.message,
              .retry_after = wait,
              .wait = action.wait ? &*action.wait : nullptr});
    return;
  }
  ReplyOwn({.result = outcome::kUnknown,
            .status = status_code::kBadGateway,
            .reason = action.message});
}

void request_flow::ReplyOwn(const flow_result& end) {
  http_headers headers;
  if (end.retry_after > duration(0)) {
    headers.push_back(RetryAfter(end.retry_after));
  }
  Reply(*options_.exchange, end.status, headers, {}, false);
  End(end);
}

void request_flow::CutOff(std::string_view reason) {
  options_.exchange->Abort();
  End({.result = outcome::kUnknown, .status = 0, .reason = reason});
}

void request_flow::OnDeadline() {
  if (has_ended_) {
    return;
  }
  const bool is_running = call_ != nullptr;
  const bool is_sent = is_running || may_have_run_;
  call_.reset();
  if (is_head_sent_) {
    CutOff("deadline");
  } else if (kept_failure_) {
    DeliverKept();
  } else if (is_sent) {
    ReplyOwn({.result = outcome::kUnknown,
              .status = status_code::kGatewayTimeout,
              .reason = "deadline"});
  } else {
    ReplyOwn({.result = outcome::kNotRun,
              .status = status_code::kUnavailable,
              .reason = "deadline_in_queue",
              .retry_after = kQueueRetryAfter});
  }
  if (is_running) {
    // Not the first byte of an answer in all its time: that counts against the
    // upstream as a failed answer does.
    with_.owner.OnFlowEvent(attempt_ended{.attempt = attempt_,
                                          .result = outcome::kUnknown,
                                          .failed_in_run = true,
                                          .answer_begun = true,
                                          .answer = {}});
  } else {
    with_.owner.OnFlowEvent(caller_gone{.request = options_.id});
  }
}

void request_flow::OnCallerGone() {
  // The upstream sees its connection close, and stops to work.
  call_.reset();
  options_.exchange = nullptr;
  End({.result = outcome::kUnknown, .status = 0, .reason = "caller_gone"});
  with_.owner.OnFlowEvent(caller_gone{.request = options_.id});
}

void request_flow::End(const flow_result& end) {
  has_ended_ = true;
  timer_.Cancel();
  stall_timer_.Cancel();
  with_.owner.OnFlowEnd(*this, end);
}

}  // namespace cuminswitch
