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

/// A request's or an answer's first line and header fields, and how its body
/// is delimited.
struct message_head {
  /// Of a request.
  std::string method;
  std::string target;
  /// Of an answer.
  uint32_t status = 0;

  http_headers headers;
  std::optional<uint64_t> content_length;
  bool is_chunked = false;
  /// An answer without length: its body ends with the connection.
  bool ends_with_connection = false;
  /// Whether the sender will keep the connection open.
  bool keep_alive = false;

  /// Returns the value of the field \p name, in any case of its letters, or an
  /// empty text.
  std::string_view Find(std::string_view name) const;
  bool Has(std::string_view name) const;
};

/// Compares field names: letters without case.
bool IsSameFieldName(std::string_view a, std::string_view b);

/// Whether the field concerns one connection only and is never forwarded.
/// \p head may name further such fields in `Connection`.
bool IsConnectionField(const message_head& head, std::string_view name);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_HTTP1_MESSAGE_HEAD_H_
