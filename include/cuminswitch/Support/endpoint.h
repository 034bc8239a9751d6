/// \file
/// An IP address and a port.
#ifndef CUMINSWITCH_SUPPORT_ENDPOINT_H_
#define CUMINSWITCH_SUPPORT_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cuminswitch {

/// A numeric IPv4 address and a TCP port. Host names are never resolved.
struct endpoint {
  std::string address;
  uint16_t port = 0;

  std::string ToString() const { return address + ":" + std::to_string(port); }
  friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Parses `a.b.c.d:port`; returns nothing when \p text is not of that form.
std::optional<endpoint> ParseEndpoint(std::string_view text);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_SUPPORT_ENDPOINT_H_
