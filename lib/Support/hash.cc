#include "cuminswitch/Support/hash.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace cuminswitch {

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

hash128 Hash128(std::string_view data, uint64_t seed) {
  const XXH128_hash_t value =
      XXH3_128bits_withSeed(data.data(), data.size(), seed);
  return {.high = value.high64, .low = value.low64};
}

std::string ToHex(const hash128& value) {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64,
                value.high, value.low);
  return text.data();
}

std::optional<hash128> ParseHash128(std::string_view text) {
  static constexpr size_t kDigits = 16;
  static constexpr int kBase = 16;
  hash128 value;
  if (text.size() != 2 * kDigits) {
    return std::nullopt;
  }
  const char* const middle = text.data() + kDigits;
  const auto high = std::from_chars(text.data(), middle, value.high, kBase);
  const auto low = std::from_chars(middle, middle + kDigits, value.low, kBase);
  if (high.ptr != middle || low.ptr != middle + kDigits) {
    return std::nullopt;
  }
  return value;
}

}  // namespace cuminswitch
