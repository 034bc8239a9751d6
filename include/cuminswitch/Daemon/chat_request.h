/// \file
/// Parses the parts of a chat completion request that routing needs.
#ifndef CUMINSWITCH_DAEMON_CHAT_REQUEST_H_
#define CUMINSWITCH_DAEMON_CHAT_REQUEST_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Protocol/core_event.h"

namespace cuminswitch {

/// Thrown when a body is not a valid chat completion request; the message
/// gives the reason.
class chat_request_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The parts of a request that determine its route. The body itself is
/// forwarded unchanged.
struct chat_request {
  std::string model;
  bool stream = false;
  /// One level per message, each hashed together with all messages before it,
  /// so that requests share the levels of their common prefix.
  std::vector<prefix_level> levels;
  /// Estimated from the length of the text.
  uint32_t prompt_tokens = 0;
};

/// Average bytes of text per token.
inline constexpr uint32_t kBytesPerToken = 4;

/// Parses \p body. Throws `chat_request_error`.
chat_request ParseChatRequest(std::string_view body);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_CHAT_REQUEST_H_
