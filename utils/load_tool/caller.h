/// \file
/// One caller of the load tool: sends one request and checks the response.
#ifndef CUMINSWITCH_UTILS_LOAD_TOOL_CALLER_H_
#define CUMINSWITCH_UTILS_LOAD_TOOL_CALLER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "cuminswitch/Daemon/response_reader.h"
#include "cuminswitch/Net/http_client.h"
#include "load_tool/workload.h"

namespace cuminswitch {

/// Result of one request.
struct call_result {
  const trace_request* request = nullptr;
  uint32_t status = 0;
  std::string outcome;
  /// Seconds from sending to the first byte of a 200 response; negative when
  /// there was none.
  double first_token = -1;
  /// Seconds from sending to the end of the response.
  double total_time = -1;
  token_usage usage;
  /// The stream ended without its terminal event and without an error event.
  bool truncated = false;
  /// A token was missing, out of order, or belonged to another request.
  bool crossed = false;
  /// The response had a Retry-After header.
  bool retry_after = false;
};

class caller : private http_call_handler {
 public:
  using clock = std::chrono::steady_clock;
  using callback = std::function<void(caller&, const call_result&)>;

  struct options {
    const trace_request* request = nullptr;
    endpoint address;
    std::string model;
    std::string service;
    /// Idempotency key of an at-most-once request.
    std::string key;
  };

  caller(const options& opts, http_client& client, callback on_done);
  ~caller() override;

 private:
  void OnHeaders(const http_response_head& head) override;
  void OnData(std::string_view data) override;
  void OnEnd(http_result end) override;
  void CheckTokens();

  callback on_done_;
  call_result result_;
  clock::time_point sent_;
  response_reader reader_;
  std::string body_;
  std::string digest_;
  std::unique_ptr<http_call> call_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UTILS_LOAD_TOOL_CALLER_H_
