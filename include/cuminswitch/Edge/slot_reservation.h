/// \file
/// Reserves capacity at an upstream.
#ifndef CUMINSWITCH_EDGE_SLOT_RESERVATION_H_
#define CUMINSWITCH_EDGE_SLOT_RESERVATION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cuminswitch/Edge/edge_protocol.h"
#include "cuminswitch/Http1/upstream_call.h"
#include "cuminswitch/Net/loop_timer.h"

struct event_base;

namespace cuminswitch {

class upstream_pool;

/// How a reservation ended.
struct reservation_result {
  /// The identifier of the reservation; empty if none was granted.
  std::string id;
  /// Status of the response; 0 if there was none.
  uint32_t status = 0;
  /// No connection to the upstream could be established.
  bool is_unreachable = false;
  /// It did not respond in time.
  bool is_silent = false;
};

/// A request for a reservation. Destroying it cancels it; what the upstream has
/// granted by then expires.
class slot_reservation : private upstream_handler {
 public:
  struct options {
    endpoint to;
    reservation_call call;
  };
  /// The reservation must not be destroyed within the call.
  using end_handler = std::function<void(const reservation_result& result)>;

  slot_reservation(const options& opts,
                   event_base* base,
                   upstream_pool& pool,
                   const edge_protocol& protocol,
                   end_handler on_end);
  ~slot_reservation() override;

 private:
  response_owner OwnerOf(const message_head& head) const override;
  void OnResponseHead(const message_head& head) override;
  void OnResponseBody(std::string_view data) override;
  void OnCallEnd(upstream_call_result end) override;
  void End(const reservation_result& result);

  const edge_protocol& protocol_;
  end_handler on_end_;
  loop_timer timer_;
  uint32_t status_ = 0;
  std::string body_;
  std::unique_ptr<upstream_call> call_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_SLOT_RESERVATION_H_
