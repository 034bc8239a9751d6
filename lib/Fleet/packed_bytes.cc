#include "cuminswitch/Fleet/packed_bytes.h"

#include <zlib.h>

namespace cuminswitch {

/// Upper bound of the compression ratio in zlib's format. A claimed size beyond
/// it is false, and is refused before memory is reserved for it.
static constexpr size_t kMaxCompressionRatio = 1'032;

std::vector<uint8_t> PackBytes(std::span<const uint8_t> bytes) {
  uLongf size = compressBound(bytes.size());
  std::vector<uint8_t> packed(size);
  // The fastest level: hosts have only a fraction of a core, and items are so
  // alike that the other levels save little more.
  const int status =
      compress2(packed.data(), &size, bytes.data(), bytes.size(), Z_BEST_SPEED);
  packed.resize(status == Z_OK ? size : 0);
  return packed;
}

std::optional<std::vector<uint8_t>> UnpackBytes(std::span<const uint8_t> packed,
                                                size_t size) {
  if (size > kMaxUnpackedSize || size > packed.size() * kMaxCompressionRatio) {
    return std::nullopt;
  }
  std::vector<uint8_t> bytes(size);
  uLongf unpacked = size;
  const int status =
      uncompress(bytes.data(), &unpacked, packed.data(), packed.size());
  if (status != Z_OK || unpacked != size) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace cuminswitch
