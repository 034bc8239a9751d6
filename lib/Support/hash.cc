#include "cuminswitch/Support/hash.h"

#include <xxhash.h>

#include <array>
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

}  // namespace cuminswitch
