/// \file
/// Performs the I/O of one caller's request.
#ifndef CUMINSWITCH_EDGE_REQUEST_FLOW_H_
#define CUMINSWITCH_EDGE_REQUEST_FLOW_H_

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "cuminswitch/Edge/attempt_disposition.h"
#include "cuminswitch/Edge/edge_protocol.h"
#include "cuminswitch/Edge/event_splitter.h"
#include "cuminswitch/Edge/response_buffer.h"
#include "cuminswitch/Edge/upstream_feedback.h"
#include "cuminswitch/Fleet/routing_config.h"
#include "cuminswitch/Http1/call_end_cause.h"
#include "cuminswitch/Http1/caller_exchange.h"
#include "cuminswitch/Http1/upstream_call.h"
#include "cuminswitch/Net/loop_timer.h"
#include "cuminswitch/Protocol/core_action.h"
#include "cuminswitch/Protocol/core_event.h"
#include "cuminswitch/Support/hash.h"

struct event_base;

namespace cuminswitch {

class request_flow;
class slot_reservation;
class upstream_pool;
struct reservation_result;

/// How a request ended for its caller, for the log and the metrics.
struct flow_result {
  outcome result = outcome::kUnknown;
  /// HTTP status; 0 if the caller's connection was closed instead.
  uint32_t status = 0;
  std::string_view reason;
  /// The value of `Retry-After` in the response; 0 if it has none.
  duration retry_after{0};
  /// The estimate behind a refusal because the response would be late; null for
  /// other results.
  const expected_wait* wait = nullptr;
  /// The quarantined part of the prompt for which it was refused, if any.
  std::optional<hash128> quarantined_part;
};

/// Whether the caller was sent a part of the response and not the rest.
bool IsTruncated(const request_flow& flow, const flow_result& end);

/// Receives the events of a flow. A flow may not be destroyed within one of
/// these calls, only from the event loop.
class flow_owner {
 public:
  virtual ~flow_owner() = default;
  virtual void OnFlowEvent(core_event event) = 0;
  /// The upstream of the current attempt sent a response head.
  virtual void OnFlowFeedback(const request_flow& flow,
                              const upstream_feedback& feedback) = 0;
  /// The upstream of the current attempt sent a response to \p other, another
  /// request, which is skipped.
  virtual void OnOtherResponse(const request_flow& flow,
                               const std::string& other) = 0;
  /// An attempt ended without success.
  virtual void OnFlowAttemptFailed(const request_flow& flow,
                                   attempt_result result,
                                   uint32_t status) = 0;
  /// The connection of the current attempt was lost or was not established;
  /// other connections to the upstream may be broken too.
  virtual void OnConnectionLost(const request_flow& flow) = 0;
  /// The current attempt is retried elsewhere because its upstream sent nothing
  /// within the stall timeout; other connections to it may be broken too.
  virtual void OnAttemptStalled(const request_flow& flow) = 0;
  /// The upstream of the current attempt sent no response head in time.
  virtual void OnUpstreamSilent(const request_flow& flow) = 0;
  /// Reserves what a request whose upstream is unresponsive needs to be retried
  /// at another one. Returns whether that was possible; if so, the attempt ends
  /// at once.
  virtual bool ReserveRetry(const request_flow& flow) = 0;
  /// Whether the upstream of the current attempt still accepts requests.
  virtual bool MayStillSend(const request_flow& flow) = 0;
  virtual void OnFlowEnd(request_flow& flow, const flow_result& end) = 0;
};

/// Carries out the router's decisions about one request: sends attempts to
/// upstreams, and sends the caller a response that is either complete or
/// recognisably truncated.
class request_flow : private caller_listener, private upstream_handler {
 public:
  struct options {
    request_id id = 0;
    caller_exchange* exchange = nullptr;
    caller_request request;
    /// The configuration that `route` points into.
    std::shared_ptr<const routing_config> config;
    const route_spec* route = nullptr;
    /// The service that the request is routed to.
    std::string service;
    std::string workspace;
    uint32_t rank = 0;
    bool uses_cache = false;
    /// Digest that all attempts of the caller for one request share.
    hash128 digest;
    /// See `request_arrived::part_digests`.
    std::vector<hash128> part_digests;
    time_point arrived{};
    /// When the request times out.
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

  /// Starts the deadline timer and listens to the caller's connection.
  void Start();
  void Dispatch(time_point now, const dispatch_attempt& action);
  /// Ends the request as the router, which has no further upstream for it,
  /// decided.
  void GiveUp(const local_response& action);
  /// Routes the request to another service; it may not have been sent yet.
  void SetService(std::string service) {
    options_.service = std::move(service);
  }
  /// Responds to the caller that this daemon stops, unless a response has
  /// begun.
  void EndForStop();
  /// Stops the current attempt. The request counts as possibly executed.
  void CancelAttempt();

  /// Ends the flow without a response and returns its exchange. No attempt may
  /// be in progress.
  caller_exchange* Detach();

