/// \file
/// Relays one request to its upstreams and the response to its caller.
#ifndef CUMINSWITCH_DAEMON_REQUEST_RELAY_H_
#define CUMINSWITCH_DAEMON_REQUEST_RELAY_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "cuminswitch/Daemon/response_reader.h"
#include "cuminswitch/Net/http_client.h"
#include "cuminswitch/Protocol/core_action.h"
#include "cuminswitch/Protocol/core_event.h"

namespace cuminswitch {

class http_exchange;
class request_relay;

/// Receives the events of a relayed request.
class relay_observer {
 public:
  virtual ~relay_observer() = default;
  virtual void OnRelayEvent(core_event event) = 0;
  virtual void OnFirstToken(const request_relay& relay) = 0;
  virtual void OnTokenGap(const request_relay& relay, double seconds) = 0;
  /// The response is complete; \p relay may be destroyed in this call.
  virtual void OnRelayDone(request_relay& relay, outcome result) = 0;
};

/// Owned by the gateway until the request ends. It runs one attempt at a time:
/// a new dispatch cancels the previous attempt's call.
class request_relay : private http_call_handler {
 public:
  struct options {
    request_id request = 0;
    std::string workspace;
    std::shared_ptr<http_exchange> caller;
    http_method method = http_method::kPost;
    std::string path;
    std::string body;
    http_headers headers;
    /// Whether the response is recorded, to be sent again to a repeated request
    /// with the same idempotency key.
    bool record_response = false;
    std::chrono::milliseconds connect_timeout{1000};
    std::chrono::milliseconds idle_timeout{60'000};
    std::chrono::steady_clock::time_point arrived;
  };

  request_relay(options opts, relay_observer& observer);
  ~request_relay() override;

  void Dispatch(const dispatch_attempt& action, http_client& client);
  /// Sends the caller a response that the daemon made or recorded itself.
  void SendLocalResponse(const local_response& action);
  /// The caller closed its connection; the attempt continues until the core
  /// cancels it.
  void OnCallerDisconnected();

  request_id request() const { return options_.request; }
  attempt_id attempt() const { return attempt_; }
  const std::string& workspace() const { return options_.workspace; }
  std::chrono::steady_clock::time_point arrived() const {
    return options_.arrived;
  }

 private:
  void OnHeaders(const http_response_head& head) override;
  void OnData(std::string_view data) override;
  void OnEnd(http_result result) override;

  void RelayStreamData(std::string_view data);
  void RecordData(std::string_view data);
  void EndStream(http_result result);
  void EndBuffered(http_result result);
  /// Reports the attempt's outcome to the core.
  void ReportEnd(attempt_ended event);
  attempt_ended MakeAnswered() const;
  bool IsStream() const { return is_stream_; }
  void SendErrorEvent(const local_response& action);

  options options_;
  relay_observer& observer_;
  attempt_id attempt_ = 0;
  std::unique_ptr<http_call> call_;
  // State of the current attempt.
  uint32_t status_ = 0;
  std::string content_type_;
  bool is_stream_ = false;
  bool saw_data_ = false;
  std::string buffered_body_;
  bool body_too_long_ = false;
  response_reader reader_;
  std::string recorded_body_;
  bool is_record_complete_ = true;
  std::chrono::steady_clock::time_point last_data_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_REQUEST_RELAY_H_
