#include "cuminswitch/Support/hash.h"

#include <xxhash.h>

namespace cuminswitch {

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

hash128 Hash128(std::string_view data, uint64_t seed) {
  const XXH128_hash_t value =
      XXH3_128bits_withSeed(data.data(), data.size(), seed);
  return {.high = value.high64, .low = value.low64};
}

}  // namespace cuminswitch
