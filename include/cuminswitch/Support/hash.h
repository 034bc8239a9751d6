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

/// Returns the 64-bit hash of \p data for \p seed.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

/// Returns the 128-bit hash of \p data for \p seed.
hash128 Hash128(std::string_view data, uint64_t seed = 0);

/// Returns \p value as 32 hexadecimal digits.
std::string ToHex(const hash128& value);

/// Parses the output of `ToHex`; returns nothing for other text.
std::optional<hash128> ParseHash128(std::string_view text);

/// Combines two hashes; the result depends on their order. The constants are
/// those of splitmix64.
constexpr uint64_t CombineHash(uint64_t a, uint64_t b) {
  uint64_t x = (a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6) + (a >> 2)));
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

/// The hasher for unordered containers with `hash128` keys.
struct hash128_hasher {
  size_t operator()(const hash128& value) const {
    return static_cast<size_t>(value.low ^ value.high);
  }
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_SUPPORT_HASH_H_
