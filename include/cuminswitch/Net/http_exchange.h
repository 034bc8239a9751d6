/// \file
/// One request to an HTTP server and its response.
#ifndef CUMINSWITCH_NET_HTTP_EXCHANGE_H_
#define CUMINSWITCH_NET_HTTP_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cuminswitch/Net/http_header.h"

struct evhtp_request;

namespace cuminswitch {

/// Holds one request and sends its response. May outlive the connection: after
/// the caller has disconnected, responses are discarded.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
 public:
  explicit http_exchange(evhtp_request* request) : request_(request) {}

  // The request.
  std::string_view Method() const { return method_; }
  std::string_view Path() const { return path_; }
  std::string_view Query() const { return query_; }
  std::string_view Body() const { return body_; }
  /// Returns a header field's value, or an empty string.
  std::string Header(std::string_view name) const;
  /// Returns a query parameter's decoded value, or an empty string.
  std::string Parameter(std::string_view name) const;

  /// Sends a complete response.
  void Reply(uint32_t status,
             std::string_view content_type,
             std::string_view body,
             const http_headers& headers = {});
  /// Begins a response that is sent in chunks.
  void BeginStream(uint32_t status,
                   std::string_view content_type,
                   const http_headers& headers = {});
  /// Begins a response that has neither a length nor chunks and ends with its
  /// connection. `SendChunk` sends its bytes as they are.
  void BeginUnframed(uint32_t status,
                     std::string_view content_type,
                     const http_headers& headers = {});
  void SendChunk(std::string_view data);
  void EndStream();
  /// Closes the connection without ending the response, so that the caller sees
  /// that it is incomplete. The event loop closes it after this call.
  void Abort();

  bool HasBegun() const { return has_begun_; }
  bool IsClosed() const { return request_ == nullptr; }
  /// Whether the caller has closed its connection, also if the event loop has
  /// not read its end yet.
  bool HasCallerClosed() const;
  /// Bytes buffered and not yet written to the caller's socket.
  size_t PendingBytes() const;
  /// Sets the function that is called when the connection closes before the
  /// response has ended.
  void SetOnClosed(std::function<void()> callback);
  /// Sets the function that is called when all pending bytes were written.
  void SetOnDrained(std::function<void()> callback);

 private:
  friend class http_server;

  void AddHeaders(std::string_view content_type, const http_headers& headers);
  /// Copies the request from libevhtp's structures.
  void Load();
  void OnRequestFinished();
  /// Closes the connection when all pending bytes were written.
  void AbortWhenDrained();

  evhtp_request* request_;
  std::string method_;
  std::string path_;
  std::string query_;
  std::string body_;
  size_t header_bytes_ = 0;
  size_t body_bytes_ = 0;
  /// Status to respond with, without calling the handler, if the request
  /// exceeds a limit; otherwise 0.
  uint32_t rejected_ = 0;
  bool has_begun_ = false;
  bool has_ended_ = false;
  bool is_unframed_ = false;
  std::function<void()> on_closed_;
  std::function<void()> on_drained_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_HTTP_EXCHANGE_H_
