/// \file
/// A caller's request that a peer serves.
#ifndef CUMINSWITCH_EDGE_FORWARDED_REQUEST_H_
#define CUMINSWITCH_EDGE_FORWARDED_REQUEST_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Http1/caller_exchange.h"
#include "cuminswitch/Http1/upstream_call.h"
#include "cuminswitch/Net/loop_timer.h"
#include "cuminswitch/Protocol/core_event.h"
#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/outcome.h"
#include "cuminswitch/Support/time.h"

struct event_base;

namespace cuminswitch {

class edge_protocol;
class forwarded_request;
class upstream_pool;

/// A daemon that a request may be forwarded to.
struct forward_target {
  std::string name;
  endpoint caller_address;
};

/// How a forwarded request ended for its caller.
struct forward_result {
  outcome result = outcome::kUnknown;
  /// HTTP status; 0 if the caller's connection was closed instead.
  uint32_t status = 0;
  std::string_view reason;
};

/// Receives the end of a forwarded request, which may not be destroyed within
/// the call, only from the event loop.
class forward_owner {
 public:
  virtual ~forward_owner() = default;
  virtual void OnForwardEnd(const forwarded_request& request,
                            const forward_result& end) = 0;
};

/// Sends a request to a peer, which routes it, and relays the peer's response
/// unchanged. A peer that is not reached, or that refuses the request without
/// running it, is followed by the next one.
class forwarded_request : private caller_listener, private upstream_handler {
 public:
  struct options {
    request_id id = 0;
    caller_exchange* exchange = nullptr;
    /// The caller's identifier of this attempt.
    std::string attempt;
    std::string route;
    /// The service that the request is routed to.
    std::string service;
    time_point arrived{};
    /// When the request times out.
    time_point deadline{};
    /// Peers in the order in which they are tried; not empty.
    std::vector<forward_target> peers;
  };
  struct parts {
    event_base* base;
    upstream_pool& pool;
    const edge_protocol& protocol;
    forward_owner& owner;
  };

  forwarded_request(options opts, const parts& with);
  ~forwarded_request() override;

  void Start();
  /// Responds to the caller that this daemon stops, unless a response has
  /// begun.
  void EndForStop();

  request_id id() const { return options_.id; }
  const std::string& attempt() const { return options_.attempt; }
  const std::string& route() const { return options_.route; }
  time_point arrived() const { return options_.arrived; }
  /// The peer that was tried last.
  const std::string& peer() const { return peer_; }
  size_t peers_tried() const { return peers_tried_; }
  /// Whether the caller was sent a part of the response.
  bool has_response_begun() const { return is_head_sent_; }

 private:
  void OnCallerDisconnected() override;
  void OnCallerDrained() override;
  void OnResponseHead(const message_head& head) override;
  void OnResponseBody(std::string_view data) override;
  void OnCallEnd(upstream_call_result end) override;

  void SendToNext();
  bool HasNext() const { return peers_tried_ < options_.peers.size(); }
  void OnDeadline();
  void Refuse();
  /// Reports that the outcome is unknown, by \p status or, if a part of the
  /// response was sent, by closing the caller's connection.
  void ReportUnknown(uint32_t status, std::string_view reason);
  void End(const forward_result& end);

  options options_;
  parts with_;
  loop_timer timer_;
  std::unique_ptr<upstream_call> call_;
  std::string peer_;
  size_t peers_tried_ = 0;
  /// How the request ends if the response that has begun is complete.
  forward_result result_;
  /// The response is dropped, and the next peer is tried after it.
  bool is_skipped_ = false;
  bool is_head_sent_ = false;
  bool is_paused_ = false;
  bool has_ended_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_FORWARDED_REQUEST_H_
