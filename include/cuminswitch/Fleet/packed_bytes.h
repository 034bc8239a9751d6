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

/// Unpacked bytes taken at most. The list of a fleet of 3,000 upstreams is
/// about a megabyte; a frame that claims 32 times that is damaged.
inline constexpr size_t kMaxUnpackedSize = size_t{32} << 20;

/// Returns \p bytes compressed. Lists of items repeat the same names in each
/// item, and shrink to a fifth or less.
std::vector<uint8_t> PackBytes(std::span<const uint8_t> bytes);

/// Returns what `PackBytes` was given, of \p size bytes; nothing where the
/// bytes are damaged, or \p size is not theirs or over `kMaxUnpackedSize`.
std::optional<std::vector<uint8_t>> UnpackBytes(std::span<const uint8_t> packed,
                                                size_t size);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_PACKED_BYTES_H_
