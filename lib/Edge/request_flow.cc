#include "cuminswitch/Edge/request_flow.h"

#include <algorithm>
#include <utility>

#include "cuminswitch/Edge/slot_reservation.h"
#include "cuminswitch/Http1/upstream_pool.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

/// Delay after the deadline before this daemon responds, so that the upstream's
/// own time-out response arrives first.
static constexpr duration kDeadlineSlack = std::chrono::milliseconds(20);
/// `Retry-After` for a request whose deadline passed while it waited for an
/// upstream.
static constexpr duration kQueueRetryAfter = std::chrono::milliseconds(500);
/// `Retry-After` for a request that waits while the daemon stops; the caller
/// retries at another one.
static constexpr duration kStopRetryAfter = std::chrono::milliseconds(50);

bool IsTruncated(const request_flow& flow, const flow_result& end) {
  return flow.has_response_begun() && end.status == 0;
}

request_flow::request_flow(options opts, const parts& with)
    : options_(std::move(opts)),
      with_(with),
      timer_(with.base, [this] { OnDeadline(); }),
      stall_timer_(with.base, [this] { OnStall(); }),
      response_(with.pool.account()),
      splitter_(with.pool.account()) {}

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

caller_exchange* request_flow::Detach() {
  has_ended_ = true;
  timer_.Cancel();
  stall_timer_.Cancel();
  return std::exchange(options_.exchange, nullptr);
}

void request_flow::OnDeadline() {
  if (has_ended_) {
    return;
  }
  const bool is_running = call_ != nullptr;
  const bool is_sent = is_running || may_have_run_;
  if (is_running && response_.head.status == 0) {
    with_.owner.OnUpstreamSilent(*this);
  }
  DropReservation();
  call_.reset();
  if (is_head_sent_) {
    AbortResponse("deadline");
  } else if (retained_failure_) {
    SendRetainedFailure();
  } else if (is_sent) {
    ReplyLocally({.result = outcome::kUnknown,
                  .status = status_code::kGatewayTimeout,
                  .reason = "deadline"});
  } else {
    ReplyLocally({.result = outcome::kNotRun,
                  .status = status_code::kUnavailable,
                  .reason = "deadline_in_queue",
                  .retry_after = kQueueRetryAfter});
  }
  if (is_running) {
    // No complete response arrived before the deadline, which counts against
    // the upstream like a failure response.
    with_.owner.OnFlowEvent(attempt_ended{.attempt = dispatch_.attempt,
                                          .result = outcome::kUnknown,
                                          .failed_in_run = true,
                                          .response_started = true,
                                          .response = {}});
  } else {
    with_.owner.OnFlowEvent(caller_disconnected{.request = options_.id});
  }
}

void request_flow::EndForStop() {
  if (has_ended_ || is_head_sent_) {
    return;
  }
  const bool is_sent = call_ != nullptr || may_have_run_;
  DropReservation();
  call_.reset();
  if (retained_failure_) {
    SendRetainedFailure();
  } else if (is_sent) {
    ReplyLocally({.result = outcome::kUnknown,
                  .status = status_code::kBadGateway,
                  .reason = "stopping"});
  } else {
    ReplyLocally({.result = outcome::kNotRun,
                  .status = status_code::kUnavailable,
                  .reason = "stopping",
                  .retry_after = kStopRetryAfter});
  }
  with_.owner.OnFlowEvent(caller_disconnected{.request = options_.id});
}

void request_flow::OnCallerDisconnected() {
  // The upstream sees its connection close and stops executing the request.
  DropReservation();
  call_.reset();
  options_.exchange = nullptr;
  End({.result = outcome::kUnknown, .status = 0, .reason = "caller_gone"});
  with_.owner.OnFlowEvent(caller_disconnected{.request = options_.id});
}

void request_flow::End(const flow_result& end) {
  has_ended_ = true;
  timer_.Cancel();
  stall_timer_.Cancel();
  with_.owner.OnFlowEnd(*this, end);
}

}  // namespace cuminswitch
