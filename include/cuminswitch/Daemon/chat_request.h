/// \file
/// Reads what routing needs from a chat completion request.
#ifndef CUMINSWITCH_DAEMON_CHAT_REQUEST_H_
#define CUMINSWITCH_DAEMON_CHAT_REQUEST_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Protocol/core_event.h"

namespace cuminswitch {

/// Thrown when a body is not a chat completion request; says why.
class chat_request_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The parts of a request that decide where it goes. The body itself is
/// passed on unchanged.
struct chat_request {
  std::string model;
  bool stream = false;
  /// One level per message: preamble, contract, order.
  std::vector<prefix_level> levels;
  /// Estimated from the length of the text.
  uint32_t prompt_tokens = 0;
};

/// Bytes of text per token, on average.
inline constexpr uint32_t kBytesPerToken = 4;

/// Reads \p body; throws `chat_request_error`.
chat_request ParseChatRequest(std::string_view body);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_CHAT_REQUEST_H_
