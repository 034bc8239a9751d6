/// \file
/// Non-cryptographic hashing, backed by xxHash.
#ifndef CUMINSWITCH_SUPPORT_HASH_H_
#define CUMINSWITCH_SUPPORT_HASH_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cuminswitch {

/// A 128-bit hash value.
struct hash128 {
  uint64_t high = 0;
  uint64_t low = 0;
  friend auto operator<=>(const hash128&, const hash128&) = default;
};

/// Hashes \p data under \p seed.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

/// Hashes \p data under \p seed to 128 bits.
hash128 Hash128(std::string_view data, uint64_t seed = 0);

/// Returns \p value as 32 hexadecimal digits.
std::string ToHex(const hash128& value);

/// Reads what `ToHex` wrote; nothing for other text.
std::optional<hash128> ParseHash128(std::string_view text);

/// Mixes two hashes; order matters.
constexpr uint64_t CombineHash(uint64_t a, uint64_t b) {
  uint64_t x = (a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6) + (a >> 2)));
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

/// Lets a `hash128` key an unordered container.
struct hash128_hasher {
  size_t operator()(const hash128& value) const {
    return static_cast<size_t>(value.low ^ value.high);
  }
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_SUPPORT_HASH_H_
