/// \file
/// One HTTP call in progress.
#ifndef CUMINSWITCH_NET_HTTP_CALL_H_
#define CUMINSWITCH_NET_HTTP_CALL_H_

#include "cuminswitch/Net/http_client.h"
#include "cuminswitch/Net/loop_timer.h"

struct evhttp_request;

namespace cuminswitch {

/// A call of `http_client`; destroying it cancels the call.
class http_call {
 public:
  http_call(http_client& client,
            const http_call_options& opts,
            http_call_handler& handler);
  http_call(const http_call&) = delete;
  http_call& operator=(const http_call&) = delete;
  ~http_call();

  /// Pauses and resumes reading, to bound the bytes that are buffered.
  void PauseReading();
  void ResumeReading();

 private:
  void Send(const http_call_options& opts);
  void OnHeaderEvent(evhttp_request* request);
  void OnChunkEvent(evhttp_request* request);
  void OnConnectTimer();
  void OnTotalTimeout();
  /// Ends the call by closing its connection.
  void Cancel(http_result result);
  void Finish(http_result result);
  bool IsConnected() const;

  http_client& client_;
  http_call_handler& handler_;
  endpoint to_;
  bool fresh_ = false;
  bool failed_after_connect_ = false;
  bool is_too_large_ = false;
  bool ended_ = false;
  bool close_announced_ = false;
  evhttp_connection* connection_ = nullptr;
  evhttp_request* request_ = nullptr;
  loop_timer connect_timer_;
  loop_timer total_timer_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_HTTP_CALL_H_
