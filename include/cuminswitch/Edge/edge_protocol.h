/// \file
/// Translates between HTTP message heads and the daemon's own structs.
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

/// A part of a prompt. Requests whose prompts begin with the same parts can
/// share an engine's cached computation for them.
struct prompt_part {
  std::string id;
  uint32_t tokens = 0;
};

/// The fields of a caller's request head.
struct caller_request {
  /// The caller's identifier of this attempt; new for each retry by the caller.
  std::string attempt;
  std::string host;
  std::string path;
  std::string credential;
  /// The longest time that the caller will wait, if it states one.
  std::optional<duration> max_wait;
  /// A peer forwarded the request because it reaches no upstream.
  bool is_forwarded = false;
  /// For a stream that the caller resumes: the identifier of the caller's
  /// attempt that brought its first event. Empty otherwise.
  std::string resumed_attempt;
  /// The caller resumes a stream after an event that it names.
  bool has_last_event = false;
  std::string model;
  std::vector<prompt_part> parts;
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
};

/// The fields that the daemon adds to the head of a request to an upstream.
struct dispatch_attributes {
  /// The identifier of the upstream process that the request is intended for.
  std::string upstream;
  /// Empty where the route needs no credential.
  std::string workspace;
  duration time_left{0};
  /// 0 is the most urgent.
  uint32_t rank = 0;
  /// Separates the cached prefixes of isolated workspaces; absent for a plain
  /// service.
  std::optional<uint64_t> cache_scope;
  /// The engine or store to copy cached prefixes from.
  std::optional<endpoint> cache_source;
  /// The store to save computed prefixes to.
  std::optional<endpoint> cache_sink;
  /// The version of the weights that the upstream must have; empty for any.
  std::string weights_version;
  /// The identifier of the event after which to resume a stream.
  std::optional<std::string> last_event;
  /// The reservation that the request uses; empty if it has none.
  std::string reservation;
};

/// The POST that reserves a slot and memory at an upstream.
struct reservation_call {
  std::string target;
  http_headers headers;
  std::string body;
};

/// The load that an upstream reports with a response.
struct reported_load {
  /// Requests; nothing if the upstream's counts cannot be read.
  std::optional<uint32_t> running;
  std::optional<uint32_t> waiting;
  /// Requests that it runs concurrently; 0 if not stated.
  uint32_t slots = 0;
  /// Time that work takes on its machine now, as a percentage of the usual
  /// time; 0 if not stated.
  uint32_t work_percent = 0;
  /// A figure is not a number or out of range, and was ignored.
  bool has_unreadable_figure = false;
};

/// The fields of an upstream's response head.
struct response_attributes {
  /// The attempt that the response belongs to; empty if not stated.
  std::string attempt;
  /// The upstream states that it did not execute the request.
  bool was_not_run = false;
  /// The upstream is not the intended one, or has other weights.
  bool is_mismatch = false;
  /// The response carries an upstream's stamp, so an upstream made it.
  bool is_signed = false;
  std::optional<reported_load> load;
  /// The rate limit that the upstream advertises while it is overloaded.
  limit_notice limit;
  /// The rejections per second that the upstreams of its service survive.
  limit_notice rejection_limit;
  backoff_notice backoff;
  /// The upstream is shutting down and wants no new requests.
  bool is_leaving = false;
};

/// Translates message heads. Stateless: one object serves all requests.
class edge_protocol {
 public:
  virtual ~edge_protocol() = default;
  virtual caller_request ReadRequest(const message_head& head) const = 0;
  virtual http_headers WriteRequest(
      const message_head& head,
      const dispatch_attributes& attributes) const = 0;
  /// Returns the fields of a caller's request for a peer that serves it.
  virtual http_headers WriteForwarded(const message_head& head,
                                      duration time_left) const = 0;
  virtual response_attributes ReadResponse(const message_head& head) const = 0;
  /// Returns the call that reserves a slot and memory for \p tokens at the
  /// upstream called \p upstream for \p time.
  virtual reservation_call WriteReservation(const std::string& upstream,
                                            uint32_t tokens,
                                            duration time) const = 0;
  /// Returns the reservation's identifier from the body of the response; empty
  /// if it has none.
  virtual std::string ReadReservation(std::string_view body) const = 0;
  /// Returns the path of a GET that every upstream responds to at once, without
  /// executing anything.
  virtual std::string ProbeTarget() const = 0;
  /// Returns the fields of a probe that any upstream but \p upstream responds
  /// to with 421.
  virtual http_headers WriteProbe(const std::string& upstream) const = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_EDGE_PROTOCOL_H_
