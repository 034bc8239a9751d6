/// \file
/// Compressed bytes of frames between daemons.
#ifndef CUMINSWITCH_FLEET_PACKED_BYTES_H_
#define CUMINSWITCH_FLEET_PACKED_BYTES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace cuminswitch {

/// Maximum size of unpacked data, in bytes. The list of a fleet of 3,000
/// upstreams is about a megabyte; a frame that claims more than 32 is damaged.
inline constexpr size_t kMaxUnpackedSize = size_t{32} << 20;

/// Returns \p bytes compressed by zlib, or an empty vector where that fails.
/// Lists of items repeat the same names in each item, and shrink to a fifth or
/// less.
std::vector<uint8_t> PackBytes(std::span<const uint8_t> bytes);

/// Returns the data that `PackBytes` compressed to \p packed. Returns
/// `std::nullopt` where \p packed is damaged, or \p size is not the size of the
/// data in bytes or exceeds `kMaxUnpackedSize`.
std::optional<std::vector<uint8_t>> UnpackBytes(std::span<const uint8_t> packed,
                                                size_t size);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_PACKED_BYTES_H_
