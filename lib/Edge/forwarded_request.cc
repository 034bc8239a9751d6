#include "cuminswitch/Edge/forwarded_request.h"

#include <algorithm>
#include <utility>

#include "cuminswitch/Edge/caller_backlog.h"
#include "cuminswitch/Edge/edge_protocol.h"
#include "cuminswitch/Edge/retry_after.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Http1/upstream_pool.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

/// The peer gets this much less time than is left, so that its response to a
/// request that times out arrives before this daemon gives up.
static constexpr duration kPeerMargin = std::chrono::milliseconds(20);
static constexpr std::chrono::milliseconds kConnectTimeout{400};
/// Maximum idle time of a pooled connection to a peer, which does not announce
/// how long it keeps one open.
static constexpr std::chrono::milliseconds kMaxIdle{1'000};
/// `Retry-After` if no peer accepts the request.
static constexpr duration kRetryAfter = std::chrono::milliseconds(500);

forwarded_request::forwarded_request(options opts, const parts& with)
    : options_(std::move(opts)),
      with_(with),
      timer_(with.base, [this] { OnDeadline(); }) {}

forwarded_request::~forwarded_request() {
  if (!has_ended_) {
    options_.exchange->SetListener(nullptr);
  }
}

void forwarded_request::Start() {
  options_.exchange->SetListener(this);
  timer_.Start(std::max(duration(0), options_.deadline - ReadBootClock()) +
               kPeerMargin);
  SendToNext();
}

void forwarded_request::SendToNext() {
  const forward_target& peer = options_.peers[peers_tried_++];
  peer_ = peer.name;
  is_skipped_ = false;
  const duration time_left =
      std::max(duration(0), options_.deadline - ReadBootClock() - kPeerMargin);
  const message_head& head = options_.exchange->Head();
  call_ = with_.pool.Start(
      {.to = peer.caller_address,
       .method = head.method,
       .target = head.target,
       .headers = with_.protocol.WriteForwarded(head, time_left),
       .body = options_.exchange->Body(),
       .connect_timeout = kConnectTimeout,
       .max_idle = kMaxIdle},
      *this);
}

void forwarded_request::OnResponseHead(const message_head& head) {
  const bool is_from_peer = !with_.protocol.ReadResponse(head).is_signed;
  if (is_from_peer && head.status == status_code::kUnavailable && HasNext()) {
    is_skipped_ = true;
    return;
  }
  const bool is_refusal =
      is_from_peer && (head.status == status_code::kUnavailable ||
                       head.status == status_code::kTooManyRequests);
  result_ = {.result = is_refusal     ? outcome::kNotRun
                       : is_from_peer ? outcome::kUnknown
                                      : outcome::kAnswered,
             .status = head.status,
             .reason = "forwarded"};
  is_head_sent_ = true;
  options_.exchange->SendHead(head.status, EndToEndHeaders(head),
                              {.content_length = head.content_length});
}

void forwarded_request::OnResponseBody(std::string_view data) {
  if (is_skipped_) {
    return;
  }
  options_.exchange->SendBody(data);
  if (call_ != nullptr &&
      HasMaxBacklog(*options_.exchange, with_.pool.account())) {
    is_paused_ = true;
    call_->PauseReading();
  }
}

void forwarded_request::OnCallerDrained() {
  if (std::exchange(is_paused_, false) && call_ != nullptr) {
    call_->ResumeReading();
  }
}

void forwarded_request::OnCallEnd(upstream_call_result end) {
  // The call is still on the stack, so it must not be destroyed before the end
  // of this function.
  const std::unique_ptr<upstream_call> ended = std::move(call_);
  if (is_skipped_ || end == upstream_call_result::kNotConnected) {
    if (HasNext()) {
      SendToNext();
    } else {
      Refuse();
    }
    return;
  }
  if (end != upstream_call_result::kComplete) {
    ReportUnknown(status_code::kBadGateway, "peer_broke_off");
    return;
  }
  options_.exchange->Finish();
  End(result_);
}

void forwarded_request::OnDeadline() {
  call_.reset();
  ReportUnknown(status_code::kGatewayTimeout, "deadline");
}

void forwarded_request::EndForStop() {
  if (has_ended_ || is_head_sent_) {
    return;
  }
  call_.reset();
  ReportUnknown(status_code::kBadGateway, "stopping");
}

void forwarded_request::Refuse() {
  Reply(*options_.exchange, status_code::kUnavailable,
        {RetryAfter(kRetryAfter)}, {}, false);
  End({.result = outcome::kNotRun,
       .status = status_code::kUnavailable,
       .reason = "no_peer_accepts"});
}

void forwarded_request::ReportUnknown(uint32_t status,
                                      std::string_view reason) {
  if (is_head_sent_) {
    options_.exchange->Abort();
    status = 0;
  } else {
    Reply(*options_.exchange, status, {}, {}, false);
  }
  End({.result = outcome::kUnknown, .status = status, .reason = reason});
}

void forwarded_request::OnCallerDisconnected() {
  // The peer sees its connection close and cancels the request.
  call_.reset();
  End({.result = outcome::kUnknown, .status = 0, .reason = "caller_gone"});
}

void forwarded_request::End(const forward_result& end) {
  has_ended_ = true;
  timer_.Cancel();
  with_.owner.OnForwardEnd(*this, end);
}

}  // namespace cuminswitch
