#include "cuminswitch/Fleet/packed_bytes.h"

#include <zlib.h>

namespace cuminswitch {

/// No more comes out of one byte (zlib's format); a greater claim would only
/// make a host with little memory reserve it.
static constexpr size_t kLargestRatio = 1'032;

std::vector<uint8_t> PackBytes(std::span<const uint8_t> bytes) {
  uLongf size = compressBound(bytes.size());
  std::vector<uint8_t> packed(size);
  // The fastest level: hosts have a small part of a core, and items are so
  // alike that the others save little more.
  const int end =
      compress2(packed.data(), &size, bytes.data(), bytes.size(), Z_BEST_SPEED);
  packed.resize(end == Z_OK ? size : 0);
  return packed;
}

std::optional<std::vector<uint8_t>> UnpackBytes(std::span<const uint8_t> packed,
                                                size_t size) {
  if (size > kMaxUnpackedSize || size > packed.size() * kLargestRatio) {
    return std::nullopt;
  }
  std::vector<uint8_t> bytes(size);
  uLongf unpacked = size;
  const int end =
      uncompress(bytes.data(), &unpacked, packed.data(), packed.size());
  if (end != Z_OK || unpacked != size) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace cuminswitch
