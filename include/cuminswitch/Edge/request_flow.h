/// \file
/// The I/O of one caller's request.
#ifndef CUMINSWITCH_EDGE_REQUEST_FLOW_H_
#define CUMINSWITCH_EDGE_REQUEST_FLOW_H_

#include <memory>
#include <optional>
#include <string>

#include "cuminswitch/Edge/attempt_disposition.h"
#include "cuminswitch/Edge/edge_protocol.h"
#include "cuminswitch/Edge/event_splitter.h"
#include "cuminswitch/Edge/upstream_feedback.h"
#include "cuminswitch/Fleet/routing_config.h"
#include "cuminswitch/Http1/caller_exchange.h"
#include "cuminswitch/Http1/upstream_call.h"
#include "cuminswitch/Net/loop_timer.h"
#include "cuminswitch/Protocol/core_action.h"
#include "cuminswitch/Protocol/core_event.h"
#include "cuminswitch/Support/hash.h"

struct event_base;

namespace cuminswitch {

class request_flow;
class upstream_pool;

/// How a request ended for its caller, for logs and counts.
struct flow_result {
  outcome result = outcome::kUnknown;
  /// 0 when the connection was cut.
  uint32_t status = 0;
  std::string_view reason;
  /// When the caller was told to come back; 0 where it was told nothing.
  duration retry_after{0};
  /// What a refusal for lateness was decided from; null for other ends.
  const expected_wait* wait = nullptr;
};

/// Takes what a flow has to tell. A flow may be destroyed only from the loop.
class flow_owner {
 public:
  virtual ~flow_owner() = default;
  virtual void OnFlowEvent(core_event event) = 0;
  /// The upstream of the present attempt said something of itself.
  virtual void OnFlowFeedback(const request_flow& flow,
                              const upstream_feedback& notices) = 0;
  /// An attempt ended otherwise than with success.
  virtual void OnFlowAttemptFailed(const request_flow& flow,
                                   attempt_result answer,
                                   uint32_t status) = 0;
  /// A connection to \p address broke; others to it may be dead too.
  virtual void OnConnectionLost(const endpoint& address) = 0;
  /// Whether a request whose upstream is silent could go to another one now.
  virtual bool CanPlaceElsewhere(const request_flow& flow) = 0;
  virtual void OnFlowEnd(request_flow& flow, const flow_result& end) = 0;
};

/// Carries out what the router decides about one request: sends attempts, and
/// brings the caller an answer that is whole, or visibly is not.
class request_flow : private caller_listener, private upstream_handler {
 public:
  struct options {
    request_id id = 0;
    caller_exchange* exchange = nullptr;
    caller_request request;
    /// Kept alive with the flow.
    std::shared_ptr<const routing_config> plan;
    const route_spec* route = nullptr;
    std::string workspace;
    uint32_t rank = 0;
    bool uses_cache = false;
    /// Of what its caller sends again with each attempt.
    hash128 digest;
    time_point arrived{};
    /// When the request is given up on.
    time_point deadline{};
  };
  struct parts {
    event_base* base;
    upstream_pool& pool;
    const edge_protocol& protocol;
    flow_owner& owner;
  };

  request_flow(options opts, const parts& with);
  ~request_flow() override;

  /// Begins to wait for the deadline and the caller.
  void Start();
  void Dispatch(time_point now, const dispatch_attempt& action);
  /// The router has no further upstream for it.
  void GiveUp(const local_response& action);
  /// Stops the present attempt.
  void CancelAttempt();

  request_id id() const { return options_.id; }
  attempt_id attempt() const { return attempt_; }
  /// Attempts that ran, or may have run.
  uint32_t runs() const { return runs_; }
  time_point deadline() const { return options_.deadline; }
  bool has_ended() const { return has_ended_; }
  const caller_request& request() const { return options_.request; }
  const routing_config& plan() const { return *options_.plan; }
  const route_spec& route() const { return *options_.route; }
  const std::string& workspace() const { return options_.workspace; }
  const hash128& digest() const { return options_.digest; }
  const std::string& upstream() const { return upstream_; }
  time_point arrived() const { return options_.arrived; }
  /// When the present attempt was sent.
  time_point sent_at() const { return sent_at_; }
  std::optional<time_point> first_byte_at() const { return first_byte_at_; }
  /// Between two pieces that went to the caller.
  duration longest_pause() const { return longest_pause_; }

 private:
  void OnCallerGone() override;
  void OnCallerDrained() override;
  void OnResponseHead(const message_head& head) override;
  void OnResponseBody(std::string_view data) override;
  void OnCallEnd(upstream_call_result end) override;

  void OnDeadline();
  /// The upstream has been silent for long.
  void OnStall();
  void AwaitBytes();
  /// After how long a silent upstream is left for another.
  duration StallTime() const;
  attempt_result Classify(upstream_call_result end) const;
  void Judge(attempt_result answer);
  void TellRouter(attempt_result answer, const attempt_disposition& verdict);
  bool IsForwarding() const;
  void Forward(std::string_view data);
  void SendAnswerHead(std::optional<uint64_t> length);
  void DeliverWhole();
  void DeliverKept();
  /// Answers in this daemon's own name, as \p end says.
  void ReplyOwn(const flow_result& end);
  void CutOff(std::string_view reason);
  void End(const flow_result& end);

  /// An answer of the present attempt.
  struct answer_state {
    message_head head;
    response_attributes attributes;
    std::string body;
  };

  options options_;
  parts with_;
  loop_timer timer_;
  loop_timer stall_timer_;
  attempt_id attempt_ = 0;
  std::string upstream_;
  time_point sent_at_{};
  endpoint address_;
  uint32_t attempts_ = 0;
  uint32_t runs_ = 0;
  duration usual_first_byte_{0};
  std::unique_ptr<upstream_call> call_;
  answer_state answer_;
  /// A failure that the caller gets if no other attempt succeeds.
  std::optional<answer_state> kept_failure_;
  event_splitter splitter_;
  std::optional<time_point> first_byte_at_;
  time_point forwarded_at_{};
  duration longest_pause_{0};
  bool is_head_sent_ = false;
  bool is_paused_ = false;
  bool has_ended_ = false;
  bool may_have_run_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_REQUEST_FLOW_H_
