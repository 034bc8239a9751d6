/// \file
/// HTTP header fields.
#ifndef CUMINSWITCH_NET_HTTP_HEADER_H_
#define CUMINSWITCH_NET_HTTP_HEADER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cuminswitch {

struct http_header {
  std::string name;
  std::string value;
};

using http_headers = std::vector<http_header>;

/// The status and header fields of a response.
struct http_response_head {
  uint32_t status = 0;
  http_headers headers;

  /// Returns the value of the field \p name, compared without case, or an empty
  /// string.
  std::string_view Find(std::string_view name) const;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_HTTP_HEADER_H_
