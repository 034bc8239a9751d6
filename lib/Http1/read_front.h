/// \file
/// Passes received bytes to a message reader.
#ifndef CUMINSWITCH_LIB_HTTP1_READ_FRONT_H_
#define CUMINSWITCH_LIB_HTTP1_READ_FRONT_H_

#include <event2/buffer.h>

#include "cuminswitch/Http1/message_reader.h"

namespace cuminswitch {

/// Parses the first contiguous segment of \p input, which must not be empty,
/// without copying it, and removes the consumed bytes.
inline read_result ReadFront(message_reader& reader, evbuffer* input) {
  evbuffer_iovec part{};
  evbuffer_peek(input, -1, nullptr, &part, 1);
  size_t consumed = 0;
  const read_result result = reader.Read(
      {static_cast<const char*>(part.iov_base), part.iov_len}, consumed);
  evbuffer_drain(input, consumed);
  return result;
}

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_HTTP1_READ_FRONT_H_
