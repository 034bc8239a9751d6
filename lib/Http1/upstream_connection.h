/// \file
/// A connection to an upstream.
#ifndef CUMINSWITCH_LIB_HTTP1_UPSTREAM_CONNECTION_H_
#define CUMINSWITCH_LIB_HTTP1_UPSTREAM_CONNECTION_H_

#include <chrono>
#include <memory>
#include <optional>

#include "cuminswitch/Http1/message_reader.h"
#include "cuminswitch/Http1/upstream_call.h"
#include "cuminswitch/Net/loop_timer.h"

struct bufferevent;

namespace cuminswitch {

class counted_stream;
class pooled_call;
class upstream_pool;

/// Sends one request at a time and reads its response.
class upstream_connection : private message_sink {
 public:
  upstream_connection(upstream_pool& pool, const endpoint& to);
  upstream_connection(const upstream_connection&) = delete;
  upstream_connection& operator=(const upstream_connection&) = delete;
  ~upstream_connection() override;

  /// Begins a call. Its events go to \p call until it ends or `Cancel`.
  void Send(const upstream_request& request, pooled_call& call);
  /// Cancels the current call. Closing the connection afterwards resets it, so
  /// that unsent bytes are dropped.
  void Cancel();
  void SetReading(bool on);

  const endpoint& to() const { return to_; }
  bool HasServed() const { return served_ > 0; }
  std::chrono::milliseconds IdleFor() const;
  /// Whether the connection can carry another request.
  bool IsReusable() const { return is_reusable_; }

 private:
  void OnHead(message_head head) override;
  void OnBody(std::string_view data) override;

  void Connect(std::chrono::milliseconds timeout);
  void OnReadable();
  void OnEvent(short what);
  void OnTimeout();
  void End(upstream_call_result result, call_end_cause cause);
  void BecomeIdle();
  bool HasUnsentBytes() const;
  /// Sets `TCP_USER_TIMEOUT`.
  void LimitKernelWait(std::chrono::milliseconds limit);
  /// Checks while a large request is sent whether its upstream's host is lost.
  void CheckHost();
  /// Ends a call whose upstream has closed its side once all bytes of the
  /// request are acknowledged, of which \p unacknowledged are left, or the
  /// connection was reset. Returns whether it has ended.
  bool EndIfSettled(size_t unacknowledged);
  /// Ends a call whose upstream has closed its side in an orderly way.
  void EndAtClose();
  /// Returns why the connection counts as lost after \p silence, if it does.
  std::optional<call_end_cause> FindLoss(
      std::chrono::steady_clock::duration silence);
  /// Bytes of the request that the upstream's host has not acknowledged.
  size_t UnacknowledgedBytes() const;
  void ResetOnClose();

  upstream_pool& pool_;
  endpoint to_;
  bufferevent* stream_ = nullptr;
  std::unique_ptr<counted_stream> counted_;
  message_reader reader_;
  loop_timer timer_;
  loop_timer host_timer_;
  pooled_call* call_ = nullptr;
  bool is_connected_ = false;
  bool is_reusable_ = false;
  bool is_head_request_ = false;
  /// Whose response is being read.
  response_owner owner_ = response_owner::kThisCall;
  bool close_announced_ = false;
  /// The response has neither a length nor chunks.
  bool ends_with_connection_ = false;
  /// The upstream has closed its side before it has taken the whole request.
  bool has_upstream_closed_ = false;
  uint32_t served_ = 0;
  std::chrono::seconds keep_alive_time_{0};
  std::chrono::steady_clock::time_point idle_since_;
  std::chrono::milliseconds kernel_wait_{0};
  /// Unacknowledged bytes, and when they became fewer.
  size_t unacknowledged_ = 0;
  std::chrono::steady_clock::time_point progressed_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_HTTP1_UPSTREAM_CONNECTION_H_
