/// \file
/// The heads of requests and answers in the project's terms.
#ifndef CUMINSWITCH_EDGE_EDGE_PROTOCOL_H_
#define CUMINSWITCH_EDGE_EDGE_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Http1/message_head.h"
#include "cuminswitch/Protocol/upstream_notice.h"
#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// A part of a prompt; requests that share their first parts share what an
/// engine computed for them.
struct prompt_part {
  std::string id;
  uint32_t tokens = 0;
};

/// What a caller's head says.
struct caller_request {
  /// The caller's name for this attempt of its own.
  std::string attempt;
  std::string host;
  std::string path;
  std::string credential;
  /// How long the caller will wait; nothing when it does not say.
  std::optional<duration> max_wait;
  std::string model;
  std::vector<prompt_part> parts;
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
};

/// What the daemon tells an upstream along with a request.
struct dispatch_attributes {
  /// The start of the upstream that the request is meant for.
  std::string upstream;
  /// Empty where the route needs no credential.
  std::string workspace;
  duration time_left{0};
  /// 0 is the most urgent.
  uint32_t rank = 0;
  /// Keeps caches apart that must not meet; nothing for a plain service.
  std::optional<uint64_t> cache_scope;
  /// An engine to copy cached prefixes from.
  std::optional<endpoint> cache_source;
  /// Where to save computed prefixes.
  std::optional<endpoint> cache_sink;
  /// The weights that the upstream must have; empty for any.
  std::string weights_version;
  /// Continue a stream after this event.
  std::optional<std::string> last_event;
};

/// The load that an upstream tells with an answer.
struct reported_load {
  uint32_t running = 0;
  uint32_t waiting = 0;
};

/// What an upstream's head says.
struct response_attributes {
  /// The attempt that it answers; empty where it does not say.
  std::string attempt;
  /// The upstream states that it did not run the request.
  bool was_not_run = false;
  /// It is not the upstream that was meant, or has other weights.
  bool is_mismatch = false;
  /// An upstream made this answer.
  bool is_signed = false;
  std::optional<reported_load> load;
  /// The rate that the upstream takes, where it is in need.
  limit_notice limit;
  backoff_notice backoff;
  /// The upstream leaves: it is to get nothing new.
  bool is_leaving = false;
};

/// Translates heads. One object serves all requests.
class edge_protocol {
 public:
  virtual ~edge_protocol() = default;
  virtual caller_request ReadRequest(const message_head& head) const = 0;
  virtual http_headers WriteRequest(
      const message_head& head,
      const dispatch_attributes& attributes) const = 0;
  virtual response_attributes ReadAnswer(const message_head& head) const = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_EDGE_PROTOCOL_H_
