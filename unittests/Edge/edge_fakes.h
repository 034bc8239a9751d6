/// \file
/// A caller's exchange and a protocol for tests of requests.
#ifndef CUMINSWITCH_UNITTESTS_EDGE_EDGE_FAKES_H_
#define CUMINSWITCH_UNITTESTS_EDGE_EDGE_FAKES_H_

#include <string>

#include "cuminswitch/Edge/edge_protocol.h"
#include "cuminswitch/Http1/caller_exchange.h"

namespace cuminswitch {

/// Records the response.
class fake_exchange : public caller_exchange {
 public:
  const message_head& Head() const override { return head; }
  const std::string& Body() const override { return body; }
  void SetListener(caller_listener* value) override { listener = value; }
  void SendHead(uint32_t value,
                const http_headers& /*headers*/,
                const response_framing& /*framing*/) override {
    status = value;
  }
  void SendBody(std::string_view data) override { sent += data; }
  void Finish() override { finished = true; }
  void Abort() override { aborted = true; }
  size_t PendingBytes() const override { return pending; }

  caller_listener* listener = nullptr;
  message_head head;
  std::string body;
  uint32_t status = 0;
  std::string sent;
  /// What waits for the caller to read.
  size_t pending = 0;
  bool finished = false;
  bool aborted = false;
};

/// A protocol whose responses all have the same attributes, by default signed.
class fixed_protocol : public edge_protocol {
 public:
  caller_request ReadRequest(const message_head& /*head*/) const override {
    return {};
  }
  http_headers WriteRequest(
      const message_head& /*head*/,
      const dispatch_attributes& attributes) const override {
    last_time_left = attributes.time_left;
    last_reservation = attributes.reservation;
    return {{.name = "Host", .value = "h"}};
  }
  response_attributes ReadResponse(
      const message_head& /*head*/) const override {
    return response;
  }
  reservation_call WriteReservation(const std::string& /*upstream*/,
                                    uint32_t /*tokens*/,
                                    duration /*time*/) const override {
    return {.target = "/reserve"};
  }
  std::string ReadReservation(std::string_view body) const override {
    return std::string(body);
  }
  std::string ProbeTarget() const override { return "/"; }
  http_headers WriteProbe(const std::string& upstream) const override {
    return {{.name = "Expect", .value = upstream}};
  }
  http_headers WriteForwarded(const message_head& /*head*/,
                              duration /*time_left*/) const override {
    return {};
  }
  response_attributes response{.is_signed = true};
  /// The time that the last request's upstream was given.
  mutable duration last_time_left{0};
  mutable std::string last_reservation;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UNITTESTS_EDGE_EDGE_FAKES_H_
