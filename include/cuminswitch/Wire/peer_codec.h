/// \file
/// Encodes messages between daemons as frames, and decodes them.
#ifndef CUMINSWITCH_WIRE_PEER_CODEC_H_
#define CUMINSWITCH_WIRE_PEER_CODEC_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "cuminswitch/Protocol/peer_message.h"

namespace cuminswitch {

/// Size in bytes of the big-endian length that precedes each frame on a
/// connection.
inline constexpr size_t kFrameHeaderSize = 4;
/// Maximum frame size in bytes. A longer frame is rejected and its connection
/// closed.
inline constexpr size_t kMaxFrameSize = 64UL << 20;

/// Encodes \p message as a frame without the length prefix.
std::string EncodePeerMessage(const peer_message& message,
                              std::string_view credential);

/// Decodes a frame. Throws `frame_error` when the bytes are not a frame or
/// \p credential is not the one in it.
peer_message DecodePeerMessage(std::span<const uint8_t> frame,
                               std::string_view credential);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_WIRE_PEER_CODEC_H_