  request_id id() const { return options_.id; }
  attempt_id attempt() const { return dispatch_.attempt; }
  /// Attempts that the upstream executed or may have executed.
  uint32_t runs() const { return runs_; }
  time_point deadline() const { return options_.deadline; }
  bool has_ended() const { return has_ended_; }
  /// Whether an attempt is in progress.
  bool is_running() const {
    return call_ != nullptr || reservation_ != nullptr;
  }
  /// Whether an upstream executed the request or may have executed it.
  bool may_have_run() const { return may_have_run_; }
  const caller_request& request() const { return options_.request; }
  const routing_config& config() const { return *options_.config; }
  const route_spec& route() const { return *options_.route; }
  const std::string& service() const { return options_.service; }
  const std::string& workspace() const { return options_.workspace; }
  const hash128& digest() const { return options_.digest; }
  std::span<const hash128> part_digests() const {
    return options_.part_digests;
  }
  const std::string& upstream() const { return dispatch_.upstream; }
  const endpoint& address() const { return dispatch_.address; }
  /// Whether the current attempt opened its connection.
  bool is_on_new_connection() const { return is_on_new_connection_; }
  time_point arrived() const { return options_.arrived; }
  /// When the current attempt was sent.
  time_point sent_at() const { return sent_at_; }
  /// When the last bytes of the current attempt's response were read; before
  /// that, when it was sent.
  time_point last_read_at() const { return last_read_at_; }
  /// What ended the current attempt.
  call_end_cause end_cause() const { return end_cause_; }
  /// Attempts so far.
  uint32_t attempts() const { return attempts_; }
  /// Whether the caller was sent a part of the response.
  bool has_response_begun() const { return is_head_sent_; }
  std::optional<time_point> first_byte_at() const { return first_byte_at_; }
  /// The head of the current attempt's response; its status is 0 before one has
  /// arrived.
  const message_head& response_head() const { return response_.head; }
  /// Bytes of the event inside which the last stream ended.
  size_t unfinished_bytes() const { return unfinished_bytes_; }
  /// The longest time between two pieces of the response sent to the caller.
  duration longest_event_gap() const { return longest_event_gap_; }

 private:
  void OnCallerDisconnected() override;
  void OnCallerDrained() override;
  response_owner OwnerOf(const message_head& head) const override;
  void OnOtherResponse(const message_head& head) override;
  void OnResponseHead(const message_head& head) override;
  void OnResponseBody(std::string_view data) override;
  void OnCallEnd(upstream_call_result end) override;

  /// Reserves a slot for the current attempt, and sends it once that is
  /// granted.
  void Reserve();
  void OnReservationEnd(const reservation_result& result);
  /// Cancels a reservation in progress; the request was not sent.
  void DropReservation();
  /// Longest idle time of a pooled connection for the current attempt; 0 for a
  /// new connection.
  std::chrono::milliseconds MaxConnectionIdle() const;
  /// Sends the current attempt with \p reservation, which may be empty.
  void Send(time_point now, const std::string& reservation);
  /// Ends the current attempt, whose response is too large to be buffered.
  void EndOversizedAttempt();
  /// Reports the first byte of the current attempt.
  void RecordFirstByte(time_point now);
  void OnDeadline();
  /// The upstream sent no bytes within the stall timeout.
  void OnStall();
  void RestartStallTimer();
  /// Returns the time without bytes after which the request is retried at
  /// another upstream.
  duration StallTimeout() const;
  attempt_result Classify(upstream_call_result end) const;
  void ProcessAttemptResult(attempt_result result);
  void ReportAttemptEnd(attempt_result result,
                        const attempt_disposition& disposition);
  bool IsForwarding() const;
  /// Whether the stream that has ended lacks a part: it ended inside an event,
  /// or nothing shows that the end of the connection was the end of the stream.
  bool IsTruncatedStream() const;
  void Forward(std::string_view data);
  void SendResponseHead(std::optional<uint64_t> length);
  void SendCompleteResponse();
  void SendRetainedFailure();
  /// Sends a response made by this daemon, as \p end states.
  void ReplyLocally(const flow_result& end);
  void AbortResponse(std::string_view reason);
  void End(const flow_result& end);

  /// The response to an attempt.
  struct response_state {
    explicit response_state(byte_account& account) : body(account) {}

    message_head head;
    response_attributes attributes;
    response_buffer body;
    bool has_events = false;
  };

  options options_;
  parts with_;
  loop_timer timer_;
  loop_timer stall_timer_;
  /// The current attempt.
  dispatch_attempt dispatch_;
  time_point sent_at_{};
  time_point last_read_at_{};
  call_end_cause end_cause_ = call_end_cause::kFraming;
  /// Whether the current attempt was sent.
  bool is_sent_ = false;
  /// Whether the current attempt has sent the first byte of its response.
  bool has_attempt_begun_ = false;
  bool is_on_new_connection_ = false;
  /// Where earlier attempts were sent.
  std::vector<endpoint> sent_to_;
  uint32_t attempts_ = 0;
  uint32_t runs_ = 0;
  std::unique_ptr<slot_reservation> reservation_;
  std::unique_ptr<upstream_call> call_;
  response_state response_;
  /// A failure response that is sent to the caller if no other attempt
  /// succeeds.
  std::optional<response_state> retained_failure_;
  event_splitter splitter_;
  size_t unfinished_bytes_ = 0;
  std::optional<time_point> first_byte_at_;
  time_point forwarded_at_{};
  duration longest_event_gap_{0};
  bool is_head_sent_ = false;
  bool is_paused_ = false;
  bool has_ended_ = false;
  bool may_have_run_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_REQUEST_FLOW_H_
