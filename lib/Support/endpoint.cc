#include "cuminswitch/Support/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace cuminswitch {

std::optional<endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  endpoint result{.address = std::string(text.substr(0, colon))};
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), result.port);
  if (error != std::errc() || end != port.data() + port.size()) {
    return std::nullopt;
  }
  if (in_addr parsed;
      inet_pton(AF_INET, result.address.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  return result;
}

}  // namespace cuminswitch
