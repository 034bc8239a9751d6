// Responses of a flow: what its upstreams send and what its caller is sent.
#include <algorithm>
#include <utility>

#include "cuminswitch/Edge/caller_backlog.h"
#include "cuminswitch/Edge/request_flow.h"
#include "cuminswitch/Edge/retry_after.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Http1/upstream_pool.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

response_owner request_flow::OwnerOf(const message_head& head) const {
  const std::string attempt = with_.protocol.ReadResponse(head).attempt;
  if (attempt.empty()) {
    return response_owner::kUnstated;
  }
  return attempt == options_.request.attempt ? response_owner::kThisCall
                                             : response_owner::kOtherCall;
}

void request_flow::OnOtherResponse(const message_head& head) {
  const response_attributes attributes = with_.protocol.ReadResponse(head);
  with_.owner.OnFlowFeedback(
      *this, SelectFeedback(attributes, options_.request.attempt));
  with_.owner.OnOtherResponse(*this, attributes.attempt);
}

void request_flow::OnResponseHead(const message_head& head) {
  last_read_at_ = ReadBootClock();
  response_.head = head;
  response_.attributes = with_.protocol.ReadResponse(head);
  with_.owner.OnFlowFeedback(
      *this, SelectFeedback(response_.attributes, options_.request.attempt));
}

void request_flow::OnResponseBody(std::string_view data) {
  last_read_at_ = ReadBootClock();
  if (!IsForwarding()) {
    if (!response_.body.Append(data)) {
      EndOversizedAttempt();
      return;
    }
  } else {
    const std::optional<std::string_view> events = splitter_.Add(data);
    if (!events) {
      EndOversizedAttempt();
      return;
    }
    if (!events->empty()) {
      response_.has_events = true;
      Forward(*events);
    }
  }
  // The stall timeout depends on whether the response has begun.
  RestartStallTimer();
}

void request_flow::RecordFirstByte(time_point now) {
  first_byte_at_ = first_byte_at_.value_or(now);
  if (!std::exchange(has_attempt_begun_, true)) {
    with_.owner.OnFlowEvent(attempt_first_byte{.attempt = dispatch_.attempt,
                                               .has_reached_caller = true});
  }
}

void request_flow::Forward(std::string_view data) {
  const time_point now = ReadBootClock();
  const bool is_first = !first_byte_at_;
  RecordFirstByte(now);
  if (!is_first) {
    longest_event_gap_ =
        std::max<duration>(longest_event_gap_, now - forwarded_at_);
  }
  forwarded_at_ = now;
  if (!is_head_sent_) {
    SendResponseHead(std::nullopt);
  }
  options_.exchange->SendBody(data);
  if (call_ != nullptr &&
      HasMaxBacklog(*options_.exchange, with_.pool.account())) {
    is_paused_ = true;
    call_->PauseReading();
  }
}

void request_flow::OnCallerDrained() {
  if (std::exchange(is_paused_, false) && call_ != nullptr) {
    call_->ResumeReading();
    // While nothing was read, the upstream was not silent.
    RestartStallTimer();
  }
}

void request_flow::SendResponseHead(std::optional<uint64_t> length) {
  is_head_sent_ = true;
  options_.exchange->SendHead(response_.head.status,
                              EndToEndHeaders(response_.head),
                              {.content_length = length});
}

void request_flow::SendCompleteResponse() {
  RecordFirstByte(ReadBootClock());
  if (IsForwarding()) {
    const std::string_view rest = splitter_.TakeRemainder();
    if (!is_head_sent_) {
      SendResponseHead(std::nullopt);
    }
    options_.exchange->SendBody(rest);
  } else {
    SendResponseHead(response_.body.size());
    options_.exchange->SendBody(response_.body.text());
  }
  options_.exchange->Finish();
  End({.result = outcome::kAnswered,
       .status = response_.head.status,
       .reason = "answered"});
}

void request_flow::SendRetainedFailure() {
  response_ = std::move(*retained_failure_);
  SendResponseHead(response_.body.size());
  options_.exchange->SendBody(response_.body.text());
  options_.exchange->Finish();
  End({.result = outcome::kAnswered,
       .status = response_.head.status,
       .reason = "upstream_failure"});
}

void request_flow::GiveUp(const local_response& action) {
  if (has_ended_) {
    return;
  }
  if (is_head_sent_) {
    AbortResponse("no_upstream_to_go_on");
    return;
  }
  if (retained_failure_) {
    SendRetainedFailure();
    return;
  }
  if (action.result == outcome::kNotRun && !may_have_run_) {
    duration wait = action.retry_after;
    if (wait == duration(0)) {
      wait = std::chrono::seconds(action.retry_after_seconds);
    }
    ReplyLocally({.result = outcome::kNotRun,
                  .status = action.status,
                  .reason = action.message,
                  .retry_after = wait,
                  .wait = action.wait ? &*action.wait : nullptr,
                  .quarantined_part = action.quarantined_part});
    return;
  }
  ReplyLocally({.result = outcome::kUnknown,
                .status = status_code::kBadGateway,
                .reason = action.message,
                .quarantined_part = action.quarantined_part});
}

void request_flow::ReplyLocally(const flow_result& end) {
  http_headers headers;
  if (end.retry_after > duration(0)) {
    headers.push_back(RetryAfter(end.retry_after));
  }
  Reply(*options_.exchange, end.status, headers, {}, false);
  End(end);
}

void request_flow::AbortResponse(std::string_view reason) {
  options_.exchange->Abort();
  End({.result = outcome::kUnknown, .status = 0, .reason = reason});
}

}  // namespace cuminswitch
