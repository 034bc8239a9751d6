#include "cuminswitch/Edge/retry_after.h"

#include <array>
#include <cstdio>

namespace cuminswitch {

http_header RetryAfter(duration wait) {
  std::array<char, 32> text{};
  const int size =
      std::snprintf(text.data(), text.size(), "%.2f", ToSeconds(wait));
  return {.name = "Retry-After",
          .value = {text.data(), static_cast<size_t>(size)}};
}

}  // namespace cuminswitch
