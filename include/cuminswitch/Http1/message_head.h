/// \file
/// The head of an HTTP/1.1 message.
#ifndef CUMINSWITCH_HTTP1_MESSAGE_HEAD_H_
#define CUMINSWITCH_HTTP1_MESSAGE_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cuminswitch/Net/http_header.h"

namespace cuminswitch {

/// The start line and header fields of a request or response, and how its body
/// is delimited.
struct message_head {
  // Requests only.
  std::string method;
  std::string target;
  /// Responses only.
  uint32_t status = 0;

  http_headers headers;
  std::optional<uint64_t> content_length;
  bool is_chunked = false;
  /// A response without a length: its body ends with the connection.
  bool ends_with_connection = false;
  /// Whether the sender will keep the connection open.
  bool keep_alive = false;

  /// Returns the value of the field \p name, compared without case, or an empty
  /// string.
  std::string_view Find(std::string_view name) const;
  bool Has(std::string_view name) const;
};

/// Returns the name in the log of how the body of the response \p head is
/// delimited: `length`, `chunked`, `connection` (by its end) or `none`.
std::string_view FramingName(const message_head& head);

/// Compares field names without case.
bool IsSameFieldName(std::string_view a, std::string_view b);

/// Whether \p name is a hop-by-hop field, which is never forwarded: one of the
/// standard ones or one that \p head lists in `Connection`.
bool IsConnectionField(const message_head& head, std::string_view name);

/// Returns the fields of \p head that are forwarded.
http_headers EndToEndHeaders(const message_head& head);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_HTTP1_MESSAGE_HEAD_H_
