/// \file
/// One request to an HTTP server and its reply.
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

/// Outlives the connection: once the caller is gone, replies go nowhere.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
 public:
  explicit http_exchange(evhtp_request* request) : request_(request) {}

  /// The request.
  std::string_view Method() const { return method_; }
  std::string_view Path() const { return path_; }
  std::string_view Query() const { return query_; }
  std::string_view Body() const { return body_; }
  /// Returns a header's value, or an empty text.
  std::string Header(std::string_view name) const;
  /// Returns a query parameter's value, decoded, or an empty text.
  std::string Parameter(std::string_view name) const;

  /// Sends the whole reply.
  void Reply(uint32_t status,
             std::string_view content_type,
             std::string_view body,
             const http_headers& headers = {});
  /// Sends the reply in chunks.
  void BeginStream(uint32_t status,
                   std::string_view content_type,
                   const http_headers& headers = {});
  void SendChunk(std::string_view data);
  void EndStream();
  /// Closes the connection without a proper end, so that the caller sees that
  /// the reply is not whole. It happens from the loop.
  void Abort();

  bool HasBegun() const { return has_begun_; }
  bool IsClosed() const { return request_ == nullptr; }
  /// Bytes that the caller has not taken yet.
  size_t PendingBytes() const;
  /// Called when the caller is gone before the reply's end.
  void SetOnClosed(std::function<void()> callback);
  /// Called when all pending bytes were taken.
  void SetOnDrained(std::function<void()> callback);

 private:
  friend class http_server;

  void AddHeaders(std::string_view content_type, const http_headers& headers);
  /// Reads the request out of the library's structures.
  void Load();
  void OnRequestFinished();

  evhtp_request* request_;
  std::string method_;
  std::string path_;
  std::string query_;
  std::string body_;
  size_t header_bytes_ = 0;
  size_t body_bytes_ = 0;
  /// A status that replaces the handler, for a request over a limit.
  uint32_t rejected_ = 0;
  bool has_begun_ = false;
  bool has_ended_ = false;
  std::function<void()> on_closed_;
  std::function<void()> on_drained_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_HTTP_EXCHANGE_H_
